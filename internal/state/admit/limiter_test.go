package admit_test

import (
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// contendedTarget is a target whose requests slow each other down if more than
// usefulSlots of them run at once.
type contendedTarget struct {
	usefulSlots int
	serviceTime clock.Milli
}

// saturate keeps the gate's queue full for span and returns the number of
// completions in the second half of it.
func (t contendedTarget) saturate(g *admit.Gate, span clock.Milli) int {
	rng := rand.New(rand.NewPCG(1, 1))
	ends := map[clock.Milli][]admit.Request{}
	began := map[uint64]clock.Milli{}
	running, done := 0, 0
	seq := uint64(0)
	begin := func(now clock.Milli, requests ...admit.Request) {
		for _, r := range requests {
			running++
			slow := max(1, float64(running)/float64(t.usefulSlots))
			took := float64(t.serviceTime) * slow * (0.5 + rng.Float64())
			end := now + max(1, clock.Milli(took))
			r.ExpectedTime = 0
			began[r.Seq] = now
			ends[end] = append(ends[end], r)
		}
	}
	for now := clock.Milli(0); now < span; now++ {
		for _, r := range ends[now] {
			running--
			if now > span/2 {
				done++
			}
			started, _ := g.Done(now, r, now-began[r.Seq])
			delete(began, r.Seq)
			begin(now, started...)
		}
		delete(ends, now)
		for g.Stats(now).Lanes[rules.Short].Queued < 10 {
			seq++
			r := request(seq, rules.Vital, ^uint64(0))
			if g.Offer(now, r).Verdict == admit.Run {
				begin(now, r)
			}
		}
	}
	return done
}

func TestLimit(t *testing.T) {
	const (
		slots = 40
		span  = 120 * clock.Second
		// leastShare is the part of the throughput with a fixed limit that the
		// adaptive limit must keep.
		leastShare = 0.9
	)
	tests := map[string]struct {
		contendedTarget
		learn           bool
		atLeast, atMost int
	}{
		"all slots useful": {
			contendedTarget: contendedTarget{
				usefulSlots: slots,
				serviceTime: 20,
			},
			atLeast: 34,
			atMost:  slots,
		},
		"all slots useful, slow": {
			contendedTarget: contendedTarget{
				usefulSlots: slots,
				serviceTime: 60,
			},
			atLeast: 34,
			atMost:  slots,
		},
		"a quarter useful": {
			contendedTarget: contendedTarget{
				usefulSlots: slots / 4,
				serviceTime: 20,
			},
			atLeast: slots / 4 * 8 / 10,
			atMost:  slots / 2,
		},
		"all slots useful, learning": {
			contendedTarget: contendedTarget{
				usefulSlots: slots,
				serviceTime: 20,
			},
			learn:   true,
			atLeast: 34,
			atMost:  slots,
		},
		"a quarter useful, learning": {
			contendedTarget: contendedTarget{
				usefulSlots: slots / 4,
				serviceTime: 20,
			},
			learn:   true,
			atLeast: slots / 4 * 8 / 10,
			atMost:  slots / 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{
				Slots: slots,
				Learn: tt.learn,
			})
			got := tt.saturate(g, span)
			fixed := tt.saturate(admit.New(admit.Config{
				Slots:      slots,
				FixedLimit: true,
			}), span)
			if float64(got) < leastShare*float64(fixed) {
				t.Errorf("%d completions, %d with a fixed limit", got, fixed)
			}
			limit := g.Stats(span).Limit
			if limit < tt.atLeast || limit > tt.atMost {
				t.Errorf("limit is %d, want %d to %d", limit, tt.atLeast, tt.atMost)
			}
			t.Logf("limit %d, %d completions, %d with a fixed limit", limit, got, fixed)
		})
	}
}

// Guards against a limit that stays lowered, or requests that are no longer counted,
// where learning begins or ends while requests run.
func TestSetLearnWhileRunning(t *testing.T) {
	const slots = 4
	g := admit.New(admit.Config{
		Slots: slots,
	})
	now := clock.Second
	for round, on := range []bool{true, true, false, true} {
		first := uint64(round * slots)
		for i := range uint64(slots) {
			g.Offer(now, request(first+i, rules.Vital, 0))
		}
		g.SetLearn(on)
		if st := g.Stats(now); st.IsLearning != on || st.Limit != slots || st.Lanes[rules.Short].Running != slots {
			t.Errorf("%+v, want learning: %t, limit and running %d", st, on, slots)
		}
		for i := range uint64(slots) {
			now++
			g.Finish(now, request(first+i, rules.Vital, 0), admit.Result{
				Took: 20,
			})
		}
		if !g.Idle() {
			t.Error("requests are left")
		}
	}
}
