// Package admit decides which work a target runs, which waits and which is
// refused.
//
// A [Gate] stands before one target. It lets at most a limit of works run at
// once and keeps a short queue of the others. Three mechanisms act together:
//
//   - The limit follows what the target can use: it never exceeds the slots
//     and connections, and it shrinks only when fewer works at once give the
//     same throughput ([limiter]).
//   - The queue is ordered by importance, then work from deeper in the call
//     graph, then the hash of the root request. All hops order the same
//     requests alike, so whole requests survive rather than pieces of many.
//     A work that cannot finish before its deadline is refused at once.
//   - A threshold on (importance, root hash) follows the standing queue delay.
//     It is sent back on answers, so that callers refuse a doomed request
//     before any work is done for it. It closes in one step to what the
//     capacity can carry and opens gradually, which gives it hysteresis.
//
// Long work runs in a lane of its own that may take only a share of the
// limit, so that short work finds free slots while long work runs.
//
// A Gate does no I/O, starts no goroutine and reads no clock: the present is
// an argument of every call. It is not safe for concurrent use.
package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Request is a request that asks for a slot of the target.
type Request struct {
	// Seq identifies the work at its gate. It must grow with every offer.
	Seq uint64
	// Path is "service/operation"; service times are learned for each path.
	Path       string
	Importance rules.Importance
	// RootHash is the hash of the root request's id, equal at every hop. A
	// higher one is kept longer.
	RootHash uint64
	// Depth counts the calls above this one; 0 is a root request.
	Depth int
	// Deadline is the instant after which an answer is of no use. 0 is none.
	Deadline clock.Milli
	Cost     rules.Cost
	// ExpectedTime is the expected service time; 0 takes the learned one.
	ExpectedTime clock.Milli

	offered clock.Milli
}

// Verdict says what happens to an offered work.
type Verdict uint8

// Verdicts.
const (
	// Run means that the work holds a slot from now on; end it with Done.
	Run Verdict = iota
	// Queue means that the work waits; it is started or expired by a later
	// call, or evicted by a later offer.
	Queue
	// Refuse means that the work will not run.
	Refuse
)

// Reason says why a work was refused.
type Reason uint8

// Reasons.
const (
	// None is the reason of a work that was not refused.
	None Reason = iota
	// BelowThreshold means that the work does not pass the threshold.
	BelowThreshold
	// QueueFull means that the queue holds only work of higher rank.
	QueueFull
	// DeadlineTooClose means that the work cannot finish before its deadline.
	DeadlineTooClose
	// Draining means that the target takes no new work.
	Draining
)

// String returns the name of r as it appears in logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "below", "full", "late", "draining"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Evicted lists the queued works that gave way and are refused now. It
	// is valid until the next call of the gate.
	Evicted []Request
}

// Config holds what a Gate is made from.
type Config struct {
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Conns is the number of connections that the target accepts; 0 is no
	// bound beside Slots.
	Conns int
	// MinLimit is the least limit; 0 takes DefaultFloor.
	MinLimit int
	// LongShare is the share of the limit that long work may take, in
	// percent; 0 takes DefaultLongShare.
	LongShare int
	// QueueFactor bounds the queue to this many times the slots; 0 takes
	// DefaultQueueFactor.
	QueueFactor int
	// MaxQueueDelay is the standing queue delay above which the gate is overloaded;
	// 0 takes DefaultDelay.
	MaxQueueDelay clock.Milli
	// Window is the time between two adjustments; 0 takes DefaultWindow.
	Window clock.Milli
	// FixedLimit keeps the limit at its upper bound.
	FixedLimit bool
}

// Defaults of [Config].
const (
	DefaultMinLimit      = 2
	DefaultLongShare     = 25
	DefaultQueueFactor   = 1
	DefaultMaxQueueDelay = 10 * clock.Millisecond
	DefaultWindow        = 100 * clock.Millisecond
)

func (cfg Config) withDefaults() Config {
	if cfg.Slots < 1 {
		cfg.Slots = 1
	}
	if cfg.Conns < 1 {
		cfg.Conns = cfg.Slots
	}
	if cfg.MinLimit < 1 {
		cfg.MinLimit = DefaultMinLimit
	}
	if cfg.LongShare < 1 {
		cfg.LongShare = DefaultLongShare
	}
	if cfg.QueueFactor < 1 {
		cfg.QueueFactor = DefaultQueueFactor
	}
	if cfg.MaxQueueDelay < 1 {
		cfg.MaxQueueDelay = DefaultMaxQueueDelay
	}
	if cfg.Window < 1 {
		cfg.Window = DefaultWindow
	}
	return cfg
}
