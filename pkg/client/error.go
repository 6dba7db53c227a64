package client

import (
	"errors"
	"fmt"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Settings: the configuration of the client is not valid.
	Settings Kind = iota + 1
	// Misuse: the request lacks its path, or Ask its ticket.
	Misuse
	// Failed: the exchange did not return a complete answer.
	Failed
)

var (
	errNoDaemon = errors.New("the configuration names no daemon")
	errNoPath   = errors.New("the request has no path")
	errNoTicket = errors.New("the ticket is empty")
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind is the kind of the failure.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("client: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, kind Kind, err error) *Error {
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
