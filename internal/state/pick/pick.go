// Package pick chooses the target for each call of one service.
//
// A [Picker] belongs to the daemon that sends the calls. It relies on what
// this daemon observed itself: the calls in flight to each target, their age,
// and the latency of finished calls. Load reports of the targets
// ([LoadReport]) lag, so they count only while they are fresh.
//
// The choice is made in steps:
//
//   - Targets that are leaving or excluded are left out, and so are targets
//     whose threshold would refuse the request.
//   - Targets of the caller's region are preferred, with a small advantage for
//     its own data centre, or those of the own data centre alone while one of
//     them is cold ([Config.OwnCentreFirst]). Calls spill over to the other
//     region if the own region has no target. Otherwise they spill over only
//     if every target of the own region is full, ejected or refuses the
//     request, a target of the other region is not hot, and the byte budget of
//     the regional link permits it.
//   - Of a few targets drawn at random, a cold target is preferred to a hot
//     one, which has many requests in flight for its slots. Of several cold
//     targets the one with the least expected latency is chosen. If all are
//     hot, the one with the least product of load and latency is chosen.
//
// A straggler, a target whose calls take a multiple of the usual latency of
// their operations, loses weight and is then drawn rarely (outlier ejection).
// The part of the targets that may be ejected at the same time is limited. A
// target that has just started gains its capacity over time (slow start).
//
// With [Config.ByExpectedTime] the choice is made by the expected time until one
// more call ends at a target: the network time of its distance, the wait that it
// states, and its service time by the own view of its calls. The steps are:
//
//   - Two targets of the own data centre are drawn in proportion to what they
//     complete. If both are in good time for the call, the one with less load is
//     better, else the one that ends sooner. Calls stay here while the time is
//     good enough; from 90 % of the limit on, a growing part leaves.
//   - Those that leave compare in the same way with the rest of the region.
//   - Calls cross the regional link if they end clearly sooner there, or in
//     proportion to how full the region is, and only where the other region is
//     known to have room. Each leaves a part of the byte budget to more important
//     calls, and as much again as it takes.
//
// A stated load counts fully when it is new and turns within a moment into the
// average of its place, and that into an assumed load, because all senders see
// the same statements and none sees them in time. A target that fails most calls
// is tried once a second, and a place from which no answer comes with growing
// pauses.
//
// A Picker does no I/O, starts no goroutine and reads no clock. It is not safe
// for concurrent use.
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
	// AllWouldRefuse means that every target left would refuse the request.
	AllWouldRefuse
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

// Config configures a [Picker].
type Config struct {
	// Region and Centre are the region and the data centre of the picker's
	// daemon.
	Region string
	Centre string
	// Seed makes the random draws repeatable.
	Seed uint64
	// LinkBudget is the byte budget of the regional link, shared by all
	// pickers of the daemon; nil permits no spillover while the region has a
	// target.
	LinkBudget *Bucket
	// Draws is the number of targets compared for one choice; 0 takes
	// [DefaultDraws].
	Draws int
	// OwnCentreFirst chooses a cold target of the own data centre before any
	// other is considered. Without it, the data centres of a region are
	// treated nearly alike.
	OwnCentreFirst bool
	// ByExpectedTime chooses by the expected time until the call ends, see the
	// package comment. [Picker.SetByExpectedTime] changes it later.
	ByExpectedTime bool
	// RoundRobin ignores load and latency and takes the targets of the region
	// in turn. It serves as a baseline for comparison.
	RoundRobin bool
}

// DefaultDraws is the number of targets compared for one choice when
// Config.Draws is zero.
const DefaultDraws = 4

// Candidate is a target that the picker may choose.
type Candidate struct {
	Name   string
	Region string
	Centre string
	Slots  int
	// Leaving excludes the target from new calls.
	Leaving bool
	// Started is the instant at which the daemon observed the start of the
	// target, 0 if the target was running before.
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
	// LetIn says that the entry of the caller's request has decided for the whole
	// chain of calls. The thresholds of targets do not apply then.
	LetIn bool
	// Exclude names targets that must not be chosen, such as those of earlier
	// attempts.
	Exclude []string
	// Bytes is the expected size of request and answer, which is taken from
	// the link's byte budget if the call crosses the regional link.
	Bytes int
	// TimeLeft is the time until the deadline of the call, and LatencyGoal the
	// time within which its answer has its full value; 0 is unknown. They count
	// only with Config.ByExpectedTime.
	TimeLeft    clock.Milli
	LatencyGoal clock.Milli
}

// Choice is a chosen target.
type Choice struct {
	Target string
	// Spill reports whether the call crosses the regional link.
	Spill bool
}

// Outcome is the way in which a call ended.
type Outcome uint8

// Outcomes.
const (
	// Done is a complete answer of the target.
	Done Outcome = iota
	// Refused is an answer that says that the call did not run.
	Refused
	// Failed is a lost connection, a timeout or any unknown outcome.
	Failed
	// Canceled is a call that the caller gave up. It shows only that the
	// target took at least that long.
	Canceled
)

// LoadReport is a target's own report of its load, for each of the two lanes
// of its admission gate.
type LoadReport struct {
	Short Lane
	Long  Lane
	// Throughput is the number of calls that the target completes in a second at its
	// limit; 0 is unknown.
	Throughput float64
	// Wait is how long one more call is expected to wait for a slot. It means nothing
	// where Throughput is unknown.
	Wait clock.Milli
	// Age is the time since the target made the report.
	Age clock.Milli
}

// Lane is the load of one lane.
type Lane struct {
	// Running is the number of requests that hold a slot or wait for one.
	Running int
	// Limit is the concurrency limit of the lane; 0 is unknown.
	Limit int
}
