package learn

import (
	"math"
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// load is a target that always has requests waiting. Each of them works for its own
// time at a rate that depends on the instant and on the requests at the target, and
// waits for calls of the target in between.
type load struct {
	slots int
	// own is the mean own time of a request at speed 1, calls that of its calls, both
	// in milliseconds.
	own, calls float64
	rate       rate
	// callFactor lengthens calls from callsFrom on.
	callFactor float64
	callsFrom  clock.Milli
	// accepts is the number of requests beyond which the target rejects, 0 for none;
	// rejects is the part of requests that it rejects whatever its load.
	accepts int
	rejects float64
	// hint is called before each millisecond.
	hint func(now clock.Milli, l *Learner)
}

// work is a request at the target.
type work struct {
	ticket     Ticket
	startedAt  clock.Milli
	own, calls float64
	waited     float64
	rejected   bool
}

// result is what came of a run.
type result struct {
	// done is the number of completions from measureFrom on.
	done int
	// states are those at the end of each tenth of a second.
	states []State
}

const (
	runTime     = 22 * clock.Second
	measureFrom = 2 * clock.Second
)

// run drives the load for runTime. Without a learner the limit is fixed.
func (ld *load) run(l *Learner, fixed int, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, seed))
	jitter := func(mean float64) float64 { return mean * (0.6 + 0.8*rng.Float64()) }
	var at []work
	var res result
	for now := clock.Second; now < clock.Second+runTime; now++ {
		limit := fixed
		if l != nil {
			if ld.hint != nil {
				ld.hint(now, l)
			}
			l.Wait(now)
			l.Tick(now)
			limit = l.Limit()
		}
		speed := ld.rate(now-clock.Second, len(at))
		kept := at[:0]
		for _, w := range at {
			if w.own > 0 {
				w.own -= speed
			} else {
				w.calls--
				w.waited++
			}
			if w.own > 0 || w.calls > 0 {
				kept = append(kept, w)
				continue
			}
			if now >= clock.Second+measureFrom && !w.rejected {
				res.done++
			}
			ld.finish(l, now, w)
		}
		at = kept
		for len(at) < limit {
			w := work{
				startedAt: now,
				own:       jitter(ld.own),
				calls:     jitter(ld.calls),
			}
			if now-clock.Second >= ld.callsFrom {
				w.calls *= ld.callFactor
			}
			if ld.accepts > 0 && len(at) >= ld.accepts || rng.Float64() < ld.rejects {
				w.own, w.calls, w.rejected = 1, 0, true
			}
			if l != nil {
				w.ticket = l.Start(now)
			}
			at = append(at, w)
		}
		if l != nil && (now+1)%100 == 0 {
			res.states = append(res.states, l.State(now))
		}
	}
	return res
}

func (ld *load) finish(l *Learner, now clock.Milli, w work) {
	o := Outcome{
		Path:    "p",
		Took:    now - w.startedAt,
		InCalls: clock.Milli(w.waited),
	}
	if w.rejected {
		o.Took, o.Rejections = -1, 1
	}
	if l != nil {
		l.Finish(now, w.ticket, o)
	}
}

// best returns the most completions with any fixed limit.
func (ld *load) best(seed uint64) (limit, done int) {
	step := max(1, ld.slots/40)
	for n := ld.slots; n >= ld.slots/8; n -= step {
		if d := ld.run(nil, n, seed).done; d > done {
			limit, done = n, d
		}
	}
	return limit, done
}

// rate is the speed of the work at an instant with some requests at the target.
type rate func(now clock.Milli, running int) float64

func steady(speed float64) rate {
	return func(clock.Milli, int) float64 { return speed }
}

// knee slows all work by 1.3 from a part of the slots on.
func knee(slots int, part, speed float64) rate {
	return func(_ clock.Milli, running int) float64 {
		if float64(running) >= part*float64(slots) {
			return speed / 1.3
		}
		return speed
	}
}

// slowed divides r by a factor from an instant to another, in each span of time if
// that is not 0.
func (r rate) slowed(factor float64, from, to, every clock.Milli) rate {
	return func(now clock.Milli, running int) float64 {
		at := now
		if every > 0 {
			at %= every
		}
		if at >= from && at < to {
			return r(now, running) / factor
		}
		return r(now, running)
	}
}

// withNeighbours slows r by 2.5 for 600 ms of 4 s.
func (r rate) withNeighbours() rate { return r.slowed(2.5, 3000, 3600, 4000) }

// newLoad returns a load of 40 slots whose requests work for 20 ms.
func newLoad(r rate) load {
	return load{
		slots: 40,
		own:   20,
		rate:  r,
	}
}

// withSlots returns ld with other slots and another time of work.
func (ld load) withSlots(slots int, own float64) load {
	ld.slots, ld.own = slots, own
	return ld
}

// withSlowCalls returns ld with requests that wait for as long as they work, and eight
// times as long from an instant on.
func (ld load) withSlowCalls(from clock.Milli) load {
	ld.own, ld.calls, ld.callFactor, ld.callsFrom = 10, 10, 8, from
	return ld
}

// Guards against a limit that is far from the best one, found too late, or that does
// not come to rest. The loads are those of part D of docs/design/README.md.
func TestThroughputNearTheBestFixedLimit(t *testing.T) {
	full, partial := newLoad(steady(1)), newLoad(steady(1))
	full.accepts = 30
	partial.rejects = 0.2
	tests := map[string]load{
		"speed 0.5":                  newLoad(steady(0.5)),
		"speed 1.6":                  newLoad(steady(1.6)),
		"few slots":                  newLoad(steady(1)).withSlots(8, 20),
		"many slots":                 newLoad(steady(0.7)).withSlots(110, 60),
		"knee at 0.95":               newLoad(knee(40, 0.95, 1)),
		"knee at 0.95, speed 0.5":    newLoad(knee(40, 0.95, 0.5)),
		"knee at 0.95, 110 slots":    newLoad(knee(110, 0.95, 1.6)).withSlots(110, 60),
		"knee at 0.95, few slots":    newLoad(knee(8, 0.95, 1)).withSlots(8, 20),
		"knee at 0.85":               newLoad(knee(40, 0.85, 1)),
		"neighbours":                 newLoad(steady(1).withNeighbours()),
		"neighbours and a knee":      newLoad(knee(40, 0.95, 1).withNeighbours()),
		"lasting slowdown, knee":     newLoad(knee(40, 0.95, 1).slowed(5, 8*clock.Second, runTime, 0)),
		"cold start, knee":           newLoad(knee(40, 0.95, 1).slowed(2, 0, 3*clock.Second, 0)),
		"waits on slow calls":        newLoad(steady(1)).withSlowCalls(6 * clock.Second),
		"accepts fewer than stated":  full,
		"rejects a part at any load": partial,
	}
	for name, ld := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seed = 1
			best, most := ld.best(seed)
			res := ld.run(New(Config{
				Floor:   2,
				Ceiling: ld.slots,
			}), 0, seed)
			share := float64(res.done) / float64(most)
			moves, low, high := movesOf(res.states[120:])
			t.Logf("best %d: %d, got %d (%.3f), %d moves between %d and %d", best, most, res.done, share, moves, low, high)
			if share < 0.95 {
				t.Errorf("%.3f of the throughput of the best fixed limit %d, want 0.95", share, best)
			}
			found := res.states[measureFrom/100-1].Limit
			if s := float64(ld.run(nil, found, seed).done) / float64(most); s < 0.95 {
				t.Errorf("the limit %d after 2 s gives %.3f of the best throughput, want 0.95", found, s)
			}
			if moves > 1 || high-low > max(1, ld.slots/16) {
				t.Errorf("%d moves between %d and %d in the last 10 s, want rest", moves, low, high)
			}
		})
	}
}

// movesOf returns how often the limit changed, and its least and greatest value.
func movesOf(states []State) (moves, low, high int) {
	low, high = states[0].Limit, states[0].Limit
	for i, st := range states[1:] {
		if st.Limit != states[i].Limit {
			moves++
		}
		low, high = min(low, st.Limit), max(high, st.Limit)
	}
	return moves, low, high
}

// Guards against a speed or a throughput that follows a change too late, and against
// slow calls of the target that count as slowness of its own.
func TestSpeedAndThroughputFollow(t *testing.T) {
	const (
		slots = 40
		from  = 8 * clock.Second
	)
	tests := map[string]struct {
		load
		// speed and throughput are those wanted 1.5 s after from.
		speed, throughput float64
	}{
		"lasting slowdown": {
			load:       newLoad(steady(1).slowed(5, from, runTime, 0)),
			speed:      0.2,
			throughput: slots / 0.1,
		},
		"end of a slowdown": {
			load:       newLoad(steady(1).slowed(2, 0, from, 0)),
			speed:      2,
			throughput: slots / 0.02,
		},
		"slow calls": {
			load:       newLoad(steady(1)).withSlowCalls(from),
			speed:      1,
			throughput: slots / 0.09,
		},
		"standstill": {
			load:       newLoad(steady(1).slowed(math.Inf(1), from, runTime, 0)),
			speed:      1,
			throughput: slots / 15.0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			st := tt.run(New(Config{
				Floor:   2,
				Ceiling: slots,
			}), 0, 1).states[(from+1500)/100-1]
			if math.Abs(st.Speed/tt.speed-1) > 0.15 || math.Abs(st.Throughput/tt.throughput-1) > 0.15 {
				t.Errorf("speed %.2f, throughput %.0f after 1.5 s, want %.2f and %.0f", st.Speed, st.Throughput, tt.speed, tt.throughput)
			}
		})
	}
}

// Guards against a target that moves its limit by what it states of itself, be it
// false or late.
func TestStatementsDoNotMoveTheLimit(t *testing.T) {
	tests := map[string]func(now clock.Milli, l *Learner){
		"always waiting": func(now clock.Milli, l *Learner) {
			l.Hint(now, Statement{
				Running:  40,
				Waiting:  40,
				Slots:    1,
				Slowness: 100_000,
			})
		},
		"negative": func(now clock.Milli, l *Learner) {
			l.Hint(now, Statement{
				Waiting: -1,
				Slots:   math.MinInt,
			})
		},
		"waiting now and then": func(now clock.Milli, l *Learner) {
			l.Hint(now, Statement{
				Waiting: int(now / 300 % 2),
			})
		},
		"a second late": func(now clock.Milli, l *Learner) {
			l.Hint(now-clock.Second, Statement{
				Waiting: 40,
			})
		},
	}
	for name, hint := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ld := newLoad(steady(1))
			most := ld.run(nil, 40, 1).done
			ld.hint = hint
			res := ld.run(New(Config{
				Ceiling: 40,
			}), 0, 1)
			if _, low, _ := movesOf(res.states); low < 40 || res.done < most*95/100 {
				t.Errorf("limit down to %d, %d of %d completions", low, res.done, most)
			}
		})
	}
}

// Guards against work for each request that the garbage collector has to clean up.
func TestRequestsAllocateNothing(t *testing.T) {
	l := New(Config{
		Ceiling: 40,
	})
	now := clock.Second
	if n := testing.AllocsPerRun(10_000, func() { now = oneRequest(l, now) }); n > 0 {
		t.Errorf("%v allocations per request, want none", n)
	}
}

func oneRequest(l *Learner, now clock.Milli) clock.Milli {
	t := l.Start(now)
	l.Wait(now)
	l.Tick(now)
	l.Finish(now+7, t, Outcome{
		Path:    "p",
		Took:    7,
		InCalls: 2,
	})
	return now + 1
}

func BenchmarkRequest(b *testing.B) {
	l := New(Config{
		Ceiling: 40,
	})
	b.ReportAllocs()
	now := clock.Second
	for b.Loop() {
		now = oneRequest(l, now)
	}
}
