// Package procs runs daemons as separate processes on loopback addresses, injects
// faults and checks the guarantees of the daemons.
//
// A [Fleet] starts one siskind for each instance of a document, each on its own
// loopback address, with fixed ports below the range of ephemeral ports. It
// signals and kills only processes that it started, by their process id, and
// kills all of them when it is closed. The kernel kills them if this process ends
// first.
//
// The platform and the targets are the fakes of package fakes, which run inside
// this process and are controlled through methods. The daemons reach them over
// TCP only.
//
// A [World] adds fakes, callers and a watcher to a fleet. The callers record the
// result of each request, the watcher records which configuration each daemon
// had in force, and the targets count the requests that they ran. [Check]
// compares these records after the run.
package procs

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Build means that a program could not be compiled.
	Build Kind = iota + 1
	// Start means that a process could not be set up, started, signalled or stopped
	// properly.
	Start
	// Timeout means that an event did not happen in time.
	Timeout
	// Read means that the reports or the usage of a process could not be read.
	Read
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("procs: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, kind Kind, err error) *Error {
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
