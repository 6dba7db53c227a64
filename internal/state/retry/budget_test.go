package retry

import (
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of the random call graphs.
const (
	maxDepth    = 7
	maxChildren = 4
	maxCalls    = 400
	maxBudget   = 12
)

// callGraph runs a random call graph in which attempts and answers are lost.
// split is Budget.Split or a faulty replacement.
type callGraph struct {
	t           *rapid.T
	split       func(b *Budget, children int) int
	calls       int
	attempts    int
	lossPercent int
}

func (c *callGraph) isLost(label string) bool {
	return rapid.IntRange(0, 99).Draw(c.t, label) < c.lossPercent
}

// call makes one call with the units lent to it, retrying while units are
// left, and returns the unspent units. A lost attempt may have run its whole
// subtree or may never have arrived.
func (c *callGraph) call(units, depth int) int {
	c.calls++
	b := NewBudget(units)
	for {
		c.attempts++
		if !c.isLost("request lost") {
			lent := b.Units()
			share := c.split(b, 1)
			unspent := c.serve(share, depth)
			if !c.isLost("answer lost") {
				b.Return(share, unspent)
				return min(b.Units(), lent)
			}
			return 0
		}
		if !b.Spend(1) {
			return b.Units()
		}
	}
}

// serve runs a request at a hop that makes downstream calls and returns the
// unspent units.
func (c *callGraph) serve(units, depth int) int {
	b := NewBudget(units)
	if depth >= maxDepth {
		return b.Units()
	}
	children := rapid.IntRange(0, maxChildren).Draw(c.t, "fan")
	for left := children; left > 0 && c.calls < maxCalls; left-- {
		share := c.split(b, left)
		b.Return(share, c.call(share, depth+1))
	}
	return b.Units()
}

func runCallGraph(t *rapid.T, split func(b *Budget, children int) int) (c *callGraph, budget int) {
	budget = rapid.IntRange(0, maxBudget).Draw(t, "allowance")
	c = &callGraph{
		t:           t,
		split:       split,
		lossPercent: rapid.IntRange(0, 90).Draw(t, "loss in percent"),
	}
	c.call(budget, 1)
	return c, budget
}

func TestAttemptsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, budget := runCallGraph(t, (*Budget).Split)
		if c.attempts > c.calls+budget {
			t.Fatalf("%d attempts for %d calls with a retry budget of %d", c.attempts, c.calls, budget)
		}
	})
}

// The property of TestAttemptsStayWithinAllowance must fail for a budget that
// gives a copy of its units to each downstream call.
func TestCheckNoticesCopiedUnits(t *testing.T) {
	copied := func(b *Budget, _ int) int { return b.Units() }
	exceeded := false
	rapid.Check(t, func(t *rapid.T) {
		c, budget := runCallGraph(t, copied)
		if c.attempts > c.calls+budget {
			exceeded = true
		}
	})
	if !exceeded {
		t.Error("copied units never exceeded the retry budget")
	}
}

func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.IntRange(-3, 30).Draw(t, "units")
		b := NewBudget(units)
		out := 0
		for left := rapid.IntRange(1, 6).Draw(t, "children"); left > 0; left-- {
			share := b.Split(left)
			out += share - rapid.IntRange(0, share).Draw(t, "unspent")
			if b.Units() < 0 || share < 0 {
				t.Fatalf("share %d, left %d", share, b.Units())
			}
		}
		if b.Units() != 0 {
			t.Fatalf("%d units left after the last child", b.Units())
		}
	})
	b := NewBudget(4)
	for name, ok := range map[string]bool{
		"negative": b.Spend(-1),
		"too many": b.Spend(5),
	} {
		if ok {
			t.Errorf("Spend accepted: %s", name)
		}
	}
	share := b.Split(2)
	b.Return(share, share+9)
	if b.Units() != 4 {
		t.Errorf("a child call returned more than its share: %d units", b.Units())
	}
}

func TestRatio(t *testing.T) {
	cfg := RatioConfig{
		PerThousand:   100,
		Burst:         5,
		FloorInterval: 10 * clock.Second,
	}
	tests := map[string]struct {
		successes int
		after     clock.Milli
		want      int
	}{
		"a new pair has one attempt": {
			want: 1,
		},
		"successes earn a tenth": {
			successes: 30,
			want:      4,
		},
		"successes earn at most the burst": {
			successes: 1000,
			want:      5,
		},
		"the floor interval grants without success": {
			after: 25 * clock.Second,
			want:  3,
		},
		"the floor interval grants at most the burst": {
			after: clock.Hour,
			want:  5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRatio(cfg, 0)
			for range tt.successes {
				r.Success()
			}
			got := 0
			for r.Take(tt.after) {
				got++
			}
			if got != tt.want {
				t.Errorf("took %d attempts, want %d", got, tt.want)
			}
		})
	}
}

// Whatever the order of events, the extra attempts stay within the part earned
// by successes, the grants of the floor interval and the initial attempt.
func TestRatioBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RatioConfig{
			PerThousand:   rapid.IntRange(1, 500).Draw(t, "share"),
			Burst:         rapid.IntRange(1, 50).Draw(t, "burst"),
			FloorInterval: clock.Milli(rapid.IntRange(1, 20_000).Draw(t, "floor")),
		}
		r := NewRatio(cfg, 0)
		var now clock.Milli
		successes, taken := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += clock.Milli(rapid.IntRange(0, 500).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "success") {
				r.Success()
				successes++
			}
			if r.Take(now) {
				taken++
			}
		}
		bound := 1 + successes*cfg.PerThousand/tokensPerAttempt + int(now/cfg.FloorInterval)
		if taken > bound+1 {
			t.Fatalf("%d extra attempts, bound %d", taken, bound)
		}
	})
}

func TestBudgetsKeepPairsApart(t *testing.T) {
	b := NewRatios(RatiosConfig{MaxPairs: 2}, 0)
	pair := func(target string) Pair {
		return Pair{
			Caller: "wallet",
			Target: target,
		}
	}
	for _, target := range []string{"one", "two"} {
		if !b.Take(0, pair(target)) || b.Take(0, pair(target)) {
			t.Errorf("%s does not start with exactly one extra attempt", target)
		}
	}
	if !b.Take(0, pair("three")) || b.Take(0, pair("four")) {
		t.Error("pairs beyond the bound do not share one budget")
	}
	b.Refund(0, pair("one"))
	if !b.Take(0, pair("one")) {
		t.Error("a refunded attempt cannot be taken again")
	}
	b.Sweep(clock.Minute, clock.Minute)
	if len(b.ratios) != 0 {
		t.Errorf("%d idle pairs kept", len(b.ratios))
	}
}
