package http1

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// Kind tells how far a failed exchange got.
type Kind uint8

// Kinds of failures.
const (
	// Unsent means that no byte of the request left this process.
	Unsent Kind = iota
	// Timeout means that the answer was not complete in time.
	Timeout
	// Interrupted means that the connection ended before the answer was
	// complete.
	Interrupted
	// BadAnswer means that the received bytes are not a complete answer to the
	// request.
	BadAnswer
	// Canceled means that the sender canceled the exchange.
	Canceled
	// TooLarge means that a message exceeds a limit.
	TooLarge
)

var kindNames = [...]string{"unsent", "timeout", "cut", "spoiled", "canceled", "bound"}

// String returns the name of the kind, as used in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unnamed"
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause. The prefix is part of
// answers to malformed requests, so it does not follow the package's name.
func (e *Error) Error() string { return fmt.Sprintf("xchg: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// headError is a header that could not be read. Its text has none of the bytes of the
// header, unlike that of its cause: keys must not reach logs and answers.
type headError struct {
	cause error
}

// Error returns what is wrong with the header.
func (e *headError) Error() string {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(e.cause, &small):
		return "the header is too large"
	case statusOf(e.cause) == 0:
		return "the connection ended within the header"
	}
	return "the header is malformed"
}

// Unwrap returns the cause.
func (e *headError) Unwrap() error { return e.cause }
