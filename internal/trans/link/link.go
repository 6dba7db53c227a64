// Package link makes net/rpc calls between daemons over TCP.
//
// A [Listener] serves the methods of a daemon. [Links] calls the methods of
// other daemons.
//
// # Connections
//
// [Links] keeps at most one connection to each peer for small messages and one
// for large messages. Each is opened by the first call that needs it and closed
// after an idle time. Large messages, such as a configuration, have their own
// connection because a probe that waited behind one of them on a slow connection
// would pass its deadline, which closes the connection and interrupts the large
// message.
//
// Every wait has a time limit: opening a connection, the handshake, reading a
// frame once its first byte has arrived, writing a frame, and each call as a
// whole. If a call passes its deadline, its connection is closed, since the
// peer may no longer read from it, and the other calls on the connection fail
// too. A connection that has carried no answer for a while may have failed
// without notice, so it is probed before the next call uses it.
//
// # Authentication
//
// Before anything is decoded, both ends of a connection prove in a handshake
// that they know the fleet key; see handshake.go. After that each frame carries
// a MAC under a key derived for the connection. Nothing is encrypted.
//
// # Errors
//
// This package never retries a call. After an error the method may have run,
// unless [Error.Sent] is false.
package link

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Config means that a configuration is not valid.
	Config Kind = iota + 1
	// Unreachable means that no connection could be opened.
	Unreachable
	// Untrusted means that the handshake failed: the peer did not prove that it
	// has the fleet key, or refused this end.
	Untrusted
	// BadVersion means that the peer speaks another version of the protocol.
	BadVersion
	// Timeout means that the call passed its deadline.
	Timeout
	// Broken means that the connection failed during the call.
	Broken
	// Full means that a bound on calls, messages or connections is reached.
	Full
	// Remote means that the peer's method returned an error or does not exist.
	Remote
	// Format means that a message could not be encoded or decoded.
	Format
	// Closed means that the [Links] or the [Listener] has been closed.
	Closed
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Sent reports whether the peer may have received the call.
	Sent bool
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an error of this package of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}

// Meter counts the bytes that connections carry. A [Listener] and [Links] may
// share a meter. The zero value is ready for use.
type Meter struct {
	in  atomic.Int64
	out atomic.Int64
}

// Bytes returns the number of bytes received and sent so far. TCP headers are
// not included.
func (m *Meter) Bytes() (in, out int64) { return m.in.Load(), m.out.Load() }
