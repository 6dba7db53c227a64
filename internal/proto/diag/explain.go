package diag

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
)

// idSeparator separates the parts of the id of a call.
const idSeparator = "."

// Verdict says where and why a request failed.
type Verdict struct {
	Cause Cause `json:"cause"`
	// ID is the id of the request or call in which the cause arose.
	ID string `json:"id"`
	// Service, Host and Target say where it arose, as far as the logs show.
	Service string `json:"service,omitempty"`
	Host    string `json:"host,omitempty"`
	Target  string `json:"target,omitempty"`
	// Text states the verdict as a sentence.
	Text string `json:"words"`
}

// Explanation is the information in the logs about one request.
type Explanation struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"verdict"`
	// Lines holds the lines of the request, of the requests above it and of its
	// calls, ordered by the time at which they began.
	Lines []Line `json:"lines"`
}

// Collector collects the log lines that concern one request.
type Collector struct {
	id    string
	lines []Line
}

// NewCollector returns a collector for the request with the given id.
func NewCollector(id string) *Collector {
	return &Collector{
		id: id,
	}
}

// Add keeps l if it concerns the request, one of its calls or a request above
// it.
func (c *Collector) Add(l Line) {
	if l.ID == "" {
		return
	}
	if l.ID == c.id || isDescendant(l.ID, c.id) || isDescendant(c.id, l.ID) {
		c.lines = append(c.lines, l)
	}
}

// isDescendant reports whether id belongs to a direct or indirect call of
// request.
func isDescendant(id, request string) bool { return strings.HasPrefix(id, request+idSeparator) }

// Explain returns the verdict on the request and the lines it is based on.
func (c *Collector) Explain() Explanation {
	slices.SortStableFunc(c.lines, func(a, b Line) int {
		return cmp.Or(a.Began().Compare(b.Began()), cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Event, b.Event))
	})
	return Explanation{
		ID:      c.id,
		Verdict: explain(c.lines, c.id),
		Lines:   c.lines,
	}
}

// explain determines why the request with the given id ended as it did.
func explain(lines []Line, id string) Verdict {
	answer := findLast(lines, func(l *Line) bool { return l.ID == id && l.IsAnswer() })
	attempt := findLast(lines, func(l *Line) bool { return l.ID == id && l.IsAttempt() })
	switch {
	case answer == nil && attempt == nil:
		return Verdict{
			Cause: Unknown,
			ID:    id,
			Text:  "no line tells of it: it was served and not kept, its line was left out, or it came to other hosts",
		}
	case answer == nil:
		return explainAttempt(lines, attempt)
	}
	return explainAnswer(lines, answer, attempt)
}

func explainAnswer(lines []Line, answer, attempt *Line) Verdict {
	v := Verdict{
		ID:      answer.ID,
		Service: answer.Service,
		Host:    answer.Host,
	}
	if attempt != nil {
		v.Target = attempt.Target
	}
	switch answer.End {
	case event.EndDone:
		if answer.Status < fasthttp.StatusInternalServerError {
			v.Cause = Served
			v.Text = fmt.Sprintf("%s answered %d after %d ms", v.Target, answer.Status, answer.Took)
			return v
		}
		return explainFailure(lines, v, answer.Status)
	case event.EndNotReady:
		v.Cause = DaemonNotReady
		v.Text = fmt.Sprintf("the daemon on %s took no requests: %s", v.Host, answer.Reason)
	case event.EndNoRoute:
		v.Cause = NoRoute
		v.Text = fmt.Sprintf("no route of version %d matches it", answer.Version)
	case event.EndDenied, event.EndStale, event.EndLimited, event.EndUnmetered:
		v.Cause = causeByEnd[answer.End]
		v.Text = fmt.Sprintf("the daemon on %s answered %d by version %d: %s", v.Host, answer.Status, answer.Version, answer.Reason)
	case event.EndRefused:
		return explainRefusal(answer, attempt, v)
	case event.EndTimeout:
		return explainTimeout(lines, v, answer.Took)
	case event.EndDisconnected:
		v.Cause = CallerDisconnected
		v.Text = fmt.Sprintf("the caller hung up after %d ms", answer.Took)
	case event.EndLost:
		v.Cause = AnswerLost
		v.Text = fmt.Sprintf("the answer was lost (%s); it may have run", answer.Reason)
		if attempt != nil {
			v.Host = attempt.Host
			v.Text = fmt.Sprintf("the answer of %s was lost (%s); it may have run", attempt.Target, attempt.Reason)
		}
	default:
		v.Cause = Unknown
		v.Text = fmt.Sprintf("it ended with %q", answer.End)
	}
	return v
}

// explainAttempt determines the cause from an attempt when the line of the
// answer is missing.
func explainAttempt(lines []Line, attempt *Line) Verdict {
	v := Verdict{
		ID:     attempt.ID,
		Host:   attempt.Host,
		Target: attempt.Target,
	}
	switch {
	case attempt.Outcome == peer.NotRun.String():
		return explainRefusal(attempt, attempt, v)
	case attempt.Outcome == peer.Done.String() && attempt.Status < fasthttp.StatusInternalServerError:
		v.Cause = Served
		v.Text = fmt.Sprintf("%s answered %d after %d ms", v.Target, attempt.Status, attempt.Took)
	case attempt.Outcome == peer.Done.String():
		return explainFailure(lines, v, attempt.Status)
	case attempt.Reason == "timeout", attempt.Reason == "canceled":
		return explainTimeout(lines, v, attempt.Took)
	default:
		v.Cause = AnswerLost
		v.Text = fmt.Sprintf("the answer of %s was lost (%s); it may have run", v.Target, attempt.Reason)
	}
	return v
}

// explainFailure explains a request whose target answered with a failure. If a
// call of the target failed, the cause is that call's.
func explainFailure(lines []Line, v Verdict, status int) Verdict {
	call := findLast(lines, func(l *Line) bool { return isCallOf(l.ID, v.ID) && l.IsAnswer() && isFailed(l) })
	if call != nil {
		return explain(lines, call.ID)
	}
	v.Cause = TargetFailed
	v.Text = fmt.Sprintf("%s answered %d by itself", v.Target, status)
	return v
}

// explainTimeout explains a request that ran out of time while it ran. If one of
// its calls failed or took most of the time, the cause is that call's.
func explainTimeout(lines []Line, v Verdict, took int64) Verdict {
	call := findLast(lines, func(l *Line) bool {
		return isCallOf(l.ID, v.ID) && (l.IsAnswer() || l.IsAttempt()) && (isFailed(l) || l.Took*2 > took)
	})
	if call != nil {
		if verdict := explain(lines, call.ID); verdict.Cause != Served && verdict.Cause != CallerDisconnected {
			return verdict
		}
		v.Service = call.Service
	}
	v.Cause = TargetTooSlow
	v.Text = fmt.Sprintf("%s had not answered after %d ms", v.Target, took)
	if call != nil {
		v.Text += fmt.Sprintf("; its call %s took %d ms of them", call.ID, call.Took)
	}
	return v
}

// explainRefusal explains a request that no target ran, by its last attempt.
func explainRefusal(answer, attempt *Line, v Verdict) Verdict {
	reason := answer.Reason
	if attempt != nil {
		reason = attempt.Reason
		v.Host = attempt.Host
		v.Target = attempt.Target
	}
	if at := strings.LastIndexByte(reason, ' '); at >= 0 && strings.HasPrefix(reason, "not-run ") {
		reason = reason[at+1:]
	}
	cause, ok := causeByReason[reason]
	switch {
	case ok && attempt != nil:
		v.Cause = cause
		v.Text = fmt.Sprintf("%s: %s (%s), %d running of %d, %d targets tried", v.Target, cause, reason,
			attempt.Running, attempt.Limit, max(len(answer.Tried), 1))
	case ok:
		v.Cause = cause
		v.Text = fmt.Sprintf("%s (%s), %d targets tried", cause, reason, len(answer.Tried))
	case attempt != nil:
		v.Cause = Unknown
		v.Text = fmt.Sprintf("%s did not run it: %s", v.Target, reason)
	case len(answer.Tried) > 0:
		v.Cause = NoTarget
		v.Text = fmt.Sprintf("no further target of %s could be asked: %s; the lines of %s are missing", v.Service, reason,
			strings.Join(answer.Tried, " "))
	default:
		v.Cause = NoTarget
		v.Text = fmt.Sprintf("no target of %s was asked: %s", v.Service, reason)
	}
	return v
}

// isCallOf reports whether id belongs to a direct call of request.
func isCallOf(id, request string) bool {
	rest, ok := strings.CutPrefix(id, request+idSeparator)
	return ok && !strings.Contains(rest, idSeparator)
}

// isFailed reports whether the line records a failure.
func isFailed(l *Line) bool { return l.Status >= fasthttp.StatusInternalServerError }

// findLast returns the last line for which matches returns true, or nil.
func findLast(lines []Line, matches func(*Line) bool) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if matches(&lines[i]) {
			return &lines[i]
		}
	}
	return nil
}
