// Package load generates calls to a fleet as external callers would, and
// measures their results.
//
// The arrival process is open-loop: a [Plan] draws the start time, the kind
// and the key of each call from its seed, independently of how earlier calls
// went, so that a slow fleet does not reduce its own load. Latency counts from
// the intended start of a call. The delay between the intended and the actual
// start is measured as well ([PhaseReport.Lag]), which reveals a machine that
// cannot generate the load.
//
// A call consists of one or more tries. A try is one exchange with an entry
// point, the outbound port of a daemon. After a refusal, an error or a timeout
// callers retry with a short fixed delay, whatever the answer advises, until
// the tries or the time of the call run out. They never give up the ticket of
// a non-idempotent request whose outcome is unknown.
//
// Each answer is checked against its request. A [Report] holds the counts by
// phase and importance. It also holds one [CallResult] for each call that started, so
// that requests that the fleet reported as not run can be compared with the
// requests that the targets saw.
//
// Times inside this package are [time.Duration] values because latencies on
// one machine are shorter than a [clock.Milli].
package load

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Kind classifies an [Error].
type Kind uint8

// Unusable means that a plan or a configuration is invalid.
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

// Call is a kind of call, by one caller to one operation.
type Call struct {
	// Path is "service/operation".
	Path string
	// Token is the caller's bearer token.
	Token string
	// Importance is the level under which the call is counted.
	Importance rules.Importance
	// Deadline bounds one try.
	Deadline clock.Milli
	// Weight is the call's share of the load, relative to the sum of the weights
	// of a plan.
	Weight int
	// Tree is the structure of a complete answer; nil disables the check.
	Tree *CallTree
}

// CallTree is the tree of downstream calls that a complete answer reports.
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

// Phase is a period with a constant mean rate.
type Phase struct {
	Name   string
	Length clock.Milli
	// Rate is the mean number of calls that start per second.
	Rate float64
}
