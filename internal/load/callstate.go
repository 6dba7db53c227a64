package load

import (
	"time"

	"siskinswitch.example/siskin/pkg/header"
)

// callState is one call of the plan with all tries at it.
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

// maxTicketFetches bounds the exchanges that only fetch a ticket, which are no tries.
const maxTicketFetches = 8

// makeTries makes tries until one is whole, or tries or patience run out.
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

// isTicketOffer reports whether v only says that the request needs a ticket.
func isTicketOffer(r tryResult) bool {
	return r.status == statusTicketRequired && r.outcome == header.NotRun && r.ticket != ""
}

const statusTicketRequired = 428

// recordTry records the verdict on one try. A ticket is given up only once the
// request is proved not-run on it.
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

// entryFor chooses the entryFor point for the next try of w: another one each time.
func (g *generator) entryFor(c *callState) string {
	n := uint64(len(g.cfg.Entries))
	return g.cfg.Entries[(c.arrival.Random+uint64(c.tries))%n]
}
