package bench_test

import (
	"testing"

	"siskinswitch.example/siskin/internal/bench"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Goals for the complete system.
const (
	minOptimumShare   = 0.9
	minVitalRate      = 0.99
	maxRecovery       = 2 * clock.Second
	maxAmplification  = 1.1
	maxLongWorkRatio  = 1.3
	maxStragglerRatio = 1.5
)

func deployments() map[string]bench.Deployment {
	return map[string]bench.Deployment{
		"xaalis": bench.Xaalis(),
		"armor":  bench.Armor(),
	}
}

// overloadScenarios returns scenarios whose demand exceeds the capacity.
func overloadScenarios() map[string]bench.Scenario {
	all := make(map[string]bench.Scenario)
	for name, deployment := range deployments() {
		all[name+"/2x"] = bench.Overload(deployment, 200)
		all[name+"/4x"] = bench.Overload(deployment, 400)
		all[name+"/crest"] = bench.Crest(deployment)
		all[name+"/oneside"] = bench.OneRegionSlow(deployment)
	}
	for name, deployment := range deployments() {
		all[name+"/twice"] = bench.Overload(bench.WithTwoDeepCalls(deployment), 400)
	}
	all["armor/80 targets"] = bench.Overload(bench.Scaled(bench.Armor(), 5), 400)
	return all
}

func TestOverload(t *testing.T) { checkOverload(t, overloadScenarios()) }

// TestOverloadWithOneDecision guards against a decision at the entry that costs more
// than it saves where entries know enough without it.
func TestOverloadWithOneDecision(t *testing.T) {
	scenarios := overloadScenarios()
	for name, scenario := range scenarios {
		scenario.Deployment.Learns = true
		scenarios[name] = scenario
	}
	checkOverload(t, scenarios)
}

// checkOverload checks the goals in scenarios.
func checkOverload(t *testing.T, scenarios map[string]bench.Scenario) {
	t.Helper()
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			r := bench.Run(scenario, bench.Siskin())
			if got := r.OptimumShare(); got < minOptimumShare {
				t.Errorf("goodput is %.3f of the optimum, want %.2f", got, minOptimumShare)
			}
			if got := r.SuccessRate(rules.Vital); got < minVitalRate {
				t.Errorf("%.4f of vital requests succeeded, want %.2f", got, minVitalRate)
			}
			if got := r.Recovery(); got > maxRecovery {
				t.Errorf("recovery took %d ms, want %d", got, maxRecovery)
			}
			if got := r.Amplification(); got > maxAmplification {
				t.Errorf("%.3f attempts per call, want %.1f", got, maxAmplification)
			}
			if gates, hops := r.Violations(); gates+hops > 0 {
				t.Errorf("refused before less important ones: %d at gates, %d at senders", gates, hops)
			}
		})
	}
}

// TestSparseEntriesAdmitWhatBecomesWhole answers the pattern of a fleet of many
// daemons, of which each sees few requests: what the deepest service can't do is
// let in and fails four hops deep, because what an entry knows of deep services
// is old or thin. Most of what is let in must become whole.
func TestSparseEntriesAdmitWhatBecomesWhole(t *testing.T) {
	tests := map[string]struct {
		scenario bench.Scenario
		minWhole float64
	}{
		"shortage": {
			scenario: bench.DeepShortage(bench.SparseEntries()),
			minWhole: 0.5,
		},
		// With three repeats for a request, four calls that are rejected with
		// probability 0.55 all succeed in 39 of 100 requests, eight in 6.
		"rejections": {
			scenario: bench.DeepRejects(bench.SparseEntries()),
			minWhole: 0.2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := bench.Run(tt.scenario, bench.Siskin())
			t.Logf("whole %.3f of admitted, vital %.3f, normal %.3f, goodput %.0f/s, wasted %.2f of the slot time",
				r.WholeShare(), r.SuccessRate(rules.Vital), r.SuccessRate(rules.Normal), r.Goodput(), r.WastedShare())
			if got := r.WholeShare(); got < tt.minWhole {
				t.Errorf("%.3f of the admitted attempts became whole, want %.2f", got, tt.minWhole)
			}
		})
	}
}

// TestEightCallsBecomeWhole answers the pattern of a chain that needs eight calls of a
// service at 0.6 of the demand: a request that fails at its sixth call wastes five.
func TestEightCallsBecomeWhole(t *testing.T) {
	r := bench.Run(bench.DeepAt(bench.EightCalls(), 0.6), bench.Siskin())
	t.Logf("whole %.3f of admitted, vital %.3f, normal %.3f, goodput %.0f/s, wasted %.2f of the slot time",
		r.WholeShare(), r.SuccessRate(rules.Vital), r.SuccessRate(rules.Normal), r.Goodput(), r.WastedShare())
	if got := r.WholeShare(); got < 0.5 {
		t.Errorf("%.3f of the admitted attempts became whole, want 0.50", got)
	}
	if got := r.SuccessRate(rules.Vital); got < 0.95 {
		t.Errorf("%.3f of vital requests succeeded, want 0.95", got)
	}
}

// TestChecksCanFail runs systems that must miss the goals, which shows that the
// other tests can fail.
func TestChecksCanFail(t *testing.T) {
	scenario := bench.Overload(bench.Armor(), 400)
	noImportance := bench.Siskin()
	noImportance.IgnoreImportance = true
	r := bench.Run(scenario, noImportance)
	if gates, hops := r.Violations(); gates == 0 || hops == 0 || r.SuccessRate(rules.Vital) >= minVitalRate {
		t.Errorf("a system that ignores importance passes: %d and %d violations, %.4f of vital requests succeeded",
			gates, hops, r.SuccessRate(rules.Vital))
	}
	systems := bench.Systems()
	r = bench.Run(scenario, systems[len(systems)-1])
	if r.OptimumShare() >= minOptimumShare || r.Recovery() <= maxRecovery {
		t.Errorf("no control passes: %.3f of the optimum, recovery %d ms", r.OptimumShare(), r.Recovery())
	}
	deployment := bench.Armor()
	singleLane := bench.SingleLane()
	without := bench.Run(bench.LongWork(deployment, 0), singleLane)
	with := bench.Run(bench.LongWork(deployment, bench.FullCount(deployment)), singleLane)
	if ratio := with.Latency(99) / without.Latency(99); ratio <= maxLongWorkRatio {
		t.Errorf("a single lane passes: p99 with long work is %.2f times that without", ratio)
	}
}

// TestRepeat checks that the result is reproducible: the same scenario and seed
// give the same result, and another seed gives a different one.
func TestRepeat(t *testing.T) {
	figures := func(seed uint64) [4]float64 {
		scenario := bench.Overload(bench.Armor(), 400)
		scenario.Seed = seed
		r := bench.Run(scenario, bench.Siskin())
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

// TestLongWork compares the latency of short requests with and without long
// requests.
func TestLongWork(t *testing.T) {
	for name, deployment := range deployments() {
		t.Run(name, func(t *testing.T) {
			without := bench.Run(bench.LongWork(deployment, 0), bench.Siskin())
			with := bench.Run(bench.LongWork(deployment, bench.FullCount(deployment)), bench.Siskin())
			if ratio := with.Latency(99) / without.Latency(99); ratio > maxLongWorkRatio {
				t.Errorf("p99 of short work is %.2f times that without long work, want %.1f", ratio, maxLongWorkRatio)
			}
		})
	}
}

// TestStragglers compares the latency with and without two slow targets.
func TestStragglers(t *testing.T) {
	for name, deployment := range deployments() {
		t.Run(name, func(t *testing.T) {
			without := bench.Run(bench.Stragglers(deployment, 0), bench.Siskin())
			with := bench.Run(bench.Stragglers(deployment, 2), bench.Siskin())
			if ratio := with.Latency(99) / without.Latency(99); ratio > maxStragglerRatio {
				t.Errorf("p99 is %.2f times that without stragglers, want %.1f", ratio, maxStragglerRatio)
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
	for name, deployment := range deployments() {
		for _, system := range bench.Systems() {
			b.Run(name+"/"+system.Name, func(b *testing.B) {
				for range b.N {
					r := bench.Run(bench.Overload(deployment, 400), system)
					b.ReportMetric(r.OptimumShare(), "optimum")
					b.ReportMetric(r.SuccessRate(rules.Vital), "vital")
					b.ReportMetric(float64(r.Recovery()), "recovery-ms")
					b.ReportMetric(r.Amplification(), "attempts/call")
				}
			})
		}
	}
}
