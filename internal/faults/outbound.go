package faults

import (
	"strconv"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of an outbound daemon.
const (
	// askFor is how long one daemon is waited for.
	askFor = 1500 * clock.Millisecond
)

// request is what a caller sends: without a ticket it asks for one.
type request struct {
	number int
	ticket ticket.Ticket
	query  bool
}

func (r request) isBare() bool { return r.ticket.ID == "" }

// response is what a caller gets back.
type response struct {
	verdict guard.Verdict
	// lost says that no daemon gave a verdict in time.
	lost bool
	// fresh is a new ticket, or the zero ticket.
	fresh ticket.Ticket
}

// outbound is a daemon's side towards callers. It keeps nothing about
// requests.
type outbound struct {
	w         *world
	side      int
	proc      *proc
	book      *ticket.StampCache
	withdrawn map[*host]bool
	last      guard.Answer
}

// mint makes a ticket for a target of the inventory and passes it on. A guard
// that was not heard of lately is asked for its stamp first; the zero ticket
// is passed on when it does not answer.
func (o *outbound) mint(number int, give func(ticket.Ticket)) {
	w := o.w
	var able []*host
	for _, h := range w.hosts {
		if !o.withdrawn[h] {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		give(ticket.Ticket{})
		return
	}
	h := able[w.rng.IntN(len(able))]
	if stamp, ok := o.book.Stamp(w.now, h.name); ok {
		give(o.ticket(number, h, stamp))
		return
	}
	o.greet(h, func() {
		stamp, ok := o.book.Stamp(w.now, h.name)
		if !ok {
			give(ticket.Ticket{})
			return
		}
		give(o.ticket(number, h, stamp))
	})
}

// greet asks a guard for its stamp and goes on once it is heard, or after a
// while.
func (o *outbound) greet(h *host, then func()) {
	w := o.w
	isOver := false
	goOn := func() {
		if !isOver {
			isOver = true
			then()
		}
	}
	w.send(o.side, h.side, func() {
		d := h.daemon
		w.after(0, d.proc, func() {
			stamp := d.table.Stamp(w.now)
			w.send(h.side, o.side, func() {
				w.after(0, o.proc, func() {
					if isOver {
						return
					}
					o.book.Learn(w.now, h.name, stamp)
					goOn()
				})
			})
		})
	})
	w.after(askFor, o.proc, goOn)
}

func (o *outbound) ticket(number int, h *host, stamp ticket.Stamp) ticket.Ticket {
	w := o.w
	w.tickets++
	tk := ticket.Ticket{
		ID:     strconv.Itoa(number) + "." + strconv.Itoa(w.tickets),
		Target: h.name,
		Window: window,
	}.WithStamp(stamp)
	w.check.minted(tk, number)
	return tk
}

// arrive handles a caller's request.
func (o *outbound) arrive(r request, reply func(response)) {
	if r.isBare() {
		o.mint(r.number, func(fresh ticket.Ticket) { reply(response{fresh: fresh}) })
		return
	}
	h := o.w.host(r.ticket.Target)
	c := &consult{
		out:     o,
		request: r,
		asked:   append([]*host{h}, o.w.heirs(h, r.ticket.Incarnation)...),
		reply:   reply,
	}
	c.next()
}

// consult is one request on its way through the daemons that may know of it:
// the guard first, then the heirs of its table.
type consult struct {
	out     *outbound
	request request
	asked   []*host
	turn    int
	// elsewhere counts the daemons that hold nothing of the incarnation.
	elsewhere int
	reply     func(response)
	ended     bool
}

// next asks the next daemon and goes on when it doesn't answer.
func (c *consult) next() {
	o, w := c.out, c.out.w
	if c.turn == len(c.asked) {
		c.giveUp()
		return
	}
	c.turn++
	turn, h := c.turn, c.asked[c.turn-1]
	w.send(o.side, h.side, func() {
		d := h.daemon
		w.after(0, d.proc, func() {
			c.ask(d, turn, func(v guard.Verdict) {
				w.send(h.side, o.side, func() {
					w.after(0, o.proc, func() { c.take(turn, h, v) })
				})
			})
		})
	})
	w.after(askFor, o.proc, func() {
		if c.turn == turn && !c.ended {
			c.next()
		}
	})
}

// ask hands the request to a daemon: the first is asked as the guard, the
// others for what they keep on their shelf.
func (c *consult) ask(d *daemon, turn int, tell func(guard.Verdict)) {
	tk := c.request.ticket
	if turn == 1 {
		d.arrive(tk, c.request.query, tell)
		return
	}
	v, ok := d.shelf.Query(d.w.now, tk)
	if !ok {
		v = guard.Verdict{
			Status: guard.Unknown,
			Reason: guard.OtherIncarnation,
		}
	} else {
		d.w.report.SuccessorVerdicts++
	}
	d.w.check.said(tk.ID, v)
	tell(v)
}

// take handles a daemon's verdict.
func (c *consult) take(turn int, h *host, v guard.Verdict) {
	if c.ended || turn != c.turn {
		return
	}
	if turn == 1 {
		c.out.book.Learn(c.out.w.now, h.name, v.Stamp)
	}
	if v.Status == guard.Unknown && (v.Reason == guard.OtherIncarnation || v.Reason == guard.Partial) {
		c.elsewhere++
		c.next()
		return
	}
	c.end(c.out.spoil(v))
}

// giveUp ends a consultation that nobody could decide.
func (c *consult) giveUp() {
	v := guard.Verdict{Status: guard.Unknown}
	if c.elsewhere == len(c.asked) {
		v.Reason = guard.OtherIncarnation
	}
	if c.out.w.plant == GuessNotRun {
		v.Status = guard.NotRun
		c.out.w.check.said(c.request.ticket.ID, v)
	}
	c.ended = true
	c.send(response{
		verdict: v,
		lost:    v.Reason != guard.OtherIncarnation,
	})
}

func (c *consult) end(v guard.Verdict) {
	c.ended = true
	c.send(response{verdict: v})
}

// send replies, with a new ticket if the present one was refused.
func (c *consult) send(r response) {
	if r.verdict.Status != guard.NotRun {
		c.reply(r)
		return
	}
	c.out.mint(c.request.number, func(fresh ticket.Ticket) {
		r.fresh = fresh
		c.reply(r)
	})
}

// spoil applies the plants that relay wrong answers.
func (o *outbound) spoil(v guard.Verdict) guard.Verdict {
	if v.Status != guard.Done || v.Reason == guard.AnswerTooLarge {
		return v
	}
	switch o.w.plant {
	case TruncateAnswers:
		v.Answer.Body = v.Answer.Body[:len(v.Answer.Body)/2]
	case SwapAnswers:
		v.Answer, o.last = o.last, v.Answer
	}
	return v
}
