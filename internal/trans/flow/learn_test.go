package flow

import (
	"testing"

	"go.uber.org/zap"

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
func learnedInbound(u TargetUpdate) *Inbound {
	n := newTestInbound(zap.NewNop())
	now := clock.Second
	n.cfg.Clock.Now = func() clock.Milli { return now }
	n.SetTarget(u)
	for range 200 {
		n.gate.Tick()
		for range 10 {
			req, _, _ := n.gate.Offer(admit.Request{Path: "p"})
			n.gate.Finish(req, admit.Result{Took: 20})
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
	wants := map[string]bool{
		"same":    true,
		"leaving": true,
	}
	for name, u := range map[string]TargetUpdate{"same": update, "leaving": leaving, "off": off, "replaced": other} {
		t.Run(name, func(t *testing.T) {
			want := wants[name]
			n := learnedInbound(update)
			n.SetTarget(u)
			fields := n.reply(guard.Answer{}, n.feedback(peer.Done, "run")).Fields
			if got := http1.Get(fields, peer.HeaderRoom) != ""; got != want {
				t.Errorf("fields %v, want a room: %t", fields, want)
			}
			if r, rest := takeRoom(fields); r.IsUnknown() == want || http1.Get(rest, peer.HeaderRoom) != "" {
				t.Errorf("read %+v, left %v", r, rest)
			}
		})
	}
}

// Guards against a wait that is expected where a slot is free, and one without bound.
func TestExpectedWait(t *testing.T) {
	// Each case has the running requests, the throughput and the wait.
	tests := map[string][3]float64{
		"free slot":    {9, 100, 0},
		"no free slot": {10, 100, 10},
		"queue":        {29, 100, 200},
		"unknown":      {29, 0, 0},
		"standstill":   {29, 0.0001, float64(maxExpectedWait)},
	}
	for name, tt := range tests {
		got := expectedWait(&peer.Feedback{
			Running: int(tt[0]),
			Limit:   10,
			Room: peer.Room{
				Throughput: tt[1],
			},
		})
		if got != clock.Milli(tt[2]) {
			t.Errorf("%s: got %d, want %v", name, got, tt[2])
		}
	}
}

// Guards against log lines about each small change of a limit.
func TestSmallChangesAreNotLogged(t *testing.T) {
	var l learnLog
	for limit, want := range map[int]int{32: 32, 31: 32, 30: 30, 40: 40} {
		l = learnLog{
			limit: 32,
		}.after(clock.Minute, &admit.Stats{
			Learned: learn.State{
				Limit: limit,
			},
		}, 32)
		if l.limit != want {
			t.Errorf("limit %d after 32 is logged as %d, want %d", limit, l.limit, want)
		}
	}
}
