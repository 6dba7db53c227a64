package flow

import (
	"math"
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	testRatio  = 0.2
	testWindow = 10 * clock.Second
)

func testConfig(slack int) *Config {
	return &Config{
		RetryRatio:  testRatio,
		RetrySlack:  slack,
		RetryWindow: testWindow,
	}
}

// TestFleetKeepsTheBudget checks the bound on the retries of a whole fleet.
// Every request asks for as many retries as its daemon grants, and the daemons
// do not coordinate.
func TestFleetKeepsTheBudget(t *testing.T) {
	tests := map[string]struct {
		daemons int
		absent  int
		slack   int
		// every is the time between two requests at each daemon.
		every clock.Milli
	}{
		"busy": {
			daemons: 16,
			slack:   49,
			every:   5,
		},
		"almost idle": {
			daemons: 16,
			slack:   49,
			every:   2000,
		},
		"a third of the daemons absent": {
			daemons: 16,
			absent:  5,
			slack:   49,
			every:   20,
		},
		"many daemons": {
			daemons: 89,
			slack:   118,
			every:   50,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			budgets := make([]*retryBudget, tt.daemons-tt.absent)
			for i := range budgets {
				budgets[i] = newRetryBudget(testConfig(tt.slack), tt.daemons, 0)
			}
			requests, retries := 0, 0
			for now := clock.Milli(0); now < testWindow; now += tt.every {
				for i, b := range budgets {
					b.earn(now)
					requests++
					importance := rules.Importance(i % 4)
					for b.take(now, importance, math.MaxUint64) {
						retries++
					}
				}
			}
			limit := int(testRatio*float64(requests)) + tt.slack
			if retries > limit {
				t.Errorf("%d retries of %d requests, the fleet may send %d", retries, requests, limit)
			}
		})
	}
}

// TestShortBudgetGoesToTheHighestRank checks that a budget too small for all
// requests serves a few roots well instead of each root a little.
func TestShortBudgetGoesToTheHighestRank(t *testing.T) {
	b := newRetryBudget(testConfig(49), 16, 0)
	const roots = 10
	got := make([]int, roots)
	for now := clock.Milli(0); now < 10*clock.Second; now++ {
		root := int(now) % roots
		b.earn(now)
		if b.take(now, rules.Normal, uint64(root)*(math.MaxUint64/roots)) {
			got[root]++
		}
	}
	low, high := 0, 0
	for i, n := range got {
		if i < roots/2 {
			low += n
		} else {
			high += n
		}
	}
	if high < 4*low {
		t.Errorf("the lower half of the roots got %d retries, the higher %d", low, high)
	}
}

// TestRepeatsFromAboveAreCharged checks that calls made by retried requests use
// up the retry budget.
func TestRepeatsFromAboveAreCharged(t *testing.T) {
	b := newRetryBudget(testConfig(49), 16, 0)
	for range 100 {
		b.earn(0)
		b.charge(0)
	}
	if b.take(0, rules.Normal, math.MaxUint64) {
		t.Error("a retry was granted although the calls of retried requests had used the budget up")
	}
}

// Guards against a request of several calls that fails because requests of lower rank
// used up the repeats of a service that rejects 55 % at random: the first in the order
// of the accounts must be served at least as often as the last one with one call (load:
// 400 requests a second, a part of 0.12 of the calls may be repeated).
func TestRejectionsSpareTheFirstRank(t *testing.T) {
	const (
		length   = 40 * clock.Second
		gap      = 10
		rejected = 0.55
	)
	outbound := newRetryBudget(testConfig(49), 16, 0)
	inbound := newRankedBudget(testConfig(49), inboundShare, 0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	call := func(now clock.Milli, order uint64) bool {
		outbound.earn(now)
		inbound.window.RecordRequest(now)
		for random.Float64() < rejected {
			if !inbound.take(now, rankOf(rules.Normal, order)) && !outbound.take(now, rules.Normal, order) {
				return false
			}
		}
		return true
	}
	var first, last [2]int
	for now := clock.Milli(0); now < length; now += gap {
		for i := range 4 {
			order := random.Uint64()
			calls := 1
			if i%2 == 0 {
				calls = 4
			}
			served := 1
			for range calls {
				if served == 1 && !call(now, order) {
					served = 0
				}
			}
			rank := float64(order) / math.MaxUint64
			switch {
			case now < length/2:
			case rank > 0.98 && calls == 4:
				first[0] += served
				first[1]++
			case rank < 0.25 && calls == 1:
				last[0] += served
				last[1]++
			}
		}
	}
	shareFirst, shareLast := float64(first[0])/float64(first[1]), float64(last[0])/float64(last[1])
	t.Logf("first %.3f of %d, last %.3f of %d", shareFirst, first[1], shareLast, last[1])
	if shareFirst < shareLast {
		t.Errorf("requests of four calls of the first rank are served %.3f, those of one call of the last rank %.3f", shareFirst, shareLast)
	}
}
