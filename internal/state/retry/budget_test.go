package retry

import (
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of the random call graphs.
const (
	maxDepth     = 7
	maxFan       = 4
	maxCalls     = 400
	maxAllowance = 12
)

// chain walks a random call graph in which attempts and answers are lost.
// Split stands for Purse.Split, so that a broken one can be put in its place.
type chain struct {
	t        *rapid.T
	split    func(p *Budget, children int) int
	calls    int
	attempts int
	loss     int
}

func (c *chain) isLost(label string) bool {
	return rapid.IntRange(0, 99).Draw(c.t, label) < c.loss
}

// call makes one call with the units lent to it, retrying as long as they
// last, and returns the units that come back. A lost attempt may have run its
// whole subtree or may never have arrived.
func (c *chain) call(units, depth int) int {
	c.calls++
	p := NewBudget(units)
	for {
		c.attempts++
		if !c.isLost("request lost") {
			lent := p.Units()
			share := c.split(p, 1)
			back := c.serve(share, depth)
			if !c.isLost("answer lost") {
				p.Return(share, back)
				return min(p.Units(), lent)
			}
			return 0
		}
		if !p.Spend(1) {
			return p.Units()
		}
	}
}

// serve runs a request at a hop that calls deeper and returns the unspent
// units.
func (c *chain) serve(units, depth int) int {
	p := NewBudget(units)
	if depth >= maxDepth {
		return p.Units()
	}
	fan := rapid.IntRange(0, maxFan).Draw(c.t, "fan")
	for left := fan; left > 0 && c.calls < maxCalls; left-- {
		share := c.split(p, left)
		p.Return(share, c.call(share, depth+1))
	}
	return p.Units()
}

func walk(t *rapid.T, split func(p *Budget, children int) int) (c *chain, allowance int) {
	allowance = rapid.IntRange(0, maxAllowance).Draw(t, "allowance")
	c = &chain{
		t:     t,
		split: split,
		loss:  rapid.IntRange(0, 90).Draw(t, "loss in percent"),
	}
	c.call(allowance, 1)
	return c, allowance
}

func TestAttemptsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, allowance := walk(t, (*Budget).Split)
		if c.attempts > c.calls+allowance {
			t.Fatalf("%d attempts for %d calls with an allowance of %d", c.attempts, c.calls, allowance)
		}
	})
}

// The check above must notice a purse that copies its units to each child.
func TestCheckNoticesCopiedUnits(t *testing.T) {
	copied := func(p *Budget, _ int) int { return p.Units() }
	exceeded := false
	rapid.Check(t, func(t *rapid.T) {
		c, allowance := walk(t, copied)
		if c.attempts > c.calls+allowance {
			exceeded = true
		}
	})
	if !exceeded {
		t.Error("copied units never exceeded the allowance")
	}
}

func TestPurse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.IntRange(-3, 30).Draw(t, "units")
		p := NewBudget(units)
		out := 0
		for left := rapid.IntRange(1, 6).Draw(t, "children"); left > 0; left-- {
			share := p.Split(left)
			out += share - rapid.IntRange(0, share).Draw(t, "unspent")
			if p.Units() < 0 || share < 0 {
				t.Fatalf("share %d, left %d", share, p.Units())
			}
		}
		if p.Units() != 0 {
			t.Fatalf("%d units left after the last child", p.Units())
		}
	})
	p := NewBudget(4)
	for name, ok := range map[string]bool{
		"negative": p.Spend(-1),
		"too many": p.Spend(5),
	} {
		if ok {
			t.Errorf("Spend accepted: %s", name)
		}
	}
	share := p.Split(2)
	p.Return(share, share+9)
	if p.Units() != 4 {
		t.Errorf("a child gave back more than its share: %d units", p.Units())
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
		"a new pair has one": {
			want: 1,
		},
		"a tenth of the successes": {
			successes: 30,
			want:      4,
		},
		"never more than the burst": {
			successes: 1000,
			want:      5,
		},
		"the floor without success": {
			after: 25 * clock.Second,
			want:  3,
		},
		"the floor after a long pause": {
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

// Whatever the order of events, the extra attempts stay within the share of
// the successes, the floor and the first one.
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
		bound := 1 + successes*cfg.PerThousand/whole + int(now/cfg.FloorInterval)
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
			t.Errorf("%s does not have exactly one first attempt", target)
		}
	}
	if !b.Take(0, pair("three")) || b.Take(0, pair("four")) {
		t.Error("pairs beyond the bound do not share one budget")
	}
	b.Refund(0, pair("one"))
	if !b.Take(0, pair("one")) {
		t.Error("an attempt that was given back is gone")
	}
	b.Sweep(clock.Minute, clock.Minute)
	if len(b.ratios) != 0 {
		t.Errorf("%d idle pairs kept", len(b.ratios))
	}
}
