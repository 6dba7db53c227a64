package outbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// TestRepeatedDeeperCall checks that a target that repeats a downstream call spends
// the retry units of the parent request.
func TestRepeatedDeeperCall(t *testing.T) {
	for _, state := range []reply.State{reply.NotRun, reply.Unknown} {
		t.Run(string(state), func(t *testing.T) {
			const units = 4
			w := newFixture(t, func(q guardRequest) {
				if q.kind == "stamp" {
					q.answer(reply.Ended, nil)
					return
				}
				q.answer(state, nil)
			})
			_, fields := w.addParent("shop/order", units)
			fields[header.IdempotencyKey] = "key"
			for range 20 {
				if got := outcomeOf(w.call("shop/pay", fields)); got != state.Outcome() {
					t.Fatalf("outcome %q, want %q", got, state.Outcome())
				}
			}
			if n := w.requestCount("run"); n > 1+units {
				t.Errorf("%d attempts with %d retry units", n, units)
			}
		})
	}
}

// TestUnitsComeBack checks that downstream calls without an extra attempt return
// all retry units to the parent request.
func TestUnitsComeBack(t *testing.T) {
	tests := map[string]struct {
		fields map[string]string
		// alone leaves only one target, so that none is left for a hedge.
		alone bool
	}{
		"call with a bad deadline": {
			fields: map[string]string{
				header.Deadline: "soon",
			},
		},
		"call without time": {
			fields: map[string]string{
				header.Deadline: "0",
			},
		},
		"hedge without a second target": {
			alone: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const units = 4
			w := newFixture(t, nil)
			w.script = func(q guardRequest) {
				if q.kind != "run" {
					q.answer(reply.Running, nil)
					return
				}
				receiveEvent(t, w.afterPause(), "a hedge would be due")
				q.answer(reply.Done, nil)
			}
			w.seedLatency()
			if tt.alone {
				w.markLeaving("shop-2")
			}
			parent, fields := w.addParent("shop/list", units)
			for name, value := range tt.fields {
				fields[name] = value
			}
			w.call("shop/read", fields)
			if got := w.server.cfg.Chains.End(parent); got != units {
				t.Errorf("%d retry units are left, want %d", got, units)
			}
		})
	}
}

// TestDeadlineOfDeeperCall checks that a downstream call takes root, caller and
// importance from the parent request, and that its own deadline is honoured.
func TestDeadlineOfDeeperCall(t *testing.T) {
	w := newFixture(t, nil)
	parent, fields := w.addParent("shop/list", 2)
	w.script = func(q guardRequest) {
		if q.hop.Root != parent.Root || q.hop.Importance != parent.Importance || q.hop.Depth != parent.Depth+1 || q.hop.Caller != parent.Caller {
			t.Errorf("hop %+v does not continue %+v", q.hop, parent.Context)
		}
		if q.hop.Remaining > clock.Second || q.hop.Remaining <= 0 {
			t.Errorf("%d ms are left, want at most the second asked for", q.hop.Remaining)
		}
		q.answer(reply.Done, nil)
	}
	fields[header.Deadline] = "1000"
	fields[header.Importance] = "vital"
	if got := outcomeOf(w.call("shop/read", fields)); got != header.Done {
		t.Errorf("outcome %q, want done", got)
	}
}
