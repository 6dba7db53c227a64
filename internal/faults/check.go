package faults

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
)

// Violation is a promise that a schedule broke.
type Violation uint8

// Violations.
const (
	// DoubleRun: a request ran more than once.
	DoubleRun Violation = iota
	// FalseNotRun: a request was said not to have run, and it ran before or
	// later.
	FalseNotRun
	// WrongAnswer: an answer is not the whole answer of the request's first run.
	WrongAnswer
	// NeedlessUnknown: an outcome was said to be unknown though it was known.
	NeedlessUnknown
	// Unfinished: a request did not end although all faults had passed.
	Unfinished

	violations
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

// record is what the checker has seen of one ticket.
type record struct {
	request int
	runs    int
	notRun  bool
	cut     bool
	body    string
}

// checker watches one schedule.
type checker struct {
	tickets  map[string]*record
	runs     map[int]int
	broken   [violations]int
	evidence string
}

func newChecker() *checker {
	return &checker{
		tickets: make(map[string]*record),
		runs:    make(map[int]int),
	}
}

func (c *checker) violate(v Violation, format string, args ...any) {
	c.broken[v]++
	if c.evidence == "" {
		c.evidence = fmt.Sprintf("%s: ", v) + fmt.Sprintf(format, args...)
	}
}

// minted notes that a ticket was made for a request.
func (c *checker) minted(tk ticket.Ticket, request int) {
	c.tickets[tk.ID] = &record{request: request}
}

// ran notes that a target begins to run the request of a ticket.
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
		c.violate(FalseNotRun, "ticket %s ran after it was said not to", id)
	}
}

// wasCut notes that an exchange between a daemon and its target broke off.
func (c *checker) wasCut(id string) { c.tickets[id].cut = true }

// said notes a word about a ticket as it leaves a daemon. That a guard's word
// contradicts what the checker has seen is a violation at once.
func (c *checker) said(id string, v guard.Verdict) {
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
		if v.Reason == guard.Ahead || v.Reason == guard.Interrupted && !r.cut {
			c.violate(NeedlessUnknown, "ticket %s, reason %s", id, v.Reason)
		}
	case guard.Mismatch:
		c.violate(WrongAnswer, "ticket %s was said to have other content", id)
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
