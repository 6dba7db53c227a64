package faults

import (
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Timeouts and limits of a caller.
const (
	backoff       = 700 * clock.Millisecond
	maxAnswerWait = 9 * clock.Second
	maxNotRun     = 40
	// finalAttemptTime is the time before giveUpAt that a caller reserves for
	// its last attempts. An idle ticket is used or dropped before it begins.
	finalAttemptTime = 40 * clock.Second
	// finalIncarnationLosses is the number of consecutive OtherIncarnation
	// verdicts after which the caller accepts an unknown outcome as final.
	finalIncarnationLosses = 3
)

// caller has one non-idempotent request. It follows the rules for callers: it
// uses one ticket at a time, and takes a new ticket only after a not-run
// verdict.
type caller struct {
	w      *world
	number int
	side   int
	ticket ticket.Ticket
	// round numbers the attempts. Answers to earlier rounds are ignored.
	round int
	// query makes the next attempt a status query.
	query       bool
	notRunCount int
	ended       bool
	// sent reports whether the present ticket has been sent at least once.
	sent bool
	// incarnationLosses counts the consecutive OtherIncarnation verdicts: no
	// daemon knew the incarnation of the ticket.
	incarnationLosses int
	last              guard.Verdict
}

// attempt starts the next round: it sends the request through one outbound
// daemon, or through all of them at once.
func (c *caller) attempt() {
	w := c.w
	if c.ended {
		return
	}
	if w.now >= giveUpAt || c.notRunCount > maxNotRun {
		c.giveUp()
		return
	}
	c.round++
	c.sent = c.ticket.ID != ""
	round := c.round
	outbounds := []*outbound{w.outbounds[w.rng.IntN(len(w.outbounds))]}
	if c.ticket.ID != "" && w.chance(w.cfg.bothSides) {
		outbounds = w.outbounds
	}
	r := request{
		number: c.number,
		ticket: c.ticket,
		query:  c.query,
	}
	for _, o := range outbounds {
		w.send(c.side, o.side, func() {
			w.after(0, o.proc, func() {
				o.arrive(r, func(answer response) {
					w.send(o.side, c.side, func() { c.receive(round, answer) })
				})
			})
		})
	}
	w.after(w.between(backoff, maxAnswerWait), nil, func() {
		if c.round == round {
			c.query = w.chance(50)
			c.attempt()
		}
	})
}

// receive handles the first answer to a round and ignores all others.
func (c *caller) receive(round int, r response) {
	if c.ended || round != c.round {
		return
	}
	c.round++
	if c.ticket.ID == "" {
		c.useTicket(r.newTicket)
		return
	}
	c.last = r.verdict
	switch r.verdict.Status {
	case guard.Done:
		c.end(r.verdict)
	case guard.NotRun:
		c.notRunCount++
		c.useTicket(r.newTicket)
	case guard.Unknown:
		c.handleUnknown(r)
	default:
		c.retry(c.w.chance(50))
	}
}

// handleUnknown ends the request if the reason for the unknown outcome is
// final, and retries otherwise.
func (c *caller) handleUnknown(r response) {
	if c.w.defect == RetryUnknown {
		c.useTicket(ticket.Ticket{})
		return
	}
	if r.verdict.Reason == guard.OtherIncarnation {
		c.incarnationLosses++
	}
	isFinal := r.verdict.Reason == guard.Interrupted || r.verdict.Reason == guard.Forgotten || c.incarnationLosses == finalIncarnationLosses
	if !r.unanswered && isFinal {
		c.end(r.verdict)
		return
	}
	c.retry(c.w.chance(50))
}

// useTicket continues with a new ticket, or requests a ticket if tk is the zero
// ticket. Some callers leave the ticket idle for long. After that, a careless
// caller still sends it, and any other caller drops it, which needs no not-run
// verdict because the ticket was never sent.
func (c *caller) useTicket(tk ticket.Ticket) {
	c.ticket = tk
	c.query = false
	c.sent = false
	c.incarnationLosses = 0
	pause := backoff
	if c.w.chance(c.w.cfg.nap) {
		c.w.report.Faults.Naps++
		pause = min(c.w.between(window/8, 2*window), max(backoff, giveUpAt-finalAttemptTime-c.w.now))
	}
	c.w.after(pause, nil, func() {
		if pause > backoff && !c.w.cfg.careless {
			c.ticket = ticket.Ticket{}
		}
		c.attempt()
	})
}

func (c *caller) retry(query bool) {
	c.query = query
	c.w.after(backoff, nil, c.attempt)
}

// end records the caller's final outcome. An unknown outcome is a violation if
// a living daemon knows better.
func (c *caller) end(v guard.Verdict) {
	c.ended = true
	w := c.w
	r := w.checker.tickets[c.ticket.ID]
	switch v.Status {
	case guard.Done:
		w.report.Done++
		w.checker.answered(c.ticket.ID, r, v)
	case guard.NotRun:
		w.report.NotRun++
	default:
		w.report.Unknown[v.Reason]++
		if r.runs == 0 {
			w.report.UnknownUnrun[v.Reason]++
		}
		if known, by := w.findOutcome(c.ticket); known {
			w.checker.violate(NeedlessUnknown, "request %d, ticket %s, reason %s: %s knows", c.number, c.ticket.ID, v.Reason, by)
		}
	}
}

// giveUp ends a request that is still open at giveUpAt, long after all faults
// have ended, or that was refused too often. If the present ticket was never
// sent, the outcome is not-run. If the last verdict was OtherIncarnation, that
// is the outcome. All else is a violation.
func (c *caller) giveUp() {
	switch {
	case !c.sent:
		c.end(guard.Verdict{Status: guard.NotRun})
	case c.last.Status == guard.Unknown && c.last.Reason == guard.OtherIncarnation:
		c.end(c.last)
	default:
		c.w.checker.violate(Unfinished, "request %d, ticket %s, last verdict %+v", c.number, c.ticket.ID, c.last)
		c.end(guard.Verdict{Status: guard.Unknown})
	}
}

// findOutcome looks for a living daemon that knows whether the request of a
// ticket has run, and returns its host's name. It finds nothing before the
// faults have ended, when the caller may be unable to reach that daemon.
func (w *world) findOutcome(tk ticket.Ticket) (known bool, by string) {
	if !w.faultsEnded() {
		return false, ""
	}
	for _, h := range w.hosts {
		d := h.daemon
		if d.proc.dead {
			continue
		}
		v, ok := d.handoverStore.Query(w.now, tk)
		if d.incarnation == tk.Incarnation {
			v, ok = d.table.Query(w.now, tk), true
		}
		if ok && (v.Status == guard.Done || v.Status == guard.NotRun) {
			return true, h.name
		}
	}
	return false, ""
}
