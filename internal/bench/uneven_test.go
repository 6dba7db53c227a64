package bench_test

import (
	"testing"

	"siskinswitch.example/siskin/internal/bench"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Goals for targets and demand that differ between data centres.
const (
	// maxPoolLoss is what may be served less than by one common pool.
	maxPoolLoss     = 0.03
	maxHerd         = 1.5
	maxUnsteadiness = 0.35
	// linkBudget is what the 36 daemons of a region may send and receive across
	// the link in a second.
	linkBudget = 36 * (100 << 10)
)

// TestUnevenRegions guards against one region that refuses requests while the
// other has spare capacity, against herds and swings of the crossing calls, and
// against more bytes on the link than its budget.
func TestUnevenRegions(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := bench.UnevenRegions()
		s.Seed = seed
		present := bench.Run(s, bench.OnPlatform(false))
		if loss := s.PoolShare() - present.ServedShare(); loss <= maxPoolLoss {
			t.Errorf("the present rule passes: it serves %.3f less than a pool", loss)
		}
		r := bench.Run(s, bench.OnPlatform(true))
		t.Logf("seed %d: served %.3f (present rule %.3f), refused %.3f and %.3f (%.3f and %.3f), herd %.2f (%.2f), "+
			"unsteadiness %.2f (%.2f), link %.0f and %.0f B/s", seed, r.ServedShare(), present.ServedShare(),
			r.RefusedShare(0), r.RefusedShare(1), present.RefusedShare(0), present.RefusedShare(1),
			r.Herd(), present.Herd(), r.Unsteadiness(), present.Unsteadiness(), r.LinkRate(0), r.LinkRate(1))
		if loss := s.PoolShare() - r.ServedShare(); loss > maxPoolLoss {
			t.Errorf("seed %d: served %.3f less than a pool, want %.2f", seed, loss, maxPoolLoss)
		}
		if got := r.Herd(); got > maxHerd {
			t.Errorf("seed %d: a target got %.2f times its fair part, want %.1f", seed, got, maxHerd)
		}
		if got := r.Unsteadiness(); got > maxUnsteadiness {
			t.Errorf("seed %d: crossing calls change by %.2f in 100 ms, want %.2f", seed, got, maxUnsteadiness)
		}
		if got := max(r.LinkRate(0), r.LinkRate(1)); got > linkBudget {
			t.Errorf("seed %d: %.0f B/s on the link, want %d", seed, got, linkBudget)
		}
		if got := r.SuccessRate(rules.Vital); got < minVitalRate {
			t.Errorf("seed %d: %.4f of vital requests succeeded, want %.2f", seed, got, minVitalRate)
		}
	}
}

// TestUnevenRegionsWithFaults guards against faults of the link and of the
// targets' statements that cost more than the help of the other region, and
// against a target that attracts calls by failing them fast.
func TestUnevenRegionsWithFaults(t *testing.T) {
	tests := map[string]struct {
		change func(u *bench.Uneven)
		// least is the least served share.
		least float64
		// mostAt0 is the greatest part of the arrivals at the first target.
		mostAt0 float64
	}{
		"ten times the senders": {
			change:  func(u *bench.Uneven) { u.Senders = 710 },
			least:   0.97,
			mostAt0: 1,
		},
		"the link takes 60 ms more each way": {
			change:  func(u *bench.Uneven) { u.Link.Extra = 60 },
			least:   0.97,
			mostAt0: 1,
		},
		// Each region alone serves 0.878 at best.
		"the link takes longer than the deadline": {
			change:  func(u *bench.Uneven) { u.Link.Extra = 300 },
			least:   0.85,
			mostAt0: 1,
		},
		"the link is cut": {
			change:  func(u *bench.Uneven) { u.Link.Cut = true },
			least:   0.85,
			mostAt0: 1,
		},
		"most statements are lost": {
			change:  func(u *bench.Uneven) { u.Statements.LostPercent = 70 },
			least:   0.97,
			mostAt0: 1,
		},
		"no statement arrives": {
			change:  func(u *bench.Uneven) { u.Statements.LostPercent = 100 },
			least:   0.87,
			mostAt0: 1,
		},
		// The present rule serves 0.78.
		"statements are 300 ms late": {
			change:  func(u *bench.Uneven) { u.Statements.Delay = 300 },
			least:   0.95,
			mostAt0: 1,
		},
		// The present rule serves 0.75.
		"a target fails fast": {
			change:  func(u *bench.Uneven) { u.FailFast = 0 },
			least:   0.86,
			mostAt0: 0.03,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := bench.UnevenRegions()
			tt.change(s.Uneven)
			r := bench.Run(s, bench.OnPlatform(true))
			t.Logf("served %.3f, herd %.2f, unsteadiness %.2f, link %.0f and %.0f B/s, %.3f of the arrivals at the first target",
				r.ServedShare(), r.Herd(), r.Unsteadiness(), r.LinkRate(0), r.LinkRate(1), r.ArrivalShare(0))
			if got := r.ServedShare(); got < tt.least {
				t.Errorf("served %.3f, want %.2f", got, tt.least)
			}
			if got := r.ArrivalShare(0); got > tt.mostAt0 {
				t.Errorf("%.3f of the arrivals at the first target, want %.2f", got, tt.mostAt0)
			}
			if got := max(r.LinkRate(0), r.LinkRate(1)); got > linkBudget {
				t.Errorf("%.0f B/s on the link, want %d", got, linkBudget)
			}
		})
	}
}
