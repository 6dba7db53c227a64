// Package admit is the admission control of a target. It decides which
// requests run, which wait in a queue and which are refused.
//
// A [Gate] admits requests to one target. It lets a limited number run at once
// and keeps a short queue of others. Three mechanisms work together:
//
//   - The concurrency limit follows what the target can use. It never exceeds
//     the target's slots and connections, and it shrinks only when fewer
//     concurrent requests give the same throughput ([limiter]). With
//     [Config.Learn], it is found as package learn describes.
//   - Under overload the queue is ordered by shedding rank: importance, then
//     requests from deeper in the call graph before root requests, then the
//     hash of the root request. All hops rank the same requests alike, so that
//     whole requests survive rather than parts of many. A request that cannot
//     finish before its deadline is refused at once.
//   - A threshold on (importance, root hash) follows the standing queue delay
//     ([shedder]). It is sent back on answers, so that callers refuse a doomed
//     request before any work is done for it; the gate itself applies it to
//     short root requests. It closes in one step to what the capacity can
//     carry and opens gradually, which gives it hysteresis.
//
// Long requests run in a lane of their own that may use only a share of the
// limit, so that short requests find free slots while long ones run.
//
// A Gate does no I/O, starts no goroutine and reads no clock: every method
// that depends on time takes the present as an argument. It is not safe for
// concurrent use.
package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Request is a request that asks for a slot of the target.
type Request struct {
	// Seq identifies the request at its gate. It must grow with every offer.
	Seq uint64
	// Path is "service/operation"; service times are learned for each path.
	Path       string
	Importance rules.Importance
	// RootHash is the hash of the root request's id, equal at every hop. Under
	// overload, requests with a higher hash are kept longer.
	RootHash uint64
	// Depth is the number of calls above this request; 0 is a root request.
	Depth int
	// LetIn says that the entry of the caller's request has decided for the whole
	// chain of calls. The request is queued although the queue is full, unless it
	// would wait long.
	LetIn bool
	// Deadline is the instant after which an answer is of no use; 0 is none.
	Deadline clock.Milli
	Cost     rules.Cost
	// ExpectedTime is the expected service time; 0 takes the learned one.
	ExpectedTime clock.Milli
}

// Verdict is the result of an offer.
type Verdict uint8

// Verdicts.
const (
	// Run means that the request holds a slot from now on, until [Gate.Done].
	Run Verdict = iota
	// Queue means that the request waits. A later call starts it, expires it
	// or, if it is an offer, evicts it.
	Queue
	// Refuse means that the request will not run.
	Refuse
)

// Reason is the reason for a refusal.
type Reason uint8

// Reasons.
const (
	// None is the reason of a request that was not refused.
	None Reason = iota
	// BelowThreshold means that the request does not pass the threshold.
	BelowThreshold
	// QueueFull means that the queue is full and holds no request of lower
	// rank.
	QueueFull
	// DeadlineTooClose means that the request cannot finish before its
	// deadline.
	DeadlineTooClose
	// Draining means that the target takes no new requests.
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
	// Evicted lists the queued requests that were displaced by this offer and
	// are refused now. It is valid until the next call of a method of the
	// gate.
	Evicted []Request
}

// Config configures a [Gate].
type Config struct {
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Conns is the number of connections that the target accepts; 0 is no
	// bound besides Slots.
	Conns int
	// MinLimit is the least concurrency limit; 0 takes [DefaultMinLimit].
	MinLimit int
	// LongShare is the share of the concurrency limit that long requests may
	// use, in percent; 0 takes [DefaultLongShare].
	LongShare int
	// QueueFactor bounds the queue of each lane to this many times Slots; 0
	// takes [DefaultQueueFactor].
	QueueFactor int
	// MaxQueueDelay is the standing queue delay above which the gate is
	// overloaded; 0 takes [DefaultMaxQueueDelay].
	MaxQueueDelay clock.Milli
	// Window is the time between two adjustments of the threshold; 0 takes
	// [DefaultWindow].
	Window clock.Milli
	// FixedLimit keeps the concurrency limit at its upper bound.
	FixedLimit bool
	// Learn takes the concurrency limit from a [learn.Learner]. FixedLimit has no
	// effect then.
	Learn bool
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
