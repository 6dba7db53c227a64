package pick_test

import (
	"errors"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const op = "stock/read"

func candidate(name, region string) pick.Candidate {
	return pick.Candidate{
		Name:   name,
		Region: region,
		Centre: region + "-1",
		Slots:  4,
	}
}

func newPicker(link *pick.Bucket) *pick.Picker {
	p := pick.New(pick.Config{
		Region:     "east",
		Centre:     "east-1",
		Seed:       1,
		LinkBudget: link,
	})
	p.SetTargets([]pick.Candidate{
		candidate("a", "east"),
		candidate("b", "east"),
		candidate("far", "west"),
	})
	return p
}

// share returns how many of 1000 choices at now fall on each target.
func share(t *testing.T, p *pick.Picker, now clock.Milli, q pick.Query) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range 1000 {
		c, err := p.Choose(now, q)
		if err != nil {
			t.Fatal(err)
		}
		counts[c.Target]++
	}
	return counts
}

func TestChoose(t *testing.T) {
	const now = 100 * clock.Second
	vitalOnly, err := admit.ParseThreshold("3.0")
	if err != nil {
		t.Fatal(err)
	}
	load := func(p *pick.Picker, names ...string) {
		for _, name := range names {
			for range 4 {
				p.Started(now, name, op)
			}
		}
	}
	tests := map[string]struct {
		link  *pick.Bucket
		setUp func(*pick.Picker)
		query pick.Query
		never []string
		kind  pick.Kind
		fails bool
	}{
		"prefers targets of its region": {
			link:  pick.NewBucket(1000, 1000),
			setUp: func(*pick.Picker) {},
			never: []string{"far"},
		},
		"excluded": {
			setUp: func(*pick.Picker) {},
			query: pick.Query{
				Exclude: []string{"a"},
			},
			never: []string{"a", "far"},
		},
		"leaving": {
			setUp: func(p *pick.Picker) {
				c := candidate("a", "east")
				c.Leaving = true
				p.SetTargets([]pick.Candidate{c, candidate("b", "east")})
			},
			never: []string{"a"},
		},
		"all leaving": {
			setUp: func(p *pick.Picker) { p.SetTargets(nil) },
			fails: true,
			kind:  pick.Empty,
		},
		"cold before hot": {
			setUp: func(p *pick.Picker) { load(p, "a") },
			never: []string{"a", "far"},
		},
		"spill when near is hot and far is not": {
			link: pick.NewBucket(0, 1000),
			setUp: func(p *pick.Picker) {
				load(p, "a", "b")
				p.ReportLoad(now, "far", pick.LoadReport{})
			},
			query: pick.Query{
				Bytes:      1,
				Importance: rules.Vital,
			},
			never: []string{"a", "b"},
		},
		"no spill when far is hot": {
			link: pick.NewBucket(0, 1000),
			setUp: func(p *pick.Picker) {
				load(p, "a", "b", "far")
				p.ReportLoad(now, "far", pick.LoadReport{})
				_, _ = p.Choose(now, pick.Query{})
			},
			never: []string{"far"},
		},
		"no spill without budget": {
			link:  pick.NewBucket(0, 1000),
			setUp: func(p *pick.Picker) { load(p, "a", "b") },
			query: pick.Query{
				Bytes: 1001,
			},
			never: []string{"far"},
		},
		"no spill from the reserve": {
			link:  pick.NewBucket(0, 1000),
			setUp: func(p *pick.Picker) { load(p, "a", "b") },
			query: pick.Query{
				Bytes:      751,
				Importance: rules.High,
			},
			never: []string{"far"},
		},
		"avoids a target whose threshold refuses": {
			setUp: func(p *pick.Picker) { p.ReportThreshold(now, "a", op, vitalOnly) },
			query: pick.Query{
				Op: op,
			},
			never: []string{"a", "far"},
		},
		"doomed if every threshold refuses": {
			setUp: func(p *pick.Picker) {
				for _, name := range []string{"a", "b", "far"} {
					p.ReportThreshold(now, name, op, vitalOnly)
				}
			},
			query: pick.Query{
				Op: op,
			},
			fails: true,
			kind:  pick.AllWouldRefuse,
		},
		"expired thresholds are ignored": {
			setUp: func(p *pick.Picker) {
				for _, name := range []string{"a", "b", "far"} {
					p.ReportThreshold(now-2*clock.Second, name, op, vitalOnly)
				}
			},
			query: pick.Query{
				Op: op,
			},
			never: []string{"far"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPicker(tt.link)
			tt.setUp(p)
			if tt.fails {
				_, err := p.Choose(now, tt.query)
				var e *pick.Error
				if !errors.As(err, &e) || e.Kind != tt.kind {
					t.Fatalf("Choose: error %v, want kind %v", err, tt.kind)
				}
				if doomed := p.AllWouldRefuse(now, op, tt.query.Importance, 0); doomed != (tt.kind == pick.AllWouldRefuse) {
					t.Errorf("AllWouldRefuse = %t", doomed)
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

// TestStraggler checks that a slow target gets few calls, and its share again
// after it had no calls for a while.
func TestStraggler(t *testing.T) {
	p := newPicker(nil)
	now := clock.Milli(0)
	call := func(name string, took clock.Milli) {
		p.Finished(now+took, p.Started(now, name, op), pick.Done)
	}
	for range 50 {
		now += 10
		call("a", 10)
		call("b", 10)
	}
	call("a", 100)
	call("a", 100)
	call("a", 100)
	now += 100
	if got := share(t, p, now, pick.Query{})["a"]; got > 100 {
		t.Errorf("the straggler got %d of 1000 calls, want at most 100", got)
	}
	now += 20 * clock.Second
	if got := share(t, p, now, pick.Query{})["a"]; got < 300 {
		t.Errorf("after 20 s the target got %d of 1000 calls, want at least 300", got)
	}
	if late := p.HedgeDelay(op); late < 10 || late > 100 {
		t.Errorf("HedgeDelay = %d ms, want 10 to 100", late)
	}
}

// TestBucket checks that the bytes taken stay within burst and rate and leave
// the reserve, that Take succeeds whenever the reserve permits it, and that
// SetRate applies the new burst.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100, 1000
		b := pick.NewBucket(rate, burst)
		now := clock.Milli(0)
		taken := 0
		for range 50 {
			now += clock.Milli(rapid.IntRange(0, 3000).Draw(t, "gap"))
			n := rapid.IntRange(1, burst).Draw(t, "n")
			reserve := rapid.IntRange(0, 100).Draw(t, "reserve")
			left := b.Left(now)
			took := b.Take(now, n, reserve)
			if want := left-int64(n) >= burst*int64(reserve)/100; took != want {
				t.Fatalf("%d of %d with reserve %d%%: Take = %t", n, left, reserve, took)
			}
			if took {
				taken += n
			}
			if bound := burst + rate*int(now)/1000; taken > bound {
				t.Fatalf("took %d of %d until %d ms", taken, bound, now)
			}
		}
		b.SetRate(now, 2*rate, burst/2)
		if left := b.Left(now + clock.Minute); left != burst/2 {
			t.Fatalf("%d left after a minute, burst is %d", left, burst/2)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	p := pick.New(pick.Config{
		Region: "east",
		Centre: "east-1",
	})
	candidates := make([]pick.Candidate, 39)
	for i := range candidates {
		candidates[i] = candidate(strconv.Itoa(i), "east")
	}
	p.SetTargets(candidates)
	q := pick.Query{
		Op:         op,
		Importance: rules.High,
	}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := clock.Milli(i / 10)
		c, err := p.Choose(now, q)
		if err != nil {
			b.Fatal(err)
		}
		p.Finished(now+5, p.Started(now, c.Target, op), pick.Done)
	}
}

func TestOwnCentreFirst(t *testing.T) {
	tests := map[string]struct {
		busy int
		want string
	}{
		"while it has spare capacity": {
			busy: 5,
			want: "own",
		},
		"not when it is hot": {
			busy: 9,
			want: "away",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := pick.New(pick.Config{
				Region:         "r",
				Centre:         "c1",
				OwnCentreFirst: true,
			})
			p.SetTargets([]pick.Candidate{
				{
					Name:   "own",
					Region: "r",
					Centre: "c1",
					Slots:  10,
				},
				{
					Name:   "away",
					Region: "r",
					Centre: "c2",
					Slots:  10,
				},
			})
			for range tt.busy {
				p.Started(0, "own", "s/op")
			}
			got, err := p.Choose(0, pick.Query{
				Op: "s/op",
			})
			if err != nil || got.Target != tt.want {
				t.Fatalf("got %v and %v, want %s", got, err, tt.want)
			}
		})
	}
}
