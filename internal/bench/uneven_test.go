package bench_test

import (
	"testing"

	"siskinswitch.example/siskin/internal/bench"
)

func TestUnevenTrial(t *testing.T) {
	for _, by := range []bool{false, true} {
		for _, l := range []bool{false, true} {
			s := bench.UnevenRegions()
			s.Uneven.Statements.Learned = l
			r := bench.Run(s, bench.OnPlatform(by))
			t.Logf("by time %t learned %t: pool %.3f served %.3f ref %.3f %.3f herd %.2f unsteady %.2f link %.0f %.0f B/s p50 %.0f p99 %.0f amp %.2f", by, l, s.PoolShare(), r.ServedShare(), r.RefusedShare(0), r.RefusedShare(1), r.Herd(), r.Unsteadiness(), r.LinkRate(0), r.LinkRate(1), r.Latency(50), r.Latency(99), r.Amplification())
		}
	}
}
