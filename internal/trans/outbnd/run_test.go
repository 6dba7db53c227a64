package outbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// TestHedgedOutcome checks that a hedged call is not-run only if both of its
// attempts are, whichever of them did not run.
func TestHedgedOutcome(t *testing.T) {
	tests := map[string]struct {
		first, second reply.State
		want          string
	}{
		"first may have run": {
			first:  reply.Unknown,
			second: reply.NotRun,
			want:   header.Unknown,
		},
		"second may have run": {
			first:  reply.NotRun,
			second: reply.Unknown,
			want:   header.Unknown,
		},
		"neither ran": {
			first:  reply.NotRun,
			second: reply.NotRun,
			want:   header.NotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			hedgeArrived := make(chan struct{})
			firstEnded := make(chan struct{})
			w := newFixture(t, nil)
			w.script = func(q guardRequest) {
				switch {
				case q.kind == "ask":
					q.answer(reply.Running, nil)
				case q.kind != "run":
				case w.requestCount("run") == 1:
					receiveEvent(t, hedgeArrived, "the hedge arrives")
					q.answer(tt.first, nil)
					close(firstEnded)
				case w.requestCount("run") == 2:
					close(hedgeArrived)
					receiveEvent(t, firstEnded, "the first attempt ended")
					q.answer(tt.second, nil)
				default:
					q.answer(reply.NotRun, nil)
				}
			}
			w.seedLatency()
			if got := outcomeOf(w.call("shop/read", nil)); got != tt.want {
				t.Errorf("outcome %q, want %q", got, tt.want)
			}
		})
	}
}

// TestStaleReplyOnEndedAttempt checks that the reply to a status query about an
// attempt that has ended is not applied to the other attempt of a hedged call.
func TestStaleReplyOnEndedAttempt(t *testing.T) {
	hedgeArrived := make(chan struct{})
	asked := make(chan struct{})
	askedAgain := make(chan struct{})
	w := newFixture(t, nil)
	w.script = func(q guardRequest) {
		switch {
		case q.kind == "ask" && w.requestCount("ask") == 1:
			close(asked)
			receiveEvent(t, askedAgain, "the guard is asked about the other attempt")
			q.answer(reply.NotRun, nil)
		case q.kind == "ask":
			if w.requestCount("ask") == 2 {
				close(askedAgain)
			}
			q.answer(reply.Running, nil)
		case q.kind == "cancel":
			q.answer(reply.Unknown, nil)
		case w.requestCount("run") == 1:
			receiveEvent(t, hedgeArrived, "the hedge arrives")
			receiveEvent(t, asked, "the guard is asked")
			q.answer(reply.NotRun, nil)
		case w.requestCount("run") == 2:
			close(hedgeArrived)
			receiveEvent(t, askedAgain, "the first attempt ended")
			// The stale reply arrives while this attempt still runs.
			receiveEvent(t, w.afterPause(), "a pause")
			q.answer(reply.Done, nil)
		}
	}
	w.seedLatency()
	resp := w.call("shop/read", nil)
	if outcomeOf(resp) != header.Done {
		t.Errorf("outcome %q, body %s, want done", outcomeOf(resp), resp.Body())
	}
	if n := w.requestCount("cancel"); n != 0 {
		t.Errorf("%d attempts were cancelled, want 0", n)
	}
}

// TestParentGivenUp checks that the downstream calls of a cancelled request are
// cancelled, and that the request can make no new ones.
func TestParentGivenUp(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	w := newFixture(t, nil)
	w.script = func(q guardRequest) {
		switch q.kind {
		case "run":
			close(arrived)
			receiveEvent(t, cancelled, "the attempt is cancelled")
			q.answer(reply.Unknown, nil)
		case "cancel":
			q.answer(reply.Unknown, nil)
			close(cancelled)
		default:
			q.answer(reply.Running, nil)
		}
	}
	parent, fields := w.addParent("shop/list", 4)
	go func() {
		receiveEvent(t, arrived, "the downstream call arrives")
		parent.Cancel()
	}()
	if got := outcomeOf(w.call("shop/read", fields)); got != header.Unknown {
		t.Errorf("outcome %q, want unknown", got)
	}
	receiveEvent(t, cancelled, "the attempt is cancelled")
	if got := outcomeOf(w.call("shop/read", fields)); got != header.NotRun {
		t.Errorf("next call: outcome %q, want not-run", got)
	}
	if n := w.requestCount("run"); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// TestAnswerLostInSilence checks that a call makes another attempt once the guard
// has reported twice that the first one ended, while the first one's connection
// stays open without an answer.
func TestAnswerLostInSilence(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	w := newFixture(t, nil)
	w.script = func(q guardRequest) {
		switch {
		case q.kind == "run" && w.requestCount("run") == 1:
			<-done
		case q.kind == "ask":
			q.answer(reply.Ended, nil)
		default:
			q.answer(reply.Done, nil)
		}
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if got := outcomeOf(w.call("shop/read", nil)); got != header.Done {
			t.Errorf("outcome %q, want done", got)
		}
	}()
	receiveEvent(t, answered, "the call is answered, long before its deadline")
	if n := w.requestCount("run"); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}
