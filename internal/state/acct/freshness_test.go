package acct

import (
	"math/rand/v2"
	"slices"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a withdrawn key that is let in later than the bound after it was
// withdrawn, and against keys that are refused while the store was away only shortly
// (CONFIG).
func TestIsTrusted(t *testing.T) {
	const bound = 5 * clock.Second
	tests := map[string]struct {
		bound clock.Milli
		prove []clock.Milli
		now   clock.Milli
		want  bool
	}{
		"no proof yet": {
			bound: bound,
			now:   1000,
		},
		"no bound": {
			now:  1_000_000,
			want: true,
		},
		"just proven": {
			bound: bound,
			prove: []clock.Milli{1000},
			now:   1000,
			want:  true,
		},
		"0.9 of the bound": {
			bound: bound,
			prove: []clock.Milli{1000},
			now:   5500,
			want:  true,
		},
		"beyond 0.9 of the bound": {
			bound: bound,
			prove: []clock.Milli{1000},
			now:   5501,
		},
		"an older proof arrives later": {
			bound: bound,
			prove: []clock.Milli{4000, 1000},
			now:   8000,
			want:  true,
		},
		"after a pause of an hour": {
			bound: bound,
			prove: []clock.Milli{1000},
			now:   clock.Hour,
		},
		"a clock that was read out of order": {
			bound: bound,
			prove: []clock.Milli{1000},
			now:   999,
			want:  true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFreshness(tt.bound, rand.Float64)
			for _, at := range tt.prove {
				f.Prove(at)
			}
			if got := f.IsTrusted(tt.now); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// dueAge returns the age at which a proof becomes due.
func dueAge(f *Freshness) clock.Milli {
	const at = 1000
	f.Prove(at)
	age := clock.Milli(0)
	for !f.IsDue(at + age) {
		age++
	}
	return age
}

// Guards against a daemon that renews its proofs too late to serve for 0.6 of the
// bound after it has lost the store, in a fleet that shares proofs.
func TestTrustOutlastsRenewal(t *testing.T) {
	const bound = 5 * clock.Second
	r := rand.New(rand.NewPCG(1, 2))
	for _, daemons := range []int{66, 780} {
		first := bound
		for range daemons {
			first = min(first, dueAge(NewFreshness(bound, r.Float64)))
		}
		if left := bound*trustPercent/100 - first; left < bound/2 {
			t.Errorf("%d daemons: %d ms are left after the first renewal, want half of the bound", daemons, left)
		}
	}
	if left := bound*trustPercent/100 - dueAge(NewFreshness(bound, func() float64 { return 0 })); left < bound*6/10 {
		t.Errorf("%d ms are left after the earliest renewal, want 0.6 of the bound", left)
	}
}

// Guards against a fleet in which all daemons read the store at the same moment,
// because they share a proof and so its age.
func TestRenewalsAreSpread(t *testing.T) {
	const (
		bound   = 5 * clock.Second
		spread  = 200 * clock.Millisecond
		daemons = 780
	)
	r := rand.New(rand.NewPCG(3, 4))
	ages := make([]clock.Milli, 0, daemons)
	for range daemons {
		ages = append(ages, dueAge(NewFreshness(bound, r.Float64)))
	}
	slices.Sort(ages)
	early := 0
	for _, age := range ages {
		if age < ages[0]+spread {
			early++
		}
	}
	if early > daemons/20 {
		t.Errorf("%d of %d daemons renew before they can hear of the first", early, daemons)
	}
}
