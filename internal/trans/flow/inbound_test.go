package flow

import (
	"context"
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// newTestInbound returns an inbound side of a target that nobody serves.
func newTestInbound(log *zap.Logger) *Inbound {
	return NewInbound(Config{
		Clock: clock.System(),
		View:  func() *model.View { return &model.View{} },
		Seen:  func() int64 { return 0 },
		Log:   log,
		Self: Self{
			Host:       "127.0.0.1",
			TargetAddr: "127.0.0.1:1",
		},
		Metrics: Metrics{
			SlotWait:    func(clock.Milli) {},
			TargetTime:  func(clock.Milli) {},
			SentLeaving: func(clock.Milli) {},
			Refused:     func(string) {},
		},
		Incarnation: 1,
		RetryWindow: clock.Second,
		DrainTime:   clock.Second,
	})
}

// TestLogHasTheStatedThreshold checks that the line about an attempt has the
// threshold that its answer states, that of the services below included.
func TestLogHasTheStatedThreshold(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	n := newTestInbound(zap.New(core))
	below := admit.Highest()
	n.DownstreamThreshold = func(string) admit.Threshold { return below }
	_, fb := n.Run(context.Background(), &http1.Request{}, peer.Hop{
		Path:       "p",
		Importance: rules.Spare,
	})
	if fb.Outcome != peer.NotRun || fb.Threshold != below {
		t.Fatalf("feedback %+v, want not run with threshold %s", fb, below)
	}
	found := lines.FilterField(zap.Int("event", event.Attempt.Number)).All()
	if len(found) != 1 {
		t.Fatalf("%d lines about the attempt, want 1", len(found))
	}
	if got := found[0].ContextMap()["threshold"]; got != below.String() {
		t.Errorf("the line has threshold %v, the answer %s", got, below)
	}
}

// Guards against a daemon that learns of the leave of its target in the first
// millisecond of its life, counts the leave as none and takes work for good (DRAIN).
func TestLeaveKnownAtTheFirstInstantIsALeave(t *testing.T) {
	const rounds = 50
	for range rounds {
		n := newTestInbound(zap.NewNop())
		n.SetTarget(TargetUpdate{
			Target: model.Target{
				ID:      "t",
				Leaving: true,
			},
			HasRecord: true,
			IsLate:    true,
		})
		if _, takesWork := n.gateFor(n.cfg.Clock.Now(), peer.Hop{}); takesWork {
			t.Fatalf("the target takes work at %d, it has left at %d", n.cfg.Clock.Now(), n.leavingSince)
		}
	}
}

// Guards against a stopping daemon that takes work which may last beyond its end
// (LOST). The target is not reached, so what is admitted is refused as that.
func TestWorkBeyondTheEndIsRefused(t *testing.T) {
	const toEnd = 3 * clock.Second
	tests := map[string]struct {
		deadline string
		key      string
		stops    bool
		want     string
	}{
		"no stop": {
			deadline: "60000",
			want:     peer.ReasonUnreached,
		},
		"ends in time": {
			deadline: "2900",
			stops:    true,
			want:     peer.ReasonUnreached,
		},
		"ends too late": {
			deadline: "3100",
			stops:    true,
			want:     peer.ReasonEnding,
		},
		"ends too late, at most once": {
			deadline: "3100",
			key:      "k/1",
			stops:    true,
			want:     peer.ReasonEnding,
		},
		"no deadline": {
			stops: true,
			want:  peer.ReasonEnding,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newTestInbound(zap.NewNop())
			n.cfg.Headers.Deadline = "Deadline-Ms"
			now := n.cfg.Clock.Now()
			n.cfg.Clock.Now = func() clock.Milli { return now }
			if tt.stops {
				n.StopAt(now + toEnd)
			}
			r := &http1.Request{}
			r.Fields = http1.WithField(nil, "Deadline-Ms", tt.deadline)
			_, fb := n.Run(context.Background(), r, peer.Hop{
				Path:  "p",
				Key:   tt.key,
				Stamp: n.table.Stamp(now),
			})
			if fb.Outcome != peer.NotRun || fb.Reason != tt.want || (fb.Ends > 0) != tt.stops {
				t.Errorf("got %s, %s, ends in %d, want not run, %s", fb.Outcome, fb.Reason, fb.Ends, tt.want)
			}
		})
	}
}

// Guards against daemons that keep offering a stopping one work that it must refuse,
// and against one that is passed by after it has started again.
func TestEndingDaemonIsPassedBy(t *testing.T) {
	s := newService(&Config{
		RetryWindow: clock.Second,
	}, "s", pick.NewBucket(1, 1), 0, 1)
	s.applyFeedback(0, "t", "p", peer.Feedback{
		Ends: 3 * clock.Second,
	})
	if got := s.endingBefore(10, 2*clock.Second); len(got) > 0 {
		t.Errorf("work that ends in time passes by %v", got)
	}
	if got := s.endingBefore(10, 4*clock.Second); !slices.Equal(got, []string{"t"}) {
		t.Errorf("work that lasts too long passes by %v, want t", got)
	}
	if got := s.endingBefore(ejectionTime, 5*clock.Second); len(got) > 0 {
		t.Errorf("%v is passed by for good", got)
	}
	s.applyFeedback(0, "t", "p", peer.Feedback{
		Ends: 3 * clock.Second,
	})
	s.applyFeedback(20, "t", "p", peer.Feedback{})
	if got := s.endingBefore(20, 4*clock.Second); len(got) > 0 {
		t.Errorf("%v is passed by though it does not stop", got)
	}
}

// Guards against a request that gets more time than its sender waits, because the
// time is no whole number (BUDGET).
func TestTimeLeftMayHaveAFraction(t *testing.T) {
	tests := map[string]clock.Milli{
		"600":    600,
		"600.75": 600,
		"6e2":    600,
		"0":      0,
		"-1":     defaultDeadline,
		"":       defaultDeadline,
		"NaN":    defaultDeadline,
		"soon":   defaultDeadline,
		"1e300":  clock.Milli(maxDeadline),
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			r := &http1.Request{}
			r.Fields = http1.WithField(nil, "Deadline-Ms", text)
			if got := timeLeft(r, "Deadline-Ms"); got != want {
				t.Errorf("got %d, want %d", got, want)
			}
		})
	}
}
