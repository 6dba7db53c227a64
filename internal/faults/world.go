package faults

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// proc is a process as the event loop sees it.
type proc struct {
	dead bool
	// resume is the instant at which a pause ends.
	resume clock.Milli
}

// world is one schedule: its clock, its chance, its processes.
type world struct {
	rng    *rand.Rand
	cfg    conditions
	plant  Defect
	now    clock.Milli
	agenda agenda

	// split holds, for each sending side, the end of the partition.
	split [2]clock.Milli
	// unmarked says that the rules do not mark the operation at present.
	unmarked  bool
	hosts     []*host
	outs      []*outbound
	callers   []*caller
	check     *checker
	report    Report
	tickets   int
	processes uint64
}

// after lets p do something after d. It is dropped when p has died by then,
// and put off while p is paused.
func (w *world) after(d clock.Milli, p *proc, run func()) {
	w.agenda.push(w.now+d, event{
		proc: p,
		run:  run,
	})
}

// play runs the schedule to its end.
func (w *world) play() {
	for len(w.agenda.heap) > 0 {
		at, e := w.agenda.pop()
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

// isQuiet reports whether all faults are over.
func (w *world) isQuiet() bool { return w.now >= quietAt }

// Delays of the network.
const (
	fastest = 1 * clock.Millisecond
	usual   = 20 * clock.Millisecond
	slowest = 4 * clock.Second
)

// send carries a message from one side to another and delivers it as often as
// the network likes.
func (w *world) send(from, to int, deliver func()) {
	w.report.Messages++
	if !w.isQuiet() {
		if from != to && w.now < w.split[from] {
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
	case w.isQuiet():
		return w.between(fastest, usual)
	case w.chance(w.cfg.late):
		w.report.Faults.Late++
		return w.between(window/2, 3*window)
	case w.chance(w.cfg.slow):
		w.report.Faults.Slow++
		return w.between(usual, slowest)
	}
	return w.between(fastest, usual)
}
