package pick_test

import (
	"errors"
	"strconv"
	"testing"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// newTimePicker returns a picker that chooses by expected time, with a target of
// the own data centre, one of the region and one of the other region.
func newTimePicker(link *pick.Bucket) *pick.Picker {
	p := pick.New(pick.Config{
		Region:         "east",
		Centre:         "east-1",
		Seed:           1,
		LinkBudget:     link,
		ByExpectedTime: true,
	})
	beside := candidate("beside", "east")
	beside.Centre = "east-2"
	p.SetTargets([]pick.Candidate{candidate("own", "east"), beside, candidate("far", "west")})
	return p
}

// TestChooseByTime guards against calls that leave their place without need,
// that stay in a full one, and that cross the link against its budget or into a
// region that is silent, unknown or full.
func TestChooseByTime(t *testing.T) {
	const now = 100 * clock.Second
	vitalOnly, err := admit.ParseThreshold("3.0")
	if err != nil {
		t.Fatal(err)
	}
	stateLoad := func(p *pick.Picker, running int, names ...string) {
		for _, name := range names {
			p.ReportLoad(now, name, pick.LoadReport{
				Short: pick.Lane{
					Running: running,
					Limit:   100,
				},
				Throughput: 1000,
			})
		}
	}
	refuse := func(p *pick.Picker, names ...string) {
		for _, name := range names {
			p.ReportThreshold(now, name, op, vitalOnly)
		}
	}
	tests := map[string]struct {
		setUp func(*pick.Picker)
		query pick.Query
		never []string
		fails bool
		kind  pick.Kind
	}{
		"stays while there is room": {
			setUp: func(p *pick.Picker) { stateLoad(p, 2, "own", "beside", "far") },
			never: []string{"beside", "far"},
		},
		"leaves a full data centre": {
			setUp: func(p *pick.Picker) { stateLoad(p, 40, "own"); stateLoad(p, 1, "beside", "far") },
			never: []string{"own", "far"},
		},
		"does not leave a full region for a full one": {
			setUp: func(p *pick.Picker) { stateLoad(p, 40, "own", "beside", "far") },
			never: []string{"far"},
		},
		"does not cross beyond the budget": {
			setUp: func(p *pick.Picker) { refuse(p, "own", "beside"); stateLoad(p, 1, "far") },
			query: pick.Query{
				Bytes: 1001,
			},
			fails: true,
			kind:  pick.AllWouldRefuse,
		},
		"leaves the reserve to more important calls": {
			setUp: func(p *pick.Picker) { refuse(p, "own", "beside"); stateLoad(p, 1, "far") },
			query: pick.Query{
				Bytes: 300,
			},
			fails: true,
			kind:  pick.AllWouldRefuse,
		},
		"does not cross if it would end too late": {
			setUp: func(p *pick.Picker) { stateLoad(p, 40, "own", "beside"); stateLoad(p, 1, "far") },
			query: pick.Query{
				TimeLeft: 40,
			},
			never: []string{"far"},
		},
		"all excluded": {
			setUp: func(*pick.Picker) {},
			query: pick.Query{
				Exclude: []string{"own", "beside", "far"},
			},
			fails: true,
			kind:  pick.Empty,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTimePicker(pick.NewBucket(0, 1000))
			tt.setUp(p)
			tt.query.Op = op
			tt.query.Importance = max(tt.query.Importance, rules.Normal)
			if tt.fails {
				c, err := p.Choose(now, tt.query)
				var e *pick.Error
				if !errors.As(err, &e) || e.Kind != tt.kind {
					t.Fatalf("Choose: %v and error %v, want kind %v", c, err, tt.kind)
				}
				return
			}
			counts := share(t, p, now, tt.query)
			for _, never := range tt.never {
				if counts[never] > 0 {
					t.Errorf("%d of 1000 choices fell on %s", counts[never], never)
				}
			}
		})
	}
}

// TestCrossingCalls guards against a region that keeps calls which its targets
// would refuse, and against one that loses more than a few calls to a region
// that does not answer.
func TestCrossingCalls(t *testing.T) {
	const now = 100 * clock.Second
	cross := func(t *testing.T, answers bool) int {
		p := newTimePicker(pick.NewBucket(1<<30, 1<<30))
		crossed := 0
		for at := now; at < now+5*clock.Second; at += 10 {
			for _, name := range []string{"own", "beside"} {
				p.ReportLoad(at, name, pick.LoadReport{
					Short: pick.Lane{
						Running: 40,
						Limit:   4,
					},
				})
			}
			c, err := p.Choose(at, pick.Query{
				Op: op,
			})
			if err != nil {
				t.Fatal(err)
			}
			call := p.Started(at, c.Target, op)
			if !c.Spill {
				p.Finished(at+10, call, pick.Done)
				continue
			}
			crossed++
			if answers {
				p.Finished(at+50, call, pick.Done)
				p.ReportLoad(at+50, c.Target, pick.LoadReport{
					Short: pick.Lane{
						Running: 1,
						Limit:   4,
					},
				})
			}
		}
		return crossed
	}
	if got := cross(t, true); got < 400 {
		t.Errorf("%d of 500 calls crossed to the region with room, want 400", got)
	}
	if got := cross(t, false); got > 10 {
		t.Errorf("%d of 500 calls crossed to a silent region, want 10", got)
	}
}

// TestFastTargetsGetMore guards against targets that get the same number of calls
// although one completes more than twice as many, and against slow ones that get
// nearly none.
func TestFastTargetsGetMore(t *testing.T) {
	p := pick.New(pick.Config{
		Region:         "east",
		Centre:         "east-1",
		ByExpectedTime: true,
	})
	p.SetTargets([]pick.Candidate{candidate("slow", "east"), candidate("fast", "east")})
	took := map[string]clock.Milli{
		"slow": 43,
		"fast": 19,
	}
	counts := map[string]int{}
	const calls = 10_000
	for i := range calls {
		now := clock.Milli(i)
		c, err := p.Choose(now, pick.Query{
			Op:          op,
			LatencyGoal: 200,
		})
		if err != nil {
			t.Fatal(err)
		}
		counts[c.Target]++
		p.Finished(now+took[c.Target], p.Started(now, c.Target, op), pick.Done)
		p.ReportLoad(now, c.Target, pick.LoadReport{
			Short: pick.Lane{
				Running: 2,
				Limit:   4,
			},
			Throughput: 30_000 / float64(took[c.Target]),
		})
	}
	// In proportion to what they complete, the fast one gets 0.69 of the calls. While
	// both state the same load, it gets more.
	if got := float64(counts["fast"]) / calls; got < 0.6 || got > 0.9 {
		t.Errorf("%.2f of the calls went to the fast target, want 0.6 to 0.9", got)
	}
}

// TestSwitchedOff guards against a choice that stays changed after the switch is
// turned off.
func TestSwitchedOff(t *testing.T) {
	const now = 100 * clock.Second
	p, plain := newTimePicker(pick.NewBucket(0, 0)), pick.New(pick.Config{
		Region: "east",
		Centre: "east-1",
		Seed:   1,
	})
	beside := candidate("beside", "east")
	beside.Centre = "east-2"
	plain.SetTargets([]pick.Candidate{candidate("own", "east"), beside, candidate("far", "west")})
	p.SetByExpectedTime(false)
	for i := range 1000 {
		at := now + clock.Milli(i)
		a, _ := p.Choose(at, pick.Query{
			Op: op,
		})
		b, _ := plain.Choose(at, pick.Query{
			Op: op,
		})
		if a != b {
			t.Fatalf("choice %d: %v, want %v", i, a, b)
		}
		p.Finished(at+5, p.Started(at, a.Target, op), pick.Done)
		plain.Finished(at+5, plain.Started(at, b.Target, op), pick.Done)
	}
}

// TestCostOfChoice guards against a choice that allocates, or whose cost grows
// with the number of candidates: 780 may cost twice as much as 66.
func TestCostOfChoice(t *testing.T) {
	cost := func(n int) testing.BenchmarkResult {
		best := testing.BenchmarkResult{}
		for range 3 {
			r := testing.Benchmark(func(b *testing.B) { benchmarkByTime(b, n) })
			if best.N == 0 || r.NsPerOp() < best.NsPerOp() {
				best = r
			}
		}
		return best
	}
	few, many := cost(66), cost(780)
	t.Logf("66 candidates: %d ns, 780: %d ns", few.NsPerOp(), many.NsPerOp())
	if many.AllocsPerOp() > 0 {
		t.Errorf("%d allocations per choice", many.AllocsPerOp())
	}
	if many.NsPerOp() > 2*few.NsPerOp() {
		t.Errorf("780 candidates take %d ns, 66 take %d", many.NsPerOp(), few.NsPerOp())
	}
}

func BenchmarkChooseByTime(b *testing.B) {
	for _, n := range []int{66, 780} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkByTime(b, n) })
	}
}

func benchmarkByTime(b *testing.B, n int) {
	p := pick.New(pick.Config{
		Region:         "east",
		Centre:         "east-1",
		ByExpectedTime: true,
	})
	candidates := make([]pick.Candidate, n)
	for i := range candidates {
		candidates[i] = candidate(strconv.Itoa(i), []string{"east", "west"}[i%2])
		candidates[i].Centre += strconv.Itoa(i / 2 % 2)
	}
	p.SetTargets(candidates)
	q := pick.Query{
		Op:         op,
		Importance: rules.High,
		TimeLeft:   500,
	}
	report := pick.LoadReport{
		Short: pick.Lane{
			Running: 3,
			Limit:   4,
		},
		Throughput: 100,
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := clock.Milli(i / 10)
		c, err := p.Choose(now, q)
		if err != nil {
			b.Fatal(err)
		}
		p.Finished(now+5, p.Started(now, c.Target, op), pick.Done)
		p.ReportLoad(now+5, c.Target, report)
	}
}
