// Package pick chooses the target for each call of one service.
//
// A [Picker] belongs to the daemon that sends the calls. It rests on what it
// saw itself: the calls in flight to each target, how long they are out
// already, and how long the finished ones took. Reports of the targets
// ([LoadReport]) count only while they are fresh, because they lag.
//
// The choice goes in steps:
//
//   - Leaving and excluded targets, and those whose threshold would refuse
//     the request, are left out.
//   - The nearest place is used: the caller's region with a small advantage
//     for its own centre, or the own centre alone while it has a cold target
//     ([Config.OwnFirst]). The other region is used only if every target here
//     is hot or refuses, a target there is not, and the byte budget of the
//     link permits it; or if the region has no target.
//   - Of a few targets drawn at random, the hot ones (many requests in
//     flight, for their slots) yield to cold ones, and of those the one with
//     the least expected latency wins. If all are hot the least loaded wins.
//
// A straggler, whose calls take a multiple of what the same operations take
// elsewhere, loses weight and so is drawn rarely; the share of targets that
// may lose it at once is capped. A target that has just started gains its
// weight over time.
//
// A Picker does no I/O, starts no goroutine and reads no clock. It is not
// safe for concurrent use.
package pick

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Empty means that no target is left: all are leaving or excluded.
	Empty Kind = iota
	// Doomed means that every target left would refuse the request.
	Doomed
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("pick: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config holds what a Picker is made from.
type Config struct {
	// Region and Centre are the place of the picker's daemon.
	Region string
	Centre string
	// Seed makes the random draws repeatable.
	Seed uint64
	// LinkBudget is the byte budget of the regional link that the daemon's pickers
	// share; nil permits no spill.
	LinkBudget *Bucket
	// Draws is the number of targets compared for one choice; 0 takes
	// DefaultDraws.
	Draws int
	// OwnCentreFirst takes a cold target of the own centre before others are looked
	// at. Without it, centres of a region are treated nearly alike.
	OwnCentreFirst bool
	// RoundRobin makes the picker ignore load, for comparison.
	RoundRobin bool
}

// DefaultDraws is the number of targets compared for one choice.
const DefaultDraws = 4

// Candidate is a target that the picker may choose.
type Candidate struct {
	Name   string
	Region string
	Centre string
	Slots  int
	// Leaving excludes the target from new work.
	Leaving bool
	// Started is the instant at which the target was seen to start, 0 if it
	// was running before.
	Started clock.Milli
}

// Query describes a call that needs a target.
type Query struct {
	// Op is the path of the operation, "service/operation".
	Op         string
	Importance rules.Importance
	// Cost is the cost class of the operation.
	Cost rules.Cost
	// RootHash is the hash of the root request's id.
	RootHash uint64
	// Exclude names targets that must not be chosen, such as those tried.
	Exclude []string
	// Bytes is the expected size of request and answer, charged to the
	// regional link if the call crosses it.
	Bytes int
}

// Choice is a chosen target.
type Choice struct {
	Target string
	// Spill tells that the call crosses the regional link.
	Spill bool
}

// Outcome tells how a call ended.
type Outcome uint8

// Outcomes.
const (
	// Done is a whole answer of the target.
	Done Outcome = iota
	// Refused is an answer that says that the call did not run.
	Refused
	// Failed is a lost connection, a timeout or any unknown outcome.
	Failed
	// Canceled is a call that the caller gave up; it teaches nothing but
	// that the target took at least that long.
	Canceled
)

// LoadReport is a target's own report of its load, for each of the two lanes that
// its gate has.
type LoadReport struct {
	Short Lane
	Long  Lane
	// Age is how old the report is.
	Age clock.Milli
}

// Lane is the load of one lane.
type Lane struct {
	// Running is the number of requests that hold a slot or wait for one.
	Running int
	// Limit is the number that may run at once at present; 0 is unknown.
	Limit int
}
