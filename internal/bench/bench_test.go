package bench_test

import (
	"testing"

	"siskinswitch.example/siskin/internal/bench"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Targets of the project.
const (
	leastOptimum  = 0.9
	leastVital    = 0.99
	mostRecovery  = 2 * clock.Second
	mostAttempts  = 1.1
	mostLongRatio = 1.3
	mostSlowRatio = 1.5
)

func plants() map[string]bench.Deployment {
	return map[string]bench.Deployment{
		"xaalis": bench.Xaalis(),
		"armor":  bench.Armor(),
	}
}

// scenes returns the scenes in which more is asked than can be served.
func scenes() map[string]bench.Scenario {
	all := make(map[string]bench.Scenario)
	for name, plant := range plants() {
		all[name+"/2x"] = bench.Overload(plant, 200)
		all[name+"/4x"] = bench.Overload(plant, 400)
		all[name+"/crest"] = bench.Crest(plant)
		all[name+"/oneside"] = bench.OneRegionSlow(plant)
	}
	for name, plant := range plants() {
		all[name+"/twice"] = bench.Overload(bench.WithTwoDeepCalls(plant), 400)
	}
	all["armor/80 targets"] = bench.Overload(bench.Scaled(bench.Armor(), 5), 400)
	return all
}

func TestOverload(t *testing.T) {
	for name, scene := range scenes() {
		t.Run(name, func(t *testing.T) {
			r := bench.Run(scene, bench.Siskin())
			if got := r.OptimumShare(); got < leastOptimum {
				t.Errorf("goodput is %.3f of the optimum, want %.2f", got, leastOptimum)
			}
			if got := r.SuccessRate(rules.Vital); got < leastVital {
				t.Errorf("%.4f of vital requests are whole, want %.2f", got, leastVital)
			}
			if got := r.Recovery(); got > mostRecovery {
				t.Errorf("recovery took %d ms, want %d", got, mostRecovery)
			}
			if got := r.Amplification(); got > mostAttempts {
				t.Errorf("%.3f attempts per call, want %.1f", got, mostAttempts)
			}
			if gates, hops := r.Violations(); gates+hops > 0 {
				t.Errorf("refused before less important ones: %d at gates, %d at senders", gates, hops)
			}
		})
	}
}

// TestChecksCanFail runs systems that must miss the targets.
func TestChecksCanFail(t *testing.T) {
	scene := bench.Overload(bench.Armor(), 400)
	blind := bench.Siskin()
	blind.IgnoreImportance = true
	r := bench.Run(scene, blind)
	if gates, hops := r.Violations(); gates == 0 || hops == 0 || r.SuccessRate(rules.Vital) >= leastVital {
		t.Errorf("a system blind to importance passes: %d and %d violations, %.4f vital whole",
			gates, hops, r.SuccessRate(rules.Vital))
	}
	systems := bench.Systems()
	r = bench.Run(scene, systems[len(systems)-1])
	if r.OptimumShare() >= leastOptimum || r.Recovery() <= mostRecovery {
		t.Errorf("no control passes: %.3f of the optimum, recovery %d ms", r.OptimumShare(), r.Recovery())
	}
	plant := bench.Armor()
	lane := bench.SingleLane()
	without := bench.Run(bench.LongWork(plant, 0), lane)
	with := bench.Run(bench.LongWork(plant, bench.FullCount(plant)), lane)
	if ratio := with.Latency(99) / without.Latency(99); ratio <= mostLongRatio {
		t.Errorf("one lane passes: p99 beside long work is %.2f times that without", ratio)
	}
}

// TestRepeat checks that a scene and its seed give the same result again, and
// another seed another one.
func TestRepeat(t *testing.T) {
	figures := func(seed uint64) [4]float64 {
		scene := bench.Overload(bench.Armor(), 400)
		scene.Seed = seed
		r := bench.Run(scene, bench.Siskin())
		return [...]float64{r.Goodput(), r.Latency(50), r.Amplification(), r.WastedShare()}
	}
	first := figures(1)
	if again := figures(1); again != first {
		t.Errorf("the same seed gave %v and %v", first, again)
	}
	if other := figures(2); other == first {
		t.Errorf("another seed gave the same %v", first)
	}
}

// TestLongWork compares the latency of short work with and without long work.
func TestLongWork(t *testing.T) {
	for name, plant := range plants() {
		t.Run(name, func(t *testing.T) {
			without := bench.Run(bench.LongWork(plant, 0), bench.Siskin())
			with := bench.Run(bench.LongWork(plant, bench.FullCount(plant)), bench.Siskin())
			if ratio := with.Latency(99) / without.Latency(99); ratio > mostLongRatio {
				t.Errorf("p99 of short work is %.2f times that without long work, want %.1f", ratio, mostLongRatio)
			}
		})
	}
}

// TestStragglers compares latency with and without two slow targets.
func TestStragglers(t *testing.T) {
	for name, plant := range plants() {
		t.Run(name, func(t *testing.T) {
			without := bench.Run(bench.Stragglers(plant, 0), bench.Siskin())
			with := bench.Run(bench.Stragglers(plant, 2), bench.Siskin())
			if ratio := with.Latency(99) / without.Latency(99); ratio > mostSlowRatio {
				t.Errorf("p99 is %.2f times that without stragglers, want %.1f", ratio, mostSlowRatio)
			}
		})
	}
}

// TestTable prints all systems side by side; run it with -v.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints only with -v")
	}
	if err := bench.Table(t.Output(), bench.Systems()); err != nil {
		t.Fatal(err)
	}
}

func BenchmarkOverload(b *testing.B) {
	for name, plant := range plants() {
		for _, system := range bench.Systems() {
			b.Run(name+"/"+system.Name, func(b *testing.B) {
				for range b.N {
					r := bench.Run(bench.Overload(plant, 400), system)
					b.ReportMetric(r.OptimumShare(), "optimum")
					b.ReportMetric(r.SuccessRate(rules.Vital), "vital")
					b.ReportMetric(float64(r.Recovery()), "recovery-ms")
					b.ReportMetric(r.Amplification(), "attempts/call")
				}
			})
		}
	}
}
