// Package ticket implements the permit that each non-idempotent request
// carries.
//
// A [Ticket] names one request, one caller, one operation, one target and one
// incarnation of the daemon that guards that target. The request may run there
// and nowhere else, so daemons never need to agree on where it runs. Any
// daemon can mint a ticket without asking another one, and any daemon can
// route a retry, because the ticket itself says where the request belongs.
// The daemons share only the keys that seal tickets.
//
// A ticket holds no point in time, because the clocks of the hosts need not be
// synchronized. Instead it carries the [Stamp] of the guard as the minting
// daemon last received it: the guard's incarnation, and a generation number
// that only the guard advances, on its own monotonic clock. Daemons receive
// stamps with the guard's answers and status messages. A guard starts only
// tickets of recent generations, and it remembers every request whose
// generation it still starts. It refuses a late ticket because of its
// generation, however long ago it forgot the request.
//
// The sealed form is URL-safe base64 text of a version byte, the text fields
// with their lengths, the numbers as variable-length integers, and an
// HMAC-SHA256 over all of these.
package ticket

import (
	"encoding/base32"
	"errors"

	"siskinswitch.example/siskin/pkg/clock"
)

// Stamp identifies a generation of one guard. Stamps of the same incarnation
// are ordered by generation; stamps of different incarnations have no order.
type Stamp struct {
	// Incarnation identifies one run of the guarding daemon. It contains random
	// bits, because any two runs must have different ones.
	Incarnation uint64
	// Generation starts at 1 and grows during that run.
	Generation uint64
}

// Ticket is the permit of one request. It is an immutable value.
type Ticket struct {
	// ID identifies the request and is unique, see [NewID].
	ID string
	// Caller is the name of the caller that the ticket was minted for.
	Caller string
	// Path is the operation, "service/operation".
	Path string
	// Target is the name of the only target that may run the request.
	Target string
	// Addr is the "ip:port" of the daemon that guards the target. With it, a
	// retry reaches the guard even if the inventory no longer lists the target.
	Addr string
	// Root is the id of the root request whose chain of calls this request
	// belongs to.
	Root string
	// Incarnation and Generation are the guard's stamp as the minting daemon
	// knew it.
	Incarnation uint64
	Generation  uint64
	// Window is how long the guard keeps the outcome after the request ended.
	Window clock.Milli
}

// Stamp returns the guard's stamp in t.
func (t Ticket) Stamp() Stamp {
	return Stamp{
		Incarnation: t.Incarnation,
		Generation:  t.Generation,
	}
}

// WithStamp returns a copy of t with the guard's stamp s.
func (t Ticket) WithStamp(s Stamp) Ticket {
	t.Incarnation = s.Incarnation
	t.Generation = s.Generation
	return t
}

var (
	errCaller = errors.New("minted for another caller")
	errPath   = errors.New("minted for another operation")
	errTarget = errors.New("minted for another target")
)

// Match checks that t was minted for a request of caller to the operation at
// path. Otherwise it returns an *Error of kind Foreign.
func (t Ticket) Match(caller, path string) error {
	if t.Caller != caller {
		return fail("match", Foreign, errCaller)
	}
	if t.Path != path {
		return fail("match", Foreign, errPath)
	}
	return nil
}

// MatchTarget checks that t was minted for target. Otherwise it returns an
// *Error of kind Foreign.
func (t Ticket) MatchTarget(target string) error {
	if t.Target != target {
		return fail("match", Foreign, errTarget)
	}
	return nil
}

// EntropyBytes is the number of random bytes in a request id.
const EntropyBytes = 16

// NewID returns a request id made from random bytes. The bytes must come from a
// cryptographic random source, so that no two daemons ever make the same id.
func NewID(random [EntropyBytes]byte) string { return idEncoding.EncodeToString(random[:]) }

// idEncoding uses lower-case letters and digits only, so that an id is never
// mistaken for a flag on a command line and needs no quoting in a log.
var idEncoding = base32.NewEncoding("0123456789abcdefghijklmnopqrstuv").WithPadding(base32.NoPadding)
