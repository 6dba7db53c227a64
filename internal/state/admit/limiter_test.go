package admit_test

import (
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// plant is a target whose works slow each other down beyond useful at once.
type plant struct {
	useful int
	took   clock.Milli
}

// saturate keeps the gate's queue full for a time and returns the completions
// in the last half of it.
func (p plant) saturate(g *admit.Gate, span clock.Milli) int {
	r := rand.New(rand.NewPCG(1, 1))
	ends := map[clock.Milli][]admit.Request{}
	running, done := 0, 0
	seq := uint64(0)
	begin := func(now clock.Milli, works ...admit.Request) {
		for _, w := range works {
			running++
			slow := max(1, float64(running)/float64(p.useful))
			took := float64(p.took) * slow * (0.5 + r.Float64())
			end := now + max(1, clock.Milli(took))
			w.ExpectedTime = 0
			ends[end] = append(ends[end], w)
		}
	}
	for now := clock.Milli(0); now < span; now++ {
		for _, w := range ends[now] {
			running--
			if now > span/2 {
				done++
			}
			started, _ := g.Done(now, w, p.took)
			begin(now, started...)
		}
		delete(ends, now)
		for g.Stats(now).Lanes[rules.Short].Queued < 10 {
			seq++
			w := work(seq, rules.Vital, ^uint64(0))
			if g.Offer(now, w).Verdict == admit.Run {
				begin(now, w)
			}
		}
	}
	return done
}

func TestLimit(t *testing.T) {
	const (
		slots = 40
		span  = 120 * clock.Second
		// leastShare is the part of the best throughput that a limit must
		// keep.
		leastShare = 0.9
	)
	tests := map[string]struct {
		plant
		atLeast, atMost int
	}{
		"all slots useful": {
			plant: plant{
				useful: slots,
				took:   20,
			},
			atLeast: 34,
			atMost:  slots,
		},
		"all slots useful, slow": {
			plant: plant{
				useful: slots,
				took:   60,
			},
			atLeast: 34,
			atMost:  slots,
		},
		"a quarter useful": {
			plant: plant{
				useful: slots / 4,
				took:   20,
			},
			atLeast: slots / 4 * 8 / 10,
			atMost:  slots / 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{
				Slots: slots,
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
