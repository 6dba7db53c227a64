package load

import (
	"time"

	"siskinswitch.example/siskin/pkg/header"
)

// callState is the state of one call of the plan over all its tries.
type callState struct {
	arrival Arrival
	call    *Call
	// due is the intended start.
	due time.Time

	ticket    string
	tries     int
	notRun    int
	fault     Fault
	succeeded bool
	// ended is when the caller got a complete answer or gave up.
	ended  time.Time
	failed []failure
}

// failure is a try without a complete answer.
type failure struct {
	reason string
	// id is the request id in the answer, empty if there is none.
	id string
}

// maxTicketFetches bounds the exchanges of a call that only fetch a ticket and
// do not count as tries.
const maxTicketFetches = 8

// makeTries makes tries until an answer is complete, or until the tries or the
// time of the call run out.
func (g *generator) makeTries(c *callState) {
	ticketFetches := 0
	for c.tries < g.cfg.MaxTries {
		remaining := g.cfg.CallTimeout.Duration() - time.Since(c.due)
		if remaining < time.Millisecond {
			break
		}
		r := g.client.send(g.entryFor(c), c.call, c.arrival.Key, c.ticket, min(remaining, c.call.Deadline.Duration()))
		if isTicketOffer(r) && c.ticket == "" && ticketFetches < maxTicketFetches {
			ticketFetches++
			c.ticket = r.ticket
			continue
		}
		c.recordTry(r)
		if c.succeeded {
			break
		}
		time.Sleep(g.cfg.RetryDelay.Duration())
	}
	c.ended = time.Now()
}

// isTicketOffer reports whether r only states that the request needs a ticket
// and offers one.
func isTicketOffer(r tryResult) bool {
	return r.status == statusTicketRequired && r.outcome == header.NotRun && r.ticket != ""
}

const statusTicketRequired = 428

// recordTry records the result of one try. The ticket is replaced only by an
// answer that the request was not run with it, since a request whose outcome is
// unknown may have run at the target that the ticket names.
func (c *callState) recordTry(r tryResult) {
	c.tries++
	c.succeeded = r.complete
	if r.fault != NoFault {
		c.fault = r.fault
	}
	if r.outcome == header.NotRun {
		c.notRun++
		c.ticket = r.ticket
	}
	if !r.complete {
		c.failed = append(c.failed, failure{
			reason: r.reason,
			id:     r.id,
		})
	}
}

// entryFor returns the entry point for the next try of c. Consecutive tries use
// consecutive entry points.
func (g *generator) entryFor(c *callState) string {
	n := uint64(len(g.cfg.Entries))
	return g.cfg.Entries[(c.arrival.Random+uint64(c.tries))%n]
}
