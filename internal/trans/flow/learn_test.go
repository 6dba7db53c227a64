package flow

import (
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against calls that overlap being counted twice, and against a call that is
// still in progress being left out.
func TestCallTimeIsThatOfAnyCall(t *testing.T) {
	var c callTime
	c.begin(10)
	c.begin(20)
	c.end(30)
	c.end(40)
	c.begin(60)
	if got := c.until(65); got != 35 {
		t.Errorf("%d ms in calls, want 35", got)
	}
}

// learnedInbound returns a side whose gate has learned about the target with the id.
func learnedInbound(u TargetUpdate, log *zap.Logger) *Inbound {
	n := newTestInbound(log)
	now := clock.Second
	n.cfg.Clock.Now = func() clock.Milli { return now }
	n.SetTarget(u)
	for range 200 {
		n.gate.Tick()
		for range 10 {
			req, _, _ := n.gate.Offer(admit.Request{
				Path: "p",
			})
			n.gate.Finish(req, admit.Result{
				Took: 20,
			})
		}
		now += 10
	}
	return n
}

// Guards against a target that is judged by what was learned of another one at its
// address, and against anything that is sent where learning is off.
func TestRoomIsOfTheTargetLearnedAbout(t *testing.T) {
	update := TargetUpdate{
		Target: model.Target{
			ID:    "t",
			Slots: 10,
		},
		HasRecord: true,
		Learn:     true,
	}
	off, other, leaving := update, update, update
	off.Learn = false
	other.Target.ID = "other"
	leaving.Target.Leaving = true
	tests := map[string]struct {
		update TargetUpdate
		want   bool
	}{
		"same": {
			update: update,
			want:   true,
		},
		"leaving": {
			update: leaving,
			want:   true,
		},
		"off": {
			update: off,
		},
		"replaced": {
			update: other,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := learnedInbound(update, zap.NewNop())
			n.SetTarget(tt.update)
			fields := n.reply(guard.Answer{}, n.feedback(peer.Done, "run")).Fields
			if got := http1.Get(fields, peer.HeaderRoom) != ""; got != tt.want {
				t.Errorf("fields %v, want a room: %t", fields, tt.want)
			}
			if r, rest := takeRoom(fields); r.IsUnknown() == tt.want || http1.Get(rest, peer.HeaderRoom) != "" {
				t.Errorf("read %+v, left %v", r, rest)
			}
		})
	}
}

// Guards against a wait that is expected where a slot is free, and one without bound.
func TestExpectedWait(t *testing.T) {
	tests := map[string]struct {
		running    int
		throughput float64
		want       clock.Milli
	}{
		"free slot": {
			running:    9,
			throughput: 100,
		},
		"no free slot": {
			running:    10,
			throughput: 100,
			want:       10,
		},
		"queue": {
			running:    29,
			throughput: 100,
			want:       200,
		},
		"unknown": {
			running: 29,
		},
		"standstill": {
			running:    29,
			throughput: 0.0001,
			want:       maxExpectedWait,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := expectedWait(&peer.Feedback{
				Running: tt.running,
				Limit:   10,
				Room: peer.Room{
					Throughput: tt.throughput,
				},
			})
			if got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against log lines about a target at each evaluation.
func TestLearnedChangesAreLoggedOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	n := learnedInbound(TargetUpdate{
		Target: model.Target{
			ID:    "t",
			Slots: 32,
		},
		HasRecord: true,
		Learn:     true,
	}, zap.New(core))
	n.logLearned(clock.Second)
	l := n.learnLog
	for _, st := range []learn.State{
		{Limit: 32}, {Limit: 31}, {Limit: 28}, {Limit: 28, IsSlow: true}, {Limit: 29, IsSlow: true}, {Limit: 29},
	} {
		l = l.after(l.at+clock.Second, &admit.Stats{Learned: st}, 32)
		if want := []int{32, 28}; !slices.Contains(want, l.limit) || l.isSlow != st.IsSlow {
			t.Errorf("after %+v: logged %+v, want a limit of %v", st, l, want)
		}
	}
	if n := lines.FilterField(zap.Int("event", event.LimitLearned.Number)).Len(); n > 0 {
		t.Errorf("%d lines about a limit that did not change", n)
	}
}
