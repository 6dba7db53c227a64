package rules

import "siskinswitch.example/siskin/pkg/clock"

// Importance orders requests for load shedding: all requests of a lower
// importance are shed before any of a higher one.
type Importance uint8

// Importance levels, lowest first.
const (
	Spare Importance = iota
	Normal
	High
	Vital
)

// Cost classifies operations by their usual running time.
type Cost uint8

// Cost classes.
const (
	Short Cost = iota
	Long
)

// Document is the inventory and the rules as their author published them. It is
// plain data; [New] checks it and makes the [Set] that the daemon works with.
type Document struct {
	// Version grows with every accepted document.
	Version uint64 `json:"version"`
	// Parent is the hex SHA-256 of the previous version's bytes, empty for
	// version 1.
	Parent string `json:"parent"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// RetryBudget is the number of extra attempts that a root request may use
	// over its whole chain of calls.
	RetryBudget int       `json:"allowance"`
	Regions     []Region  `json:"regions"`
	Callers     []Caller  `json:"callers"`
	Services    []Service `json:"services"`
	// Leaving lists the names of the targets that must get no new calls.
	Leaving    []string    `json:"leaving,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}

// Region is a region with its data centres.
type Region struct {
	Name    string   `json:"name"`
	Centres []string `json:"centres"`
}

// Caller is a client account outside the services.
type Caller struct {
	Name string `json:"name"`
	// Secret is the hex SHA-256 of the bearer token that authenticates the
	// caller.
	Secret string `json:"secret"`
	// Ceiling is the highest importance that the caller's requests may have.
	Ceiling Importance `json:"ceiling"`
}

// Service is a set of interchangeable instances and the operations that they
// serve.
type Service struct {
	Name       string      `json:"name"`
	Owner      string      `json:"owner"`
	Operations []Operation `json:"operations"`
	Instances  []Instance  `json:"instances"`
}

// Operation is one kind of request to a service.
type Operation struct {
	Name       string     `json:"name"`
	Importance Importance `json:"importance"`
	// AtMostOnce marks a non-idempotent operation, whose requests must run at
	// most once.
	AtMostOnce bool `json:"once,omitempty"`
	Cost       Cost `json:"cost,omitempty"`
	// Deadline bounds the time of the whole request, in milliseconds.
	Deadline clock.Milli `json:"deadline"`
	// Hedge permits a second attempt while the first is late. It must not be
	// combined with AtMostOnce.
	Hedge bool `json:"hedge,omitempty"`
	// Calls lists the operations that this one may call, as "service/operation".
	Calls []string `json:"calls,omitempty"`
}

// Instance is one target together with the daemon beside it.
type Instance struct {
	Name string `json:"name"`
	// Place is "region/centre".
	Place string `json:"place"`
	// Host is the IP address that the daemon beside the target listens on.
	Host string `json:"host"`
	// Inbound is the daemon's TCP port for calls to its target.
	Inbound int `json:"inbound"`
	// Outbound is the daemon's TCP port for calls from callers and its target.
	Outbound int `json:"outbound"`
	// Control is the daemon's TCP port for other daemons.
	Control int `json:"control"`
	// Operator is the daemon's TCP port for operators.
	Operator int `json:"operator"`
	// Slots is the number of requests that the target serves at the same time.
	Slots int `json:"slots"`
	// Conns is the number of connections that the target accepts.
	Conns int `json:"conns"`
}

// Objective is a service-level objective of one service.
type Objective struct {
	Service string `json:"service"`
	// Good is the share of requests, in parts per million, that must complete
	// within Latency.
	Good int64 `json:"good"`
	// Latency is the time limit of a good request, in milliseconds.
	Latency clock.Milli `json:"latency"`
}
