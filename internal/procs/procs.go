// Package procs runs daemons as processes of their own on loopback addresses,
// breaks them on purpose and checks what they promised.
//
// A [Fleet] starts one siskind for each instance of a document, each on a host
// address of its own with fixed ports below the range that the system takes for
// outgoing connections. It signals and ends only processes that it started, by
// their pid, and ends all of them when it is closed; the kernel ends them should
// this process die first.
//
// What surrounds the daemons runs inside this process: the stand-ins of package
// fakes are steered and counted through methods and never over HTTP, because the
// platform can only be read. The daemons still see nothing but TCP.
//
// A [World] adds stand-ins, callers and a watcher to a fleet. Callers write down
// what they were told, the watcher writes down what each daemon had in force,
// and targets count what they ran; [Check] compares the three when all is over.
package procs

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Build means that a program could not be compiled.
	Build Kind = iota + 1
	// Start means that a process or a stand-in could not be started.
	Start
	// Timeout means that something did not happen in the time it was given.
	Timeout
	// Read means that a process or its reports could not be read.
	Read
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
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
