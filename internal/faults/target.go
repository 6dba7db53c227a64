package faults

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/pkg/clock"
)

// Limits of the simulated targets.
const (
	maxRunTime      = 2 * clock.Second
	maxPaddingBytes = 1000
)

// execute sends a started request to the target beside d. The target is a
// separate process, which continues the run when the daemon dies.
func (d *daemon) execute(id string) {
	w := d.w
	if !w.faultsEnded() {
		if w.chance(w.cfg.shed) {
			w.report.Faults.Shed++
			w.after(w.between(1, 10), d.proc, func() { d.shedByTarget(id) })
			return
		}
		if w.chance(w.cfg.cut) {
			d.interrupt(id)
			return
		}
	}
	w.after(w.between(1, 50), nil, func() {
		body := w.runRequest(id)
		w.after(w.between(1, maxRunTime), d.proc, func() { d.finish(id, body) })
	})
}

// interrupt resets the connection to the target. The request may run before or
// after the daemon detects the reset, or not at all.
func (d *daemon) interrupt(id string) {
	w := d.w
	w.report.Faults.Cut++
	w.checker.interrupted(id)
	if w.chance(60) {
		w.after(w.between(1, maxRunTime), nil, func() { w.runRequest(id) })
	}
	w.after(w.between(1, maxRunTime), d.proc, func() { d.fail(id) })
}

// runRequest runs the request at a target and returns the body of the answer.
func (w *world) runRequest(id string) string {
	w.report.Runs++
	body := fmt.Sprintf("%s at %d ", id, w.now)
	if w.chance(20) {
		body += strings.Repeat("x", w.rng.IntN(maxPaddingBytes))
	}
	w.checker.ran(id, body)
	return body
}

func toAnswer(body string) guard.Answer {
	return guard.Answer{
		Status: 200,
		Body:   []byte(body),
	}
}
