package outbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// TestHedgedOutcome checks that a call is not-run only if both of its attempts
// are, in whichever order they end.
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
			both := make(chan struct{})
			firstEnded := make(chan struct{})
			w := newWorld(t, nil)
			w.script = func(q question) {
				switch {
				case q.word == "ask":
					q.answer(reply.Running, nil)
				case q.word != "run":
				case w.counted("run") == 1:
					receive(t, both, "the hedge arrives")
					q.answer(tt.first, nil)
					close(firstEnded)
				case w.counted("run") == 2:
					close(both)
					receive(t, firstEnded, "the first attempt ended")
					q.answer(tt.second, nil)
				default:
					q.answer(reply.NotRun, nil)
				}
			}
			w.settleLatency()
			if got := outcomeOf(w.call("shop/read", nil)); got != tt.want {
				t.Errorf("outcome %q, want %q", got, tt.want)
			}
		})
	}
}

// TestStaleReplyOnEndedAttempt checks that the guard's word on one attempt is not
// taken for a word on the other.
func TestStaleReplyOnEndedAttempt(t *testing.T) {
	both := make(chan struct{})
	asked := make(chan struct{})
	askedAgain := make(chan struct{})
	w := newWorld(t, nil)
	w.script = func(q question) {
		switch {
		case q.word == "ask" && w.counted("ask") == 1:
			close(asked)
			receive(t, askedAgain, "the guard is asked about the other attempt")
			q.answer(reply.NotRun, nil)
		case q.word == "ask":
			if w.counted("ask") == 2 {
				close(askedAgain)
			}
			q.answer(reply.Running, nil)
		case q.word == "cancel":
			q.answer(reply.Unknown, nil)
		case w.counted("run") == 1:
			receive(t, both, "the hedge arrives")
			receive(t, asked, "the guard is asked")
			q.answer(reply.NotRun, nil)
		case w.counted("run") == 2:
			close(both)
			receive(t, askedAgain, "the first attempt ended")
			// The stale word comes while this attempt still runs.
			receive(t, w.quiet(), "a pause")
			q.answer(reply.Done, nil)
		}
	}
	w.settleLatency()
	resp := w.call("shop/read", nil)
	if outcomeOf(resp) != header.Done {
		t.Errorf("outcome %q, body %s, want done", outcomeOf(resp), resp.Body())
	}
	if n := w.counted("cancel"); n != 0 {
		t.Errorf("%d attempts were cancelled, want 0", n)
	}
}

// TestParentGivenUp checks that the deeper calls of a request that was given up
// are cancelled, and that it makes no new ones.
func TestParentGivenUp(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	w := newWorld(t, nil)
	w.script = func(q question) {
		switch q.word {
		case "run":
			close(arrived)
			receive(t, cancelled, "the attempt is cancelled")
			q.answer(reply.Unknown, nil)
		case "cancel":
			q.answer(reply.Unknown, nil)
			close(cancelled)
		default:
			q.answer(reply.Running, nil)
		}
	}
	parent, fields := w.parent("shop/list", 4)
	go func() {
		receive(t, arrived, "the deeper call arrives")
		parent.Cancel()
	}()
	if got := outcomeOf(w.call("shop/read", fields)); got != header.Unknown {
		t.Errorf("outcome %q, want unknown", got)
	}
	receive(t, cancelled, "the attempt is cancelled")
	if got := outcomeOf(w.call("shop/read", fields)); got != header.NotRun {
		t.Errorf("next call: outcome %q, want not-run", got)
	}
	if n := w.counted("run"); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// TestAnswerLostInSilence checks that a call goes on when the guard says twice
// that the attempt has ended, although its connection says nothing.
func TestAnswerLostInSilence(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	w := newWorld(t, nil)
	w.script = func(q question) {
		switch {
		case q.word == "run" && w.counted("run") == 1:
			<-done
		case q.word == "ask":
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
	receive(t, answered, "the call is answered, long before its deadline")
	if n := w.counted("run"); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}
