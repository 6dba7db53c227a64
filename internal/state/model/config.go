// Package model is what siskinswitch knows of a call graph at runtime: the
// routes and services of the configuration in force, and the targets that
// serve them with their places and states.
//
// All values are immutable once published. Nothing here does I/O, starts a
// goroutine or reads a clock.
package model

import (
	"sort"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version uint64
	Limits  Limits
	// Hosts maps the name of a virtual host to its routes, longest prefix
	// first.
	Hosts map[string][]Route
	// Services maps the name of a service to its properties.
	Services map[string]Service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeader and Body bound a request's head and body, in bytes.
	MaxHeader int
	MaxBody   int
	// ReadTimeout is the time for sending one head, Idle the time that a connection
	// may stay unused.
	ReadTimeout clock.Milli
	IdleTimeout clock.Milli
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// Conns is the number of connections that each target accepts.
	Conns int
}

// Route says where requests of one path prefix go and how they are treated.
type Route struct {
	Name   string
	Prefix string
	// Services are the services that share the route, one of them as a rule.
	Services []WeightedService
	// AtMostOnce says that a request may run at most once.
	AtMostOnce bool
	// Attempts is the number of targets that a request may be sent to.
	Attempts int
	// Timeout is the longest time that a caller is kept waiting, 0 without
	// a bound.
	Timeout clock.Milli
	// LatencyGoal is the time within which an answer has its full value.
	LatencyGoal clock.Milli
	// Priority orders routes by importance; 0 is the most important.
	Priority int
}

// WeightedService is one service of a route with its share.
type WeightedService struct {
	Service string
	// Weight is the share of the requests, relative to the other parts.
	Weight int
}

// Match returns the route with the longest prefix that begins path, and false
// if host has none.
func (c *Config) Match(host, path string) (*Route, bool) {
	routes := c.Hosts[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// SortRoutes puts the routes of each host in the order that Match needs.
func (c *Config) SortRoutes() {
	for _, routes := range c.Hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
}
