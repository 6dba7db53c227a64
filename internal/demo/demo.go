// Package demo runs the example deployments on loopback in one process, one
// after the other, and applies the same load to each under three systems:
// siskinswitch itself, no control at all, and a fixed concurrency limit per
// target. The last two retry at each hop.
//
// Everything is real except the back ends and the platform: there is one daemon
// per instance, they exchange HTTP, and calls may enter at any of them. The back
// ends are queueing servers from package fakes with the slots and connections
// that the documents state. They make their downstream calls through the process
// beside them. Each exchange between regions takes 20 ms longer.
//
// A run has three phases: calm with normal demand, the crest, and recovery.
// During the crest the demand is several times higher while a service deep in
// the call graph runs at a third of its speed. The [Result] holds the number of
// calls with a complete answer and their latency. It also holds violations of
// the invariants, found by comparing the outcomes reported to callers with the
// requests that the targets saw.
//
// The two baselines are no products: a [forwarder] does the minimum that a
// call needs to reach a target.
package demo

import (
	"fmt"

	"siskinswitch.example/siskin/pkg/clock"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unusable means that the configuration of a run is invalid.
	Unusable Kind = iota + 1
	// StartFailed means that a part of a fleet did not start or did not become
	// ready in time.
	StartFailed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("demo: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// System handles the traffic between the callers and the targets.
type System uint8

// Systems.
const (
	// Siskin runs a siskinswitch daemon beside each target.
	Siskin System = iota
	// Uncontrolled selects targets round robin without limits and retries at
	// each hop.
	Uncontrolled
	// StaticLimit is Uncontrolled with a fixed concurrency limit per target.
	StaticLimit
)

// Systems returns all systems in the order in which they run.
func Systems() []System {
	return []System{Siskin, Uncontrolled, StaticLimit}
}

// String returns the name used in tables and flags.
func (s System) String() string {
	switch s {
	case Siskin:
		return "siskinswitch"
	case Uncontrolled:
		return "none"
	default:
		return "static"
	}
}

// MarshalText returns the name of s.
func (s System) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// regionDelay is the additional time of an exchange between regions.
const regionDelay = 20 * clock.Millisecond
