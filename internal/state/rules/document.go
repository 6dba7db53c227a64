package rules

import "siskinswitch.example/siskin/pkg/clock"

// Importance orders requests: a higher one is shed after every lower one.
type Importance uint8

// Importance levels, lowest first.
const (
	Spare Importance = iota
	Normal
	High
	Vital
)

// Cost is the class of an operation's usual running time.
type Cost uint8

// Cost classes.
const (
	Short Cost = iota
	Long
)

// Document is the published inventory and rules as its author wrote them.
// It is plain data; [New] checks one and makes the [Set] that is used.
type Document struct {
	// Version grows with every document accepted.
	Version uint64 `json:"version"`
	// Parent is the hex SHA-256 of the predecessor's bytes, empty for the first.
	Parent string `json:"parent"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// RetryBudget is the number of extra attempts that a root request gets for
	// its whole chain of calls.
	RetryBudget int         `json:"allowance"`
	Regions     []Region    `json:"regions"`
	Callers     []Caller    `json:"callers"`
	Services    []Service   `json:"services"`
	Leaving     []string    `json:"leaving,omitempty"`
	Objectives  []Objective `json:"objectives,omitempty"`
}

// Region is a region with its data centres.
type Region struct {
	Name    string   `json:"name"`
	Centres []string `json:"centres"`
}

// Caller is an outside customer of the services.
type Caller struct {
	Name string `json:"name"`
	// Secret is the hex SHA-256 of the bearer token that proves the caller.
	Secret string `json:"secret"`
	// Ceiling is the highest importance that the caller's requests may have.
	Ceiling Importance `json:"ceiling"`
}

// Service is a set of interchangeable target instances and its operations.
type Service struct {
	Name       string      `json:"name"`
	Owner      string      `json:"owner"`
	Operations []Operation `json:"operations"`
	Instances  []Instance  `json:"instances"`
}

// Operation is one kind of request that a service answers.
type Operation struct {
	Name       string     `json:"name"`
	Importance Importance `json:"importance"`
	// AtMostOnce marks an operation that may not be repeated.
	AtMostOnce bool `json:"once,omitempty"`
	Cost       Cost `json:"cost,omitempty"`
	// Deadline bounds the whole request, in milliseconds.
	Deadline clock.Milli `json:"deadline"`
	// Hedge allows a second attempt while the first is late. Never with Once.
	Hedge bool `json:"hedge,omitempty"`
	// Calls lists the operations that this one may call, as "service/operation".
	Calls []string `json:"calls,omitempty"`
}

// Instance is one target with the daemon beside it.
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
	// Slots is the number of requests that the target serves at once.
	Slots int `json:"slots"`
	// Conns is the number of connections that the target accepts.
	Conns int `json:"conns"`
}

// Objective is a service-level objective of one service.
type Objective struct {
	Service string `json:"service"`
	// Good is the share of requests, in parts of a million, that must complete.
	Good int64 `json:"good"`
	// Latency is the time, in milliseconds, within which a good request completes.
	Latency clock.Milli `json:"latency"`
}
