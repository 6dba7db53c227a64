package faults

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
)

// Violation is a kind of broken guarantee.
type Violation uint8

// Violations.
const (
	// DoubleRun: a request ran more than once.
	DoubleRun Violation = iota
	// FalseNotRun: a request was reported as not run, but ran before or after
	// that.
	FalseNotRun
	// WrongAnswer: an answer is not the complete answer of the request's first
	// run.
	WrongAnswer
	// NeedlessUnknown: an outcome was reported as unknown although it was known.
	NeedlessUnknown
	// Unfinished: a request did not end although all faults had ended.
	Unfinished

	violationCount
)

// String returns the violation's name.
func (v Violation) String() string {
	return [...]string{
		DoubleRun:       "double run",
		FalseNotRun:     "false not-run",
		WrongAnswer:     "wrong answer",
		NeedlessUnknown: "needless unknown",
		Unfinished:      "stuck",
	}[v]
}

// record holds the checker's observations of one ticket.
type record struct {
	request     int
	runs        int
	notRun      bool
	interrupted bool
	body        string
}

// checker observes one schedule and counts the violations.
type checker struct {
	tickets    map[string]*record
	runs       map[int]int
	violations [violationCount]int
	evidence   string
}

func newChecker() *checker {
	return &checker{
		tickets: make(map[string]*record),
		runs:    make(map[int]int),
	}
}

func (c *checker) violate(v Violation, format string, args ...any) {
	c.violations[v]++
	if c.evidence == "" {
		c.evidence = fmt.Sprintf("%s: ", v) + fmt.Sprintf(format, args...)
	}
}

// issued records that a ticket was issued for a request.
func (c *checker) issued(tk ticket.Ticket, request int) {
	c.tickets[tk.ID] = &record{request: request}
}

// ran records that a target begins to run the request of a ticket. The body is
// that of the answer.
func (c *checker) ran(id, body string) {
	r := c.tickets[id]
	r.runs++
	c.runs[r.request]++
	if r.runs == 1 {
		r.body = body
	}
	if c.runs[r.request] > 1 {
		c.violate(DoubleRun, "request %d ran again on ticket %s", r.request, id)
	}
	if r.notRun {
		c.violate(FalseNotRun, "ticket %s ran after it was reported as not run", id)
	}
}

// interrupted records that the exchange between a daemon and its target was
// interrupted, which permits the unknown verdict with the reason Interrupted.
func (c *checker) interrupted(id string) { c.tickets[id].interrupted = true }

// reported records the verdict on a ticket that a daemon sends. A verdict that
// contradicts the checker's observations is a violation at once, also if it
// never reaches the caller.
func (c *checker) reported(id string, v guard.Verdict) {
	r := c.tickets[id]
	switch v.Status {
	case guard.NotRun:
		r.notRun = true
		if r.runs > 0 {
			c.violate(FalseNotRun, "ticket %s had run, reason %s", id, v.Reason)
		}
	case guard.Done:
		c.answered(id, r, v)
	case guard.Unknown:
		if v.Reason == guard.Ahead || v.Reason == guard.Interrupted && !r.interrupted {
			c.violate(NeedlessUnknown, "ticket %s, reason %s", id, v.Reason)
		}
	case guard.Mismatch:
		c.violate(WrongAnswer, "ticket %s was reported as having other content", id)
	}
}

func (c *checker) answered(id string, r *record, v guard.Verdict) {
	switch {
	case r.runs == 0:
		c.violate(WrongAnswer, "ticket %s was answered and never ran", id)
	case v.Reason == guard.AnswerTooLarge:
	case string(v.Answer.Body) != r.body:
		c.violate(WrongAnswer, "ticket %s got %.40q, want %.40q", id, v.Answer.Body, r.body)
	}
}
