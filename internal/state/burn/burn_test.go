package burn

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

var pay = Key{
	Service:    "payment",
	Importance: "vital",
	Caller:     "wallet",
}

// counts makes counts from pairs of good and bad calls.
func counts(pairs ...uint64) []Count {
	var list []Count
	for n := 0; n < len(pairs); n += 2 {
		list = append(list, Count{
			Good: pairs[n],
			Bad:  pairs[n+1],
		})
	}
	return list
}

func TestRateAndLevel(t *testing.T) {
	const good = 999_000 // one in a thousand may be bad
	tests := map[string]struct {
		sums  []Count // 5 min, 30 min, 1 h, 6 h, 3 d
		good  int64
		rate  float64 // of the 1 h window
		level Level
	}{
		"no call": {
			sums:  make([]Count, 5),
			good:  good,
			level: Calm,
		},
		"as many bad calls as allowed": {
			sums:  counts(999, 1, 999, 1, 999, 1, 999, 1, 999, 1),
			good:  good,
			rate:  1,
			level: Calm,
		},
		"fast": {
			sums:  counts(980, 20, 980, 20, 980, 20, 999, 1, 999, 1),
			good:  good,
			rate:  20,
			level: Fast,
		},
		"fast an hour ago, but not now": {
			sums:  counts(1000, 0, 990, 10, 980, 20, 999, 1, 999, 1),
			good:  good,
			rate:  20,
			level: Calm,
		},
		"slow": {
			sums:  counts(992, 8, 992, 8, 992, 8, 993, 7, 999, 1),
			good:  good,
			rate:  8,
			level: Slow,
		},
		"one bad call just now": {
			sums:  counts(0, 1, 992, 8, 999, 1, 999, 1, 999, 1),
			good:  good,
			rate:  1,
			level: Calm,
		},
		"objective of 100 %": {
			sums:  counts(999_999, 1, 999_999, 1, 999_999, 1, 999_999, 1, 999_999, 1),
			good:  1_000_000,
			rate:  1,
			level: Calm,
		},
		"sums of another version": {
			sums:  counts(0, 1, 0, 1, 0, 1, 0, 1),
			good:  0,
			rate:  1,
			level: Calm,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Rate(test.sums[fastLong], test.good); got < test.rate-1e-9 || got > test.rate+1e-9 {
				t.Errorf("rate %v, want %v", got, test.rate)
			}
			if got := LevelOf(test.sums, test.good); got != test.level {
				t.Errorf("level %s, want %s", got, test.level)
			}
		})
	}
}

// TestSums compares every window with a plain list of calls. A call must count
// while it is younger than the window, and must not count once it is older
// than the window by more than a bucket.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := clock.Milli(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		table := New(Config{
			Now: start,
		})
		now := start
		count := rapid.IntRange(1, 60).Draw(t, "calls")
		calls := make([]clock.Milli, 0, count)
		for range count {
			gap := rapid.SampledFrom([]int64{1, 9_999, 10_000, 299_999, 3_600_000, 90_000_000}).Draw(t, "gap")
			now += clock.Milli(rapid.Int64Range(0, gap).Draw(t, "wait"))
			table.Add(now, pay, len(calls)%3 > 0)
			calls = append(calls, now)
		}
		sums := table.Sums(now, pay)
		for i, window := range Windows() {
			width := fineWidth
			if window > fineSpan {
				width = CoarseWidth
			}
			least, most := uint64(0), uint64(0)
			for _, at := range calls {
				if now-at < window {
					least++
				}
				if now-at < window+width {
					most++
				}
			}
			if n := sums[i].Total(); n < least || n > most {
				t.Fatalf("window %d ms has %d calls, want %d to %d", window, n, least, most)
			}
		}
		listed := Count{}
		for _, c := range table.Buckets(now, pay) {
			listed = listed.Plus(c)
		}
		if listed != sums[len(sums)-1] {
			t.Fatalf("buckets hold %+v, the longest window %+v", listed, sums[len(sums)-1])
		}
	})
}

func TestFullTable(t *testing.T) {
	const keys = 4
	table := New(Config{
		MaxKeys: keys,
	})
	const callers = 20
	for n := range callers {
		key := pay
		key.Caller = fmt.Sprintf("caller%d", n)
		table.Add(0, key, false)
		table.Add(0, key, true)
	}
	if n := len(table.Keys()); n != keys+1 {
		t.Errorf("%d keys, want %d and one for the rest", n, keys)
	}
	total := Count{}
	for _, key := range table.Keys() {
		total = total.Plus(table.Sums(0, key)[0])
	}
	want := Count{
		Good: callers,
		Bad:  callers,
	}
	if total != want {
		t.Errorf("%+v calls in all, want %+v", total, want)
	}
}

func BenchmarkAdd(b *testing.B) {
	table := New(Config{})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		table.Add(clock.Milli(n), pay, true)
	}
}
