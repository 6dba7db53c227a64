package flow

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/model"
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
