package faults

import (
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times and bounds of a caller.
const (
	backoff     = 700 * clock.Millisecond
	longestWait = 9 * clock.Second
	maxMoves    = 40
	// lastTries is the time that a caller keeps for its last attempts.
	lastTries = 40 * clock.Second
	// enoughGone is how often in a row nobody may know the incarnation before
	// the caller takes it as final.
	enoughGone = 3
)

// caller has one request that may run once. It follows the rules for callers:
// one ticket at a time, and a new one only after not-run.
type caller struct {
	w      *world
	number int
	side   int
	ticket ticket.Ticket
	// round counts the attempts; answers to earlier ones are not heard.
	round int
	ask   bool
	moves int
	ended bool
	// sent says that the present ticket has been sent at least once.
	sent bool
	// gone counts the times in a row that nobody knew the incarnation.
	gone int
	last guard.Verdict
}

// attempt starts the next round, on one side or on both at once.
func (c *caller) attempt() {
	w := c.w
	if c.ended {
		return
	}
	if w.now >= giveUpAt || c.moves > maxMoves {
		c.giveUp()
		return
	}
	c.round++
	c.sent = c.ticket.ID != ""
	round := c.round
	outs := []*outbound{w.outs[w.rng.IntN(len(w.outs))]}
	if c.ticket.ID != "" && w.chance(w.cfg.bothSides) {
		outs = w.outs
	}
	r := request{
		number: c.number,
		ticket: c.ticket,
		query:  c.ask,
	}
	for _, o := range outs {
		w.send(c.side, o.side, func() {
			w.after(0, o.proc, func() {
				o.arrive(r, func(answer response) {
					w.send(o.side, c.side, func() { c.hear(round, answer) })
				})
			})
		})
	}
	w.after(w.between(backoff, longestWait), nil, func() {
		if c.round == round {
			c.ask = w.chance(50)
			c.attempt()
		}
	})
}

// hear handles the first answer to a round.
func (c *caller) hear(round int, r response) {
	if c.ended || round != c.round {
		return
	}
	c.round++
	if c.ticket.ID == "" {
		c.renew(r.fresh)
		return
	}
	c.last = r.verdict
	switch r.verdict.Status {
	case guard.Done:
		c.end(r.verdict)
	case guard.NotRun:
		c.moves++
		c.renew(r.fresh)
	case guard.Unknown:
		c.doubt(r)
	default:
		c.again(c.w.chance(50))
	}
}

// doubt handles an unknown outcome. Some reasons are final.
func (c *caller) doubt(r response) {
	if c.w.plant == RetryUnknown {
		c.renew(ticket.Ticket{})
		return
	}
	if r.verdict.Reason == guard.OtherIncarnation {
		c.gone++
	}
	isFinal := r.verdict.Reason == guard.Interrupted || r.verdict.Reason == guard.Forgotten || c.gone == enoughGone
	if !r.lost && isFinal {
		c.end(r.verdict)
		return
	}
	c.again(c.w.chance(50))
}

// renew goes on with a new ticket, or asks for one if there is none. Some
// callers leave a ticket lying for long; those who are not careless drop it
// then, which needs no proof because they have never sent it.
func (c *caller) renew(tk ticket.Ticket) {
	c.ticket = tk
	c.ask = false
	c.sent = false
	c.gone = 0
	pause := backoff
	if c.w.chance(c.w.cfg.nap) {
		c.w.report.Faults.Naps++
		pause = min(c.w.between(window/8, 2*window), max(backoff, giveUpAt-lastTries-c.w.now))
	}
	c.w.after(pause, nil, func() {
		if pause > backoff && !c.w.cfg.careless {
			c.ticket = ticket.Ticket{}
		}
		c.attempt()
	})
}

func (c *caller) again(ask bool) {
	c.ask = ask
	c.w.after(backoff, nil, c.attempt)
}

// end notes the outcome that the caller is left with.
func (c *caller) end(v guard.Verdict) {
	c.ended = true
	w := c.w
	r := w.check.tickets[c.ticket.ID]
	switch v.Status {
	case guard.Done:
		w.report.Done++
		w.check.answered(c.ticket.ID, r, v)
	case guard.NotRun:
		w.report.NotRun++
	default:
		w.report.Unknown[v.Reason]++
		if r.runs == 0 {
			w.report.UnknownUnrun[v.Reason]++
		}
		if known, by := w.whoKnows(c.ticket); known {
			w.check.violate(NeedlessUnknown, "request %d, ticket %s, reason %s: %s knows", c.number, c.ticket.ID, v.Reason, by)
		}
	}
}

// giveUp ends a request whose caller has run out of patience, after all
// faults have passed.
func (c *caller) giveUp() {
	switch {
	case !c.sent:
		c.end(guard.Verdict{Status: guard.NotRun})
	case c.last.Status == guard.Unknown && c.last.Reason == guard.OtherIncarnation:
		c.end(c.last)
	default:
		c.w.check.violate(Unfinished, "request %d, ticket %s, last word %+v", c.number, c.ticket.ID, c.last)
		c.end(guard.Verdict{Status: guard.Unknown})
	}
}

// whoKnows looks for a living daemon that can settle the request of a ticket
// for good.
func (w *world) whoKnows(tk ticket.Ticket) (known bool, by string) {
	if !w.isQuiet() {
		return false, ""
	}
	for _, h := range w.hosts {
		d := h.daemon
		if d.proc.dead {
			continue
		}
		v, ok := d.shelf.Query(w.now, tk)
		if d.incarnation == tk.Incarnation {
			v, ok = d.table.Query(w.now, tk), true
		}
		if ok && (v.Status == guard.Done || v.Status == guard.NotRun) {
			return true, h.name
		}
	}
	return false, ""
}
