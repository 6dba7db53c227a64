// Package load generates calls from outside against any fleet and measures
// what became of them.
//
// The arrival process is open-loop: a [Plan] draws the instant, the kind and
// the key of every call from its seed, whatever becomes of earlier calls, so
// that a slow fleet does not slow its own load down. Latencies count from the
// instant at which a call was meant to start, and how late the generator
// itself was is measured too ([Report.Lag]), so that a machine that cannot keep
// up shows.
//
// Callers retry hard: after a refusal, an error or a timeout they try again at
// once, whatever the answer says, a few times. What they never do is to give up
// the ticket of a once-only request whose outcome is not known.
//
// Each answer is checked against its request. A [Report] holds the counts by
// phase and importance, and the claims about requests that the fleet said it
// had not run, for comparison with what the targets saw.
//
// Times inside this package are of the standard library's type, because
// latencies on one machine are shorter than a [clock.Milli].
package load

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unusable means that a plan or a generator cannot work as configured.
	Unusable Kind = iota + 1
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call is a kind of call from outside.
type Call struct {
	// Path is "service/operation".
	Path string
	// Token is the caller's bearer token.
	Token string
	// Importance is what the call is counted under.
	Importance rules.Importance
	// Deadline is the time given to one try.
	Deadline clock.Milli
	// Weight is the call's share of the load among all weights of a plan.
	Weight int
	// Tree is what a whole answer looks like; nil leaves answers unchecked.
	Tree *CallTree
}

// CallTree is the tree of calls that a whole answer must hold.
type CallTree struct {
	Path  string
	Calls []*CallTree
}

// Size returns the number of calls in the tree.
func (t *CallTree) Size() int {
	n := 1
	for _, c := range t.Calls {
		n += c.Size()
	}
	return n
}

// Phase is a stretch of time with a steady rate.
type Phase struct {
	Name   string
	Length clock.Milli
	// Rate is the mean number of calls that start in a second.
	Rate float64
}
