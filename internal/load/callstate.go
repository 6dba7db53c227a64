package load

import (
	"time"

	"siskinswitch.example/siskin/pkg/header"
)

// wish is one call of the plan with all tries at it.
type wish struct {
	arrival Arrival
	call    *Call
	// due is the intended start.
	due time.Time

	ticket string
	tries  int
	notRun int
	fault  Fault
	whole  bool
	// ended is when the caller got its answer or gave up.
	ended  time.Time
	failed []failure
}

// failure is a try that did not bring the whole answer.
type failure struct {
	reason string
	// id is the request id in the answer, empty without.
	id string
}

// maxTickets bounds the exchanges that only fetch a ticket, which are no tries.
const maxTickets = 8

// carry makes tries until one is whole, or tries or patience run out.
func (g *generator) carry(w *wish) {
	tickets := 0
	for w.tries < g.cfg.MaxTries {
		left := g.cfg.CallTimeout.Duration() - time.Since(w.due)
		if left < time.Millisecond {
			break
		}
		v := g.client.send(g.entry(w), w.call, w.arrival.Key, w.ticket, min(left, w.call.Deadline.Duration()))
		if isTicketOffer(v) && w.ticket == "" && tickets < maxTickets {
			tickets++
			w.ticket = v.ticket
			continue
		}
		w.take(v)
		if w.whole {
			break
		}
		time.Sleep(g.cfg.RetryDelay.Duration())
	}
	w.ended = time.Now()
}

// isTicketOffer reports whether v only says that the request needs a ticket.
func isTicketOffer(v verdict) bool {
	return v.status == statusTicket && v.outcome == header.NotRun && v.ticket != ""
}

const statusTicket = 428

// take records the verdict on one try. A ticket is given up only once the
// request is proved not-run on it.
func (w *wish) take(v verdict) {
	w.tries++
	w.whole = v.whole
	if v.fault != NoFault {
		w.fault = v.fault
	}
	if v.outcome == header.NotRun {
		w.notRun++
		w.ticket = v.ticket
	}
	if !v.whole {
		w.failed = append(w.failed, failure{
			reason: v.reason,
			id:     v.id,
		})
	}
}

// entry chooses the entry point for the next try of w: another one each time.
func (g *generator) entry(w *wish) string {
	n := uint64(len(g.cfg.Entries))
	return g.cfg.Entries[(w.arrival.Random+uint64(w.tries))%n]
}
