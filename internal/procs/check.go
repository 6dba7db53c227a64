package procs

import (
	"fmt"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/client"
	"siskinswitch.example/siskin/pkg/clock"
)

// ViolationKind identifies the guarantee that a [Violation] breaks.
type ViolationKind uint8

// Kinds of violations.
const (
	// DoubleRun: a non-idempotent request was started more than once.
	DoubleRun ViolationKind = iota + 1
	// FalseNotRun: the outcome reported to a caller is not-run, but the request ran.
	FalseNotRun
	// FalseDone: the outcome reported to a caller is done, but the request did not
	// run, or did not complete although it was answered with success.
	FalseDone
	// WrongAnswer: an answer belongs to another request, or is incomplete.
	WrongAnswer
	// TwoAnswers: the same non-idempotent request got two different answers.
	TwoAnswers
	// Reverted: a daemon returned to an earlier configuration.
	Reverted
	// InterruptedByStop: a request in flight during a planned stop got no complete
	// answer.
	InterruptedByStop
	// WorkWhileLeaving: a leaving target got new requests.
	WorkWhileLeaving
)

// String returns the name of the kind.
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

// Violation is a broken guarantee with the observation that shows it.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Kind.String() + ": " + v.Detail }

// Interval is an interval of time on the clock of the world, both ends included.
type Interval struct {
	Start clock.Milli
	End   clock.Milli
}

// overlaps reports whether the two intervals have an instant in common.
func (s Interval) overlaps(o Interval) bool { return s.Start <= o.End && o.Start <= s.End }

// Stop is a planned stop of a daemon.
type Stop struct {
	Name string
	// HealthySince is the time from which the fleet was healthy after the previous
	// fault. That fault may have harmed requests that started earlier.
	HealthySince clock.Milli
	Interval     Interval
}

// Result is the final result of a request as its caller saw it.
type Result struct {
	Key  string
	Path string
	// AtMostOnce is set for a non-idempotent operation.
	AtMostOnce bool
	// Outcome is empty if the caller got no complete answer.
	Outcome client.Outcome
	Status  int
	// Body is the answer of the target.
	Body string
	// Fault is the reason why the body is not the complete answer to the request,
	// empty if it is.
	Fault string
	// ConnRefused is set if no connection could be opened, so that the request
	// reached no daemon.
	ConnRefused bool
	// Detail says how and through which daemon the request was made, and which
	// error occurred.
	Detail   string
	Interval Interval
}

// isComplete reports whether the caller got the target's complete answer of
// success.
func (r Result) isComplete() bool {
	return r.Outcome == client.Done && r.Status == statusOK && r.Fault == ""
}

// StatusSample is the state of a daemon, with the version of the configuration in
// force, at one read of its status.
type StatusSample struct {
	Name        string
	Incarnation uint64
	Ready       bool
	Version     uint64
}

// LeavingCheck holds how many new requests reached a leaving target after the time
// in which it may still get some.
type LeavingCheck struct {
	Target      string
	NewRequests int64
}

// Evidence is everything that was recorded in a world.
type Evidence struct {
	Results []Result
	// Runs holds the runs of each non-idempotent request over all targets, by
	// Idempotency-Key.
	Runs map[string]fakes.Run
	// Samples are in order of time for each daemon.
	Samples []StatusSample
	// Stops are the planned stops. No other fault was active during them.
	Stops         []Stop
	LeavingChecks []LeavingCheck
	// Crossed counts downstream calls that got an answer to another request.
	Crossed int64
}

// Check returns the violations that the evidence shows.
func Check(e Evidence) []Violation {
	var c checker
	c.checkRuns(e)
	c.checkResults(e)
	c.checkAnswers(e.Results)
	c.checkVersions(e.Samples)
	for _, l := range e.LeavingChecks {
		if l.NewRequests > 0 {
			c.add(WorkWhileLeaving, "%s got %d new requests", l.Target, l.NewRequests)
		}
	}
	if e.Crossed > 0 {
		c.add(WrongAnswer, "targets saw %d crossed answers", e.Crossed)
	}
	return c.found
}

// checker collects violations.
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

// checkResults checks the answers and outcomes of all requests, and that planned
// stops interrupted none.
func (c *checker) checkResults(e Evidence) {
	for _, r := range e.Results {
		if r.Fault != "" {
			c.add(WrongAnswer, "%s: %s: %s", r.Key, r.Fault, r.Body)
			continue
		}
		if r.AtMostOnce {
			c.checkOutcome(r, e.Runs[r.Key])
		}
		if r.isComplete() || r.Outcome == client.NotRun || r.ConnRefused {
			continue
		}
		for _, stop := range e.Stops {
			if r.Interval.Start >= stop.HealthySince && stop.Interval.overlaps(r.Interval) {
				c.add(InterruptedByStop, "%s after %d ms: %s %s took %d ms: %q, status %d, %s, %s",
					stop.Name, r.Interval.Start-stop.Interval.Start, r.Path, r.Key, r.Interval.End-r.Interval.Start, r.Outcome, r.Status, r.Detail, r.Body)
			}
		}
	}
}

// checkOutcome compares the outcome that a caller got with the runs of the
// request.
func (c *checker) checkOutcome(r Result, run fakes.Run) {
	switch {
	case r.Outcome == client.NotRun && run.Started > 0:
		c.add(FalseNotRun, "%s ran; %s", r.Key, r.Detail)
	case r.Outcome == client.Done && run.Started == 0:
		c.add(FalseDone, "%s did not run; %s", r.Key, r.Detail)
	case r.isComplete() && run.Completed == 0:
		c.add(FalseDone, "%s did not complete; %s", r.Key, r.Detail)
	}
}

// checkAnswers checks that all complete answers to the same non-idempotent request
// are equal.
func (c *checker) checkAnswers(results []Result) {
	first := make(map[string]string)
	for _, r := range results {
		if !r.AtMostOnce || !r.isComplete() {
			continue
		}
		body, ok := first[r.Key]
		if !ok {
			first[r.Key] = r.Body
		} else if body != r.Body {
			c.add(TwoAnswers, "%s: %s and %s", r.Key, body, r.Body)
		}
	}
}

// checkVersions checks that the version of the configuration in force never
// decreases while a daemon runs, and that a restarted daemon is not ready with an
// older version than its previous process had.
func (c *checker) checkVersions(samples []StatusSample) {
	last := make(map[string]StatusSample)
	for _, s := range samples {
		before := last[s.Name]
		if !s.Ready && s.Incarnation != before.Incarnation {
			// Before it is ready, a restarted daemon may still be catching up.
			continue
		}
		if s.Version < before.Version {
			c.add(Reverted, "%s from version %d to %d", s.Name, before.Version, s.Version)
		}
		last[s.Name] = s
	}
}
