// Package fakes provides fake servers for the surroundings of the daemons: the
// configuration service ([Store]), the list of hosts ([Roster]) and a back end
// ([Target]).
//
// Each fake is an HTTP server on one address with a Go API that controls it
// while it runs. Publishing values, injecting faults and reading counters is
// possible through methods only, never over HTTP, because programs can only
// read from the real platform. A [Target] is a real queueing server: it serves
// at most Slots requests at once, holds a request's slot while its downstream
// calls are in flight, and queues the rest. Overload therefore behaves as it
// does with real back ends, congestion collapse included.
//
// A [Network] is a simulated network between processes of one test.
//
// Random choices come from seeded generators, and time from a [clock.Clock].
package fakes

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Config means that the configuration of a fake is invalid.
	Config Kind = iota + 1
	// Listen means that the fake could not listen on its address.
	Listen
	// Stop means that a server did not stop in time.
	Stop
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fakes: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
