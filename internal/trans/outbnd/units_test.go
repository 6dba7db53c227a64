package outbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// TestRepeatedDeeperCall checks that the target's own repetitions of a call are
// paid for with the units of its request.
func TestRepeatedDeeperCall(t *testing.T) {
	for _, state := range []reply.State{reply.NotRun, reply.Unknown} {
		t.Run(string(state), func(t *testing.T) {
			const units = 4
			w := newWorld(t, func(q question) {
				if q.word == "stamp" {
					q.answer(reply.Ended, nil)
					return
				}
				q.answer(state, nil)
			})
			_, fields := w.parent("shop/order", units)
			fields[header.IdempotencyKey] = "key"
			for range 20 {
				if got := outcomeOf(w.call("shop/pay", fields)); got != state.Outcome() {
					t.Fatalf("outcome %q, want %q", got, state.Outcome())
				}
			}
			if n := w.counted("run"); n > 1+units {
				t.Errorf("%d attempts with %d units", n, units)
			}
		})
	}
}

// TestUnitsComeBack checks that calls which make no extra attempt leave the
// units of their request whole.
func TestUnitsComeBack(t *testing.T) {
	tests := map[string]struct {
		fields map[string]string
		// alone leaves one target, so that a hedge has nowhere to go.
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
			w := newWorld(t, nil)
			w.script = func(q question) {
				if q.word != "run" {
					q.answer(reply.Running, nil)
					return
				}
				receive(t, w.quiet(), "a hedge would be due")
				q.answer(reply.Done, nil)
			}
			w.settleLatency()
			if tt.alone {
				w.leave("shop-2")
			}
			parent, fields := w.parent("shop/list", units)
			for name, value := range tt.fields {
				fields[name] = value
			}
			w.call("shop/read", fields)
			if got := w.server.cfg.Chains.End(parent); got != units {
				t.Errorf("%d units are left, want %d", got, units)
			}
		})
	}
}

// TestDeadlineOfDeeperCall checks that a deeper call takes deadline, rank and
// root from its request.
func TestDeadlineOfDeeperCall(t *testing.T) {
	w := newWorld(t, nil)
	parent, fields := w.parent("shop/list", 2)
	w.script = func(q question) {
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
