package procs

import (
	"fmt"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/client"
	"siskinswitch.example/siskin/pkg/clock"
)

// ViolationKind is a promise that was broken.
type ViolationKind uint8

// Breaches.
const (
	// DoubleRun: a request that may not be repeated was started twice.
	DoubleRun ViolationKind = iota + 1
	// FalseNotRun: a caller was told that a request had not run, and it ran.
	FalseNotRun
	// FalseDone: a caller was told that a request had run, and it had not.
	FalseDone
	// WrongAnswer: an answer was another request's, or not whole.
	WrongAnswer
	// TwoAnswers: the same request was answered differently.
	TwoAnswers
	// Reverted: a daemon went back to an earlier configuration.
	Reverted
	// InterruptedByStop: a planned stop cost a caller an answer.
	InterruptedByStop
	// WorkWhileLeaving: a target that was leaving got new work.
	WorkWhileLeaving
)

// String returns the breach's name.
func (b ViolationKind) String() string {
	return [...]string{
		DoubleRun:         "double run",
		FalseNotRun:       "false not-run",
		FalseDone:         "false done",
		WrongAnswer:       "wrong answer",
		TwoAnswers:        "two answers",
		Reverted:          "reverted",
		InterruptedByStop: "cut by a planned stop",
		WorkWhileLeaving:  "late work",
	}[b]
}

// Violation is a broken promise with what shows it.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// String returns the violation in a line.
func (v Violation) String() string { return v.Kind.String() + ": " + v.Detail }

// Interval is a stretch of time on the clock of the world.
type Interval struct {
	Start clock.Milli
	End   clock.Milli
}

// meets reports whether two spans share an instant.
func (s Interval) meets(o Interval) bool { return s.Start <= o.End && o.Start <= s.End }

// Stop is a planned stop of a daemon.
type Stop struct {
	Name string
	// HealthySince is when the fleet was whole again after the last fault. Requests
	// from before may have been harmed by that one.
	HealthySince clock.Milli
	Interval     Interval
}

// Result is what a caller was told about a request in the end.
type Result struct {
	Key  string
	Path string
	// AtMostOnce is set for an operation that may not be repeated.
	AtMostOnce bool
	// Outcome is empty when the caller got no whole answer.
	Outcome client.Outcome
	Status  int
	// Body is the answer of the target.
	Body string
	// Fault tells why a target's answer is not the whole one to the request.
	Fault string
	// ConnRefused is set when no connection could be made, so that nothing was
	// asked of any daemon.
	ConnRefused bool
	// Detail tells where and how the request was made, and what failed.
	Detail   string
	Interval Interval
}

// isWhole reports whether the caller got the answer of the target that it
// wanted.
func (w Result) isWhole() bool {
	return w.Outcome == client.Done && w.Status == statusOK && w.Fault == ""
}

// StatusSample is what a daemon had in force when it was looked at.
type StatusSample struct {
	Name        string
	Incarnation uint64
	Ready       bool
	Version     uint64
}

// LeavingCheck says that a target was leaving, and how much work reached it after the
// time in which it may still get some.
type LeavingCheck struct {
	Target      string
	NewRequests int64
}

// Evidence is all that was seen in a world.
type Evidence struct {
	Results []Result
	// Runs counts the starts and ends of each once-only request, by key, over
	// all targets.
	Runs map[string]fakes.Run
	// Samples are in the order in which each daemon was looked at.
	Samples []StatusSample
	// Stops are the planned stops that were made while nothing else was broken.
	Stops         []Stop
	LeavingChecks []LeavingCheck
	// Crossed counts deeper calls that were answered with another's answer.
	Crossed int64
}

// Check returns the broken promises that the evidence shows.
func Check(e Evidence) []Violation {
	var c checker
	c.checkRuns(e)
	c.checkWords(e)
	c.checkAnswers(e.Results)
	c.checkSights(e.Samples)
	for _, m := range e.LeavingChecks {
		if m.NewRequests > 0 {
			c.add(WorkWhileLeaving, "%s got %d new requests", m.Target, m.NewRequests)
		}
	}
	if e.Crossed > 0 {
		c.add(WrongAnswer, "targets saw %d crossed answers", e.Crossed)
	}
	return c.found
}

type checker struct {
	found []Violation
}

func (c *checker) add(b ViolationKind, format string, args ...any) {
	c.found = append(c.found, Violation{
		Kind:   b,
		Detail: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkRuns(e Evidence) {
	for key, run := range e.Runs {
		if run.Started > 1 {
			c.add(DoubleRun, "%s ran %d times", key, run.Started)
		}
	}
}

func (c *checker) checkWords(e Evidence) {
	for _, w := range e.Results {
		if w.Fault != "" {
			c.add(WrongAnswer, "%s: %s: %s", w.Key, w.Fault, w.Body)
			continue
		}
		if w.AtMostOnce {
			c.checkWord(w, e.Runs[w.Key])
		}
		if w.isWhole() || w.Outcome == client.NotRun || w.ConnRefused {
			continue
		}
		for _, stop := range e.Stops {
			if w.Interval.Start >= stop.HealthySince && stop.Interval.meets(w.Interval) {
				c.add(InterruptedByStop, "%s after %d ms: %s %s took %d ms: %q, status %d, %s, %s",
					stop.Name, w.Interval.Start-stop.Interval.Start, w.Path, w.Key, w.Interval.End-w.Interval.Start, w.Outcome, w.Status, w.Detail, w.Body)
			}
		}
	}
}

// checkWord compares what a caller was told with what ran.
func (c *checker) checkWord(w Result, run fakes.Run) {
	switch {
	case w.Outcome == client.NotRun && run.Started > 0:
		c.add(FalseNotRun, "%s ran; %s", w.Key, w.Detail)
	case w.Outcome == client.Done && run.Started == 0:
		c.add(FalseDone, "%s did not run; %s", w.Key, w.Detail)
	case w.isWhole() && run.Completed == 0:
		c.add(FalseDone, "%s did not complete; %s", w.Key, w.Detail)
	}
}

// checkAnswers checks that all answers to one once-only request are the same.
func (c *checker) checkAnswers(words []Result) {
	first := make(map[string]string)
	for _, w := range words {
		if !w.AtMostOnce || !w.isWhole() {
			continue
		}
		body, ok := first[w.Key]
		if !ok {
			first[w.Key] = w.Body
		} else if body != w.Body {
			c.add(TwoAnswers, "%s: %s and %s", w.Key, body, w.Body)
		}
	}
}

// checkSights checks that no run of a daemon goes back, and that none serves
// with less than the run before it had in force.
func (c *checker) checkSights(sights []StatusSample) {
	last := make(map[string]StatusSample)
	for _, s := range sights {
		before := last[s.Name]
		if !s.Ready && s.Incarnation != before.Incarnation {
			// A new run may learn step by step while it does not serve yet.
			continue
		}
		if s.Version < before.Version {
			c.add(Reverted, "%s from version %d to %d", s.Name, before.Version, s.Version)
		}
		last[s.Name] = s
	}
}
