// Package ticket holds the permit on which a request that may not be repeated
// travels.
//
// A [Ticket] names one request, one caller, one operation, one target and one
// incarnation of the daemon that guards that target. The request may run
// there and nowhere else, so two daemons never have to agree on who runs it.
// Any daemon can mint a ticket without asking anyone, and any daemon can
// route a retry, because the ticket itself carries what is needed: daemons
// share only the keys that seal it.
//
// A ticket carries no instant. Hosts promise no synchronized clocks, so its
// age is told by the [Stamp] of the guard: the incarnation and a generation
// number that the guard alone advances, on its own monotonic clock, and that
// minters learn from its answers and reports. A guard starts only tickets of
// recent generations and remembers every request of the generations that it
// still starts. A late ticket is refused by its generation alone, however
// long ago its request was forgotten.
//
// The sealed form is URL-safe text: a version byte, the fields as
// length-prefixed strings and variable-length integers, and an HMAC-SHA256
// over both.
package ticket

import (
	"encoding/base32"
	"errors"

	"siskinswitch.example/siskin/pkg/clock"
)

// Stamp is a point in the life of one guard. Stamps of one incarnation are
// ordered by generation; stamps of two incarnations are not ordered.
type Stamp struct {
	// Incarnation identifies one run of the guarding daemon. It must differ
	// between any two runs, so it is drawn at random.
	Incarnation uint64
	// Generation grows during that run and starts at 1.
	Generation uint64
}

// Ticket is the permit of one request. It is a plain value.
type Ticket struct {
	// ID identifies the request. It is unique, see [NewID].
	ID string
	// Caller is the name of the caller that the ticket was minted for.
	Caller string
	// Path is the operation, "service/operation".
	Path string
	// Target is the name of the only target that may run the request.
	Target string
	// Addr is the "ip:port" of the daemon that guards the target, so that a
	// retry finds it when the inventory no longer lists the target.
	Addr string
	// Root identifies the root request that this one belongs to.
	Root string
	// Incarnation and Generation are the guard's stamp as the minter knew it.
	Incarnation uint64
	Generation  uint64
	// Window is how long the guard keeps the outcome after the request ended.
	Window clock.Milli
}

// Stamp returns the guard's stamp that t carries.
func (t Ticket) Stamp() Stamp {
	return Stamp{
		Incarnation: t.Incarnation,
		Generation:  t.Generation,
	}
}

// WithStamp returns t with the guard's stamp s.
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
// path. It returns an *Error of kind Foreign when it was not.
func (t Ticket) Match(caller, path string) error {
	if t.Caller != caller {
		return fail("match", Foreign, errCaller)
	}
	if t.Path != path {
		return fail("match", Foreign, errPath)
	}
	return nil
}

// MatchTarget checks that target may run t's request. It returns an *Error of
// kind Foreign when it may not.
func (t Ticket) MatchTarget(target string) error {
	if t.Target != target {
		return fail("match", Foreign, errTarget)
	}
	return nil
}

// EntropyBytes is the number of random bytes in a request id.
const EntropyBytes = 16

// NewID returns the request id made from random bytes. They must come from a
// cryptographic source, so that no two daemons ever make the same id.
func NewID(random [EntropyBytes]byte) string { return idEncoding.EncodeToString(random[:]) }

// idEncoding writes ids in lower-case letters and digits alone, so that none is
// taken for a flag on a command line or needs quoting in a log.
var idEncoding = base32.NewEncoding("0123456789abcdefghijklmnopqrstuv").WithPadding(base32.NoPadding)
