package room

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	testService = uint32(1)
	testWall    = clock.Minute
	testPath    = "quote"
)

func loadOf(target uint32, seq int64, demand float64) Load {
	return Load{
		Service:     testService,
		Target:      target,
		Incarnation: 1,
		Seq:         seq,
		Capacity:    10,
		Demand:      demand,
	}
}

// askFor makes a room decide on requests of a route that needs the service, one in each
// millisecond, and returns the share that is let in.
func askFor(r *Room, from, to clock.Milli) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	letIn := 0
	for now := from; now < to; now++ {
		if _, ok := r.Decide(now, testPath, 2, rules.Normal, random.Uint64()); ok {
			letIn++
		}
	}
	return float64(letIn) / float64(to-from)
}

// newBusyRoom returns a room that has decided on requests for a second.
func newBusyRoom() *Room {
	r := New(Config{
		Incarnation: 1,
	})
	r.LearnNeed(1, testPath, Need{
		Service: testService,
		Calls:   8,
	})
	askFor(r, 1, 1000)
	return r
}

// Guards against an entry that lets in more than a service can do, or less.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		loads    []Load
		min, max float64
	}{
		"no statement": {
			min: 1,
			max: 1,
		},
		"twice the capacity": {
			loads: []Load{loadOf(1, 1, 20)},
			min:   0.25,
			max:   0.55,
		},
		"one target of two at three times, the other idle": {
			loads: []Load{loadOf(1, 1, 30), loadOf(2, 1, 2)},
			min:   0.45,
			max:   0.65,
		},
		"half of the capacity": {
			loads: []Load{loadOf(1, 1, 5)},
			min:   1,
			max:   1,
		},
		"a service that the route does not need": {
			loads: []Load{
				{
					Service:     3,
					Target:      1,
					Incarnation: 1,
					Capacity:    1,
					Demand:      100,
				},
			},
			min: 1,
			max: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newBusyRoom()
			for _, l := range tt.loads {
				r.Merge(1000, testWall, l)
			}
			// The entry asks once for the average to begin with what it sees.
			askFor(r, 1000, 1100)
			if got := askFor(r, 1100, 1200); got < tt.min || got > tt.max {
				t.Errorf("%.2f is let in, want %.2f to %.2f", got, tt.min, tt.max)
			}
		})
	}
}

// Guards against statements that are late, repeated, held by a paused daemon or wrong,
// and change what is newer or is right.
func TestMerge(t *testing.T) {
	known := loadOf(1, 5, 20)
	tests := map[Result]map[string]func(l *Load){
		Adopted: {
			"newer": func(l *Load) { l.Seq++ },
			"newer incarnation with a lower sequence": func(l *Load) { l.Incarnation, l.Seq = 2, 0 },
			"another target": func(l *Load) { l.Target = 2 },
		},
		Known: {
			"repeated":                  func(*Load) {},
			"repeated with another age": func(l *Load) { l.Age = 1 },
			"older":                     func(l *Load) { l.Seq = 4 },
		},
		Invalid: {
			"no incarnation":           func(l *Load) { l.Incarnation, l.Seq = 0, 9 },
			"held for too long":        func(l *Load) { l.Seq, l.Age = 6, clock.Second },
			"negative age":             func(l *Load) { l.Seq, l.Age = 6, -1 },
			"from the future":          func(l *Load) { l.Incarnation = 3600 },
			"sequence out of range":    func(l *Load) { l.Seq = MaxSeq + 1 },
			"no capacity":              func(l *Load) { l.Seq, l.Capacity = 6, 0 },
			"demand that is no number": func(l *Load) { l.Seq, l.Demand = 6, math.NaN() },
			"endless demand":           func(l *Load) { l.Seq, l.Demand = 6, math.Inf(1) },
		},
	}
	for want, changes := range tests {
		for name, change := range changes {
			r := New(Config{
				Incarnation: 1,
			})
			r.Merge(1, testWall, known)
			l := known
			change(&l)
			if got := r.Merge(2, testWall, l); got != want {
				t.Errorf("%s: result %d, want %d", name, got, want)
			}
			kept := r.entries[entryKey{
				service: testService,
				target:  1,
			}]
			if want != Adopted && (kept.load != known || len(r.entries) != 1) {
				t.Errorf("%s: %+v is kept of %d", name, kept.load, len(r.entries))
			}
		}
	}
}

// Guards against statements without end that cost memory without end, and against a
// statement that is taken for new after it has expired.
func TestMergeIsBounded(t *testing.T) {
	r := New(Config{
		Incarnation: 1,
	})
	full := 0
	for i := range uint32(3 * maxTargets) {
		l := loadOf(i, 1, 20)
		l.Service = i
		if r.Merge(1, testWall, l) == Full {
			full++
		}
	}
	if full != 2*maxTargets || len(r.entries) > maxTargets || len(r.services) > maxTargets {
		t.Errorf("%d refused, %d targets, %d services", full, len(r.entries), len(r.services))
	}
	l := loadOf(1, 1, 20)
	l.Service = 1
	if got := r.Merge(1+10*clock.Second, testWall, l); got != Known {
		t.Errorf("an expired statement: result %d", got)
	}
	for i := range 3 * maxRoutes {
		r.Decide(1, fmt.Sprint("route", i), 1, rules.Normal, 0)
	}
	if len(r.routes) > maxRoutes || len(r.routeList) > maxRoutes {
		t.Errorf("%d routes", len(r.routes))
	}
}

// Guards against requests that are refused because of a statement for longer than a
// second, however it came about.
func TestStatementsExpire(t *testing.T) {
	tests := map[string]func(r *Room){
		"lost": func(*Room) {},
		"repeated without end": func(r *Room) {
			for now := clock.Milli(1000); now < 2000; now++ {
				r.Merge(now, testWall, loadOf(1, 1, 1000))
			}
		},
		"passed on by a daemon that held it": func(r *Room) {
			l := loadOf(1, 2, 1000)
			l.Age = 900
			r.Merge(1900, testWall, l)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			r := newBusyRoom()
			r.Merge(1000, testWall, loadOf(1, 1, 1000))
			if got := askFor(r, 1001, 1400); got > 0.5 {
				t.Fatalf("%.2f is let in while the service is overloaded", got)
			}
			disturb(r)
			if got := askFor(r, 2001, 2400); got < 1 {
				t.Errorf("%.2f is let in after a second", got)
			}
		})
	}
}

// Guards against bytes that are sent while nothing is overloaded, or without bound.
func TestPending(t *testing.T) {
	r := New(Config{
		Incarnation: 1,
	})
	state := func(now clock.Milli) {
		r.State(now, Own{
			Service:  testService,
			Target:   1,
			Capacity: 10,
		})
	}
	for now := clock.Milli(1); now < 2000; now++ {
		r.Arrive(now, 5)
		state(now)
		if got := r.Pending(now, nil); len(got) > 0 || r.IsActive(now) || len(r.Flows(now, nil)) > 0 {
			t.Fatalf("at half of the capacity %+v is sent", got)
		}
	}
	own, messages := 0, 0
	for now := clock.Milli(2000); now < 4000; now++ {
		r.Arrive(now, 20)
		state(now)
		for i := range uint32(100) {
			r.Merge(now, testWall, loadOf(2+i, int64(now), 20))
		}
		got := r.Pending(now, nil)
		if len(got) > MaxLoads {
			t.Fatalf("%d statements in a message", len(got))
		}
		if len(got) > 0 {
			messages++
		}
		for _, l := range got {
			if l.Target == 1 {
				own++
			}
		}
	}
	if messages == 0 || messages > 2000/int(sendInterval)+1 || own == 0 {
		t.Errorf("%d messages, %d with the own target", messages, own)
	}
}

// Guards against flows of other daemons that are out of range.
func TestMergeFlow(t *testing.T) {
	r := newBusyRoom()
	r.Merge(1000, testWall, loadOf(1, 1, 20))
	for _, v := range []float64{math.NaN(), -1, math.Inf(1)} {
		f := Flow{
			Service: testService,
			LetIn:   v,
		}
		if got := r.MergeFlow(1000, f); got != Invalid {
			t.Errorf("%f let in: result %d", v, got)
		}
		f.LetIn, f.Offered[0] = 0, v
		if got := r.MergeFlow(1000, f); got != Invalid {
			t.Errorf("%f offered: result %d", v, got)
		}
	}
	f := Flow{
		Service: 77,
	}
	if got := r.MergeFlow(1000, f); got != Known {
		t.Errorf("a service that nobody states: result %d", got)
	}
}

// benchDecide decides on 200 requests a second, while a number of daemons state that
// they are overloaded, ten times a second.
func benchDecide(daemons, routes int) func(*testing.B) {
	return func(b *testing.B) {
		r := New(Config{
			Incarnation: 1,
		})
		paths := make([]string, routes)
		for i := range paths {
			paths[i] = fmt.Sprint("route", i)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now := clock.Milli(1 + i*5)
			if i%20 == 0 {
				b.StopTimer()
				for d := range uint32(daemons) {
					r.Merge(now, testWall, loadOf(d, int64(i/20+1), 20))
				}
				for _, path := range paths {
					r.LearnNeed(now, path, Need{
						Service: testService,
						Calls:   8,
					})
				}
				b.StartTimer()
			}
			r.Decide(now, paths[i%routes], 2, rules.Normal, uint64(i)<<40)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	b.Run("66 daemons", benchDecide(66, 30))
	b.Run("780 daemons", benchDecide(780, 30))
}

// Guards against a decision whose cost grows faster than the number of daemons, and
// against allocation on the request path.
func TestDecideCost(t *testing.T) {
	r := newBusyRoom()
	for d := range uint32(780) {
		r.Merge(1000, testWall, loadOf(d, 1, 20))
	}
	loads := make([]Load, 0, MaxLoads)
	now := clock.Milli(1000)
	if allocs := testing.AllocsPerRun(90, func() {
		now += 5
		r.Decide(now, testPath, 2, rules.Normal, uint64(now)<<50)
		loads = r.Pending(now, loads[:0])
	}); allocs > 0 {
		t.Errorf("%.2f allocations", allocs)
	}
	small, large := costOf(66), costOf(780)
	if ratio := float64(large) / float64(max(small, 1)); ratio > 780/66 {
		t.Errorf("with 780 daemons a decision takes %.1f times as long as with 66", ratio)
	}
}

// costOf returns the least time of several series of decisions.
func costOf(daemons int) time.Duration {
	r := newBusyRoom()
	least := time.Hour
	now := clock.Milli(1000)
	for series := range int64(20) {
		r.LearnNeed(now, testPath, Need{
			Service: testService,
			Calls:   8,
		})
		for d := range uint32(daemons) {
			r.Merge(now, testWall, loadOf(d, series+1, 20))
		}
		begin := time.Now()
		for range 100 {
			now += 5
			r.Decide(now, testPath, 2, rules.Normal, uint64(now)<<50)
		}
		least = min(least, time.Since(begin))
	}
	return least
}
