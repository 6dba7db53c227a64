// Package model holds the configuration in force and the fleet on the users'
// platform: the routes and services, and the targets that serve them with
// their places and states.
//
// All values are immutable once they are published. The package does no I/O,
// starts no goroutine and reads no clock.
package model

import (
	"sort"
	"strings"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/pkg/clock"
)

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; the newer one has the higher version.
	Version uint64
	Limits  Limits
	// Hosts maps the name of a virtual host to its routes, longest prefix
	// first.
	Hosts map[string][]Route
	// Services maps the name of a service to its properties.
	Services map[string]Service
	// Accounts are the client accounts and their keys.
	Accounts acct.Accounts
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// MaxHeader and MaxBody bound a request's header and body, in bytes.
	MaxHeader int
	MaxBody   int
	// ReadTimeout bounds the time in which a caller sends one header;
	// IdleTimeout is how long a connection may stay unused.
	ReadTimeout clock.Milli
	IdleTimeout clock.Milli
}

// Service holds the properties of a service.
type Service struct {
	Name string
	// Conns is the number of connections that each target accepts.
	Conns int
}

// Route says where requests with one path prefix go and how they are treated.
type Route struct {
	Name   string
	Prefix string
	// Services lists the services that share the requests of the route. Most
	// routes have one.
	Services []WeightedService
	// AtMostOnce says that requests are not idempotent and must run at most
	// once.
	AtMostOnce bool
	// Attempts bounds the number of targets that a request may be sent to.
	Attempts int
	// Timeout bounds how long a caller waits for its answer; 0 means no bound.
	Timeout clock.Milli
	// LatencyGoal is the time within which an answer has its full value.
	LatencyGoal clock.Milli
	// Priority orders routes by importance; 0 is the most important.
	Priority int
	// Upload says that requests have large bodies. They are not idempotent either.
	Upload bool
	// Public says that callers need no key, also where client accounts are in
	// force.
	Public bool
}

// WeightedService is one of the services of a route and its share of the
// requests.
type WeightedService struct {
	Service string
	// Weight is the share of the requests, relative to the other services of
	// the route.
	Weight float64
}

// Learns reports whether the configuration asks for decisions that daemons make from
// what they learn of each other: it has client accounts or routes for uploads.
func (c *Config) Learns() bool {
	if c.Accounts.InForce() {
		return true
	}
	for _, routes := range c.Hosts {
		for i := range routes {
			if routes[i].Upload {
				return true
			}
		}
	}
	return false
}

// Match returns the route of host with the longest prefix of path, and false if
// there is none. The routes must be sorted, see SortRoutes.
func (c *Config) Match(host, path string) (*Route, bool) {
	routes := c.Hosts[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// SortRoutes sorts the routes of each host by prefix length, longest first, as
// Match requires.
func (c *Config) SortRoutes() {
	for _, routes := range c.Hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
}
