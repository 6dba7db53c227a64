// Package demo runs the example deployments on loopback in one process, one
// after the other, and loads each with the same calls under three systems:
// siskinswitch itself, no control at all, and a fixed limit with retries at
// each hop.
//
// Everything but the back ends and the platform is real: one daemon for each
// instance, HTTP between them, and callers that enter at any of them. The back
// ends are queueing servers from package fakes with the slots and connections
// of the documents; they make their deeper calls through the process beside
// them. Each exchange between regions takes 20 ms more.
//
// A run has three phases: calm demand, a crest of several times that demand
// while a service deep in the graph runs at a third of its speed, and recovery.
// The result tells how many whole requests completed and at what latency, and
// whether an invariant broke: what the callers were told is compared with what
// the targets saw.
//
// The two baselines are no products: [forwarder] is the least that a call
// needs to reach a target.
package demo

import (
	"fmt"

	"siskinswitch.example/siskin/pkg/clock"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unusable means that the configuration of a run makes no sense.
	Unusable Kind = iota + 1
	// StartFailed means that a part of a fleet did not start or get ready.
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

// System is what stands between the callers and the targets.
type System uint8

// Systems.
const (
	// Siskin is a daemon beside each target.
	Siskin System = iota
	// Uncontrolled is round robin without limits, with retries at each hop.
	Uncontrolled
	// StaticLimit is Uncontrolled with a fixed limit for each target.
	StaticLimit
)

// Systems lists all systems in the order in which they run.
func Systems() []System {
	return []System{Siskin, Uncontrolled, StaticLimit}
}

// String returns the name that tables use.
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

// MarshalText returns the name.
func (s System) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// regionDelay is what an exchange between regions takes more.
const regionDelay = 20 * clock.Millisecond
