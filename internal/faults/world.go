package faults

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// proc is the state of a process that the event loop needs.
type proc struct {
	dead bool
	// resume is the time at which the last pause ends.
	resume clock.Milli
}

// world is the simulation of one schedule: its clock, random numbers, processes
// and network.
type world struct {
	rng    *rand.Rand
	cfg    conditions
	defect Defect
	now    clock.Milli
	events eventQueue

	// partitionedUntil holds, for each sending side, the time at which the
	// partition ends.
	partitionedUntil [2]clock.Milli
	// unmarked reports whether the rules do not mark the operation as
	// non-idempotent at present.
	unmarked  bool
	hosts     []*host
	outbounds []*outbound
	callers   []*caller
	checker   *checker
	report    Report
	tickets   int
	processes uint64
}

// after queues run as an action of p, to be executed after d. The action is
// dropped if p is dead by then, and postponed while p is paused. With a nil p it
// is always executed.
func (w *world) after(d clock.Milli, p *proc, run func()) {
	w.events.push(w.now+d, event{
		proc: p,
		run:  run,
	})
}

// play executes events in order of time until none is left.
func (w *world) play() {
	for len(w.events.heap) > 0 {
		at, e := w.events.pop()
		w.now = max(w.now, at)
		switch {
		case e.proc == nil:
			e.run()
		case e.proc.dead:
		case e.proc.resume > w.now:
			w.after(e.proc.resume-w.now, e.proc, e.run)
		default:
			e.run()
		}
	}
}

// chance reports true with the given probability in percent.
func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// between returns a duration from lo up to, not including, hi.
func (w *world) between(lo, hi clock.Milli) clock.Milli {
	return lo + clock.Milli(w.rng.Int64N(int64(hi-lo)))
}

// faultsEnded reports whether no more faults are injected.
func (w *world) faultsEnded() bool { return w.now >= faultsEndAt }

// Delays of the network.
const (
	minDelay   = 1 * clock.Millisecond
	usualDelay = 20 * clock.Millisecond
	maxDelay   = 4 * clock.Second
)

// send transmits a message from one side of the network to another. Until the
// faults end, the network may lose the message or deliver it twice.
func (w *world) send(from, to int, deliver func()) {
	w.report.Messages++
	if !w.faultsEnded() {
		if from != to && w.now < w.partitionedUntil[from] {
			w.report.Faults.Partitioned++
			return
		}
		if w.chance(w.cfg.loss) {
			w.report.Faults.Lost++
			return
		}
		if w.chance(w.cfg.double) {
			w.report.Faults.Doubled++
			w.after(w.delay(), nil, deliver)
		}
	}
	w.after(w.delay(), nil, deliver)
}

func (w *world) delay() clock.Milli {
	switch {
	case w.faultsEnded():
		return w.between(minDelay, usualDelay)
	case w.chance(w.cfg.late):
		w.report.Faults.Late++
		return w.between(window/2, 3*window)
	case w.chance(w.cfg.slow):
		w.report.Faults.Slow++
		return w.between(usualDelay, maxDelay)
	}
	return w.between(minDelay, usualDelay)
}
