package faults

import (
	"strconv"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of an outbound daemon.
const (
	// askTimeout is the time that an outbound daemon waits for one guarding
	// daemon before it goes on.
	askTimeout = 1500 * clock.Millisecond
)

// request is a caller's message. Without a ticket, it asks for one.
type request struct {
	number int
	ticket ticket.Ticket
	query  bool
}

func (r request) needsTicket() bool { return r.ticket.ID == "" }

// response is an outbound daemon's reply to a caller.
type response struct {
	verdict guard.Verdict
	// unanswered reports whether the lookup ended without a verdict because a
	// daemon did not answer in time.
	unanswered bool
	// newTicket is the ticket for the next attempt, or the zero ticket.
	newTicket ticket.Ticket
}

// outbound is the part of a daemon that serves callers. It stores nothing about
// requests.
type outbound struct {
	w          *world
	side       int
	proc       *proc
	stamps     *ticket.StampCache
	withdrawn  map[*host]bool
	lastAnswer guard.Answer
}

// mint makes a ticket for a random target of the inventory and calls done with
// it. If no recent stamp of the target's guard is cached, mint asks the guard
// first. It calls done with the zero ticket if the guard does not answer or the
// inventory is empty.
func (o *outbound) mint(number int, done func(ticket.Ticket)) {
	w := o.w
	var available []*host
	for _, h := range w.hosts {
		if !o.withdrawn[h] {
			available = append(available, h)
		}
	}
	if len(available) == 0 {
		done(ticket.Ticket{})
		return
	}
	h := available[w.rng.IntN(len(available))]
	if stamp, ok := o.stamps.Stamp(w.now, h.name); ok {
		done(o.ticket(number, h, stamp))
		return
	}
	o.fetchStamp(h, func() {
		stamp, ok := o.stamps.Stamp(w.now, h.name)
		if !ok {
			done(ticket.Ticket{})
			return
		}
		done(o.ticket(number, h, stamp))
	})
}

// fetchStamp asks a guard for its stamp and calls done once, when the stamp has
// arrived or after askTimeout.
func (o *outbound) fetchStamp(h *host, done func()) {
	w := o.w
	isDone := false
	finish := func() {
		if !isDone {
			isDone = true
			done()
		}
	}
	w.send(o.side, h.side, func() {
		d := h.daemon
		w.after(0, d.proc, func() {
			stamp := d.table.Stamp(w.now)
			w.send(h.side, o.side, func() {
				w.after(0, o.proc, func() {
					if isDone {
						return
					}
					o.stamps.Learn(w.now, h.name, stamp)
					finish()
				})
			})
		})
	})
	w.after(askTimeout, o.proc, finish)
}

func (o *outbound) ticket(number int, h *host, stamp ticket.Stamp) ticket.Ticket {
	w := o.w
	w.tickets++
	tk := ticket.Ticket{
		ID:     strconv.Itoa(number) + "." + strconv.Itoa(w.tickets),
		Target: h.name,
		Window: window,
	}.WithStamp(stamp)
	w.checker.issued(tk, number)
	return tk
}

// arrive handles a caller's request.
func (o *outbound) arrive(r request, reply func(response)) {
	if r.needsTicket() {
		o.mint(r.number, func(newTicket ticket.Ticket) { reply(response{newTicket: newTicket}) })
		return
	}
	h := o.w.host(r.ticket.Target)
	l := &lookup{
		out:        o,
		request:    r,
		candidates: append([]*host{h}, o.w.successors(h, r.ticket.Incarnation)...),
		reply:      reply,
	}
	l.next()
}

// lookup passes one request to the daemons that may know its outcome, one after
// the other: first the guard, then the successors of its table.
type lookup struct {
	out        *outbound
	request    request
	candidates []*host
	// turn is the number of daemons asked so far.
	turn int
	// withoutRecord counts the daemons that answered without a complete table
	// of the ticket's incarnation.
	withoutRecord int
	reply         func(response)
	ended         bool
}

// next asks the next daemon, and the one after it if there is no answer within
// askTimeout.
func (l *lookup) next() {
	o, w := l.out, l.out.w
	if l.turn == len(l.candidates) {
		l.giveUp()
		return
	}
	l.turn++
	turn, h := l.turn, l.candidates[l.turn-1]
	w.send(o.side, h.side, func() {
		d := h.daemon
		w.after(0, d.proc, func() {
			l.ask(d, turn, func(v guard.Verdict) {
				w.send(h.side, o.side, func() {
					w.after(0, o.proc, func() { l.receive(turn, h, v) })
				})
			})
		})
	})
	w.after(askTimeout, o.proc, func() {
		if l.turn == turn && !l.ended {
			l.next()
		}
	})
}

// ask passes the request to a daemon. The first daemon acts as the guard; the
// others only look in their handover store.
func (l *lookup) ask(d *daemon, turn int, reply func(guard.Verdict)) {
	tk := l.request.ticket
	if turn == 1 {
		d.arrive(tk, l.request.query, reply)
		return
	}
	v, ok := d.handoverStore.Query(d.w.now, tk)
	if !ok {
		v = guard.Verdict{
			Status: guard.Unknown,
			Reason: guard.OtherIncarnation,
		}
	} else {
		d.w.report.SuccessorVerdicts++
	}
	d.w.checker.reported(tk.ID, v)
	reply(v)
}

// receive handles a daemon's verdict, unless it arrives after its timeout.
func (l *lookup) receive(turn int, h *host, v guard.Verdict) {
	if l.ended || turn != l.turn {
		return
	}
	if turn == 1 {
		l.out.stamps.Learn(l.out.w.now, h.name, v.Stamp)
	}
	if v.Status == guard.Unknown && (v.Reason == guard.OtherIncarnation || v.Reason == guard.Partial) {
		l.withoutRecord++
		l.next()
		return
	}
	l.end(l.out.corruptAnswer(v))
}

// giveUp ends a lookup in which no daemon knew the outcome. Only if all of them
// said so is the reason OtherIncarnation.
func (l *lookup) giveUp() {
	v := guard.Verdict{Status: guard.Unknown}
	if l.withoutRecord == len(l.candidates) {
		v.Reason = guard.OtherIncarnation
	}
	if l.out.w.defect == GuessNotRun {
		v.Status = guard.NotRun
		l.out.w.checker.reported(l.request.ticket.ID, v)
	}
	l.ended = true
	l.respond(response{
		verdict:    v,
		unanswered: v.Reason != guard.OtherIncarnation,
	})
}

func (l *lookup) end(v guard.Verdict) {
	l.ended = true
	l.respond(response{verdict: v})
}

// respond replies to the caller, with a new ticket after a not-run verdict.
func (l *lookup) respond(r response) {
	if r.verdict.Status != guard.NotRun {
		l.reply(r)
		return
	}
	l.out.mint(l.request.number, func(newTicket ticket.Ticket) {
		r.newTicket = newTicket
		l.reply(r)
	})
}

// corruptAnswer applies the defects that relay wrong answers.
func (o *outbound) corruptAnswer(v guard.Verdict) guard.Verdict {
	if v.Status != guard.Done || v.Reason == guard.AnswerTooLarge {
		return v
	}
	switch o.w.defect {
	case TruncateAnswers:
		v.Answer.Body = v.Answer.Body[:len(v.Answer.Body)/2]
	case SwapAnswers:
		v.Answer, o.lastAnswer = o.lastAnswer, v.Answer
	}
	return v
}
