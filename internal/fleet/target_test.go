package fleet

import (
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestTargets checks a fleet of 780 hosts against the limits that are documented
// for that size: reads, bandwidth, false failure detection, and the spread of
// values and leaving marks.
func TestTargets(t *testing.T) {
	t.Parallel()
	const hosts = 780
	f := newTestFleet(hosts, 0.01, 4096)
	if _, top := f.readRates(); top >= 2000 {
		t.Errorf("%d reads in the busiest second of the start", top)
	}
	f.resetCounts()
	f.Run(30 * clock.Second)
	if mean, top := f.perHost(); top > 10_000 {
		t.Errorf("%.0f B/s per host on average, %.0f for the busiest", mean, top)
	}
	if reads, top := f.readRates(); top >= 200 {
		t.Errorf("%.1f reads/s without faults, %d in the busiest second", reads, top)
	}
	if f.falseDead > 0 {
		t.Errorf("%d reports that a running host is dead", f.falseDead)
	}

	f.Source.Reachable = func(i int) bool { return f.Hosts[i].Agent.Snapshot(f.Net.Now()).Reader && i < hosts/5 }
	m := f.Source.Publish(4096)
	start := f.Net.Now()
	f.expect(t, 5*clock.Second, "a reader has the value", func() bool {
		return f.Count(func(a *agent.Agent) bool { return a.Current().Version == m.Version }) > 0
	})
	f.Source.Reachable = func(int) bool { return false }
	f.expect(t, 5*clock.Second-(f.Net.Now()-start), "the value is in force everywhere", f.allHave(m.Version))

	f.leaveTimes = nil
	left := f.Net.Now()
	f.Hosts[0].Agent.Leave(left)
	f.Run(2 * clock.Second)
	if got := len(f.leaveTimes); got*100 < hosts*99 {
		t.Errorf("%d of %d hosts know of a leaving host after 2 s", got, hosts)
	}
}

// TestReadsGrowSlowly checks that reads from the configuration service grow more
// slowly than the number of hosts, with the service up and down.
func TestReadsGrowSlowly(t *testing.T) {
	tests := map[string]struct {
		down bool
	}{
		"calm": {},
		"service down": {
			down: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rates := make([]float64, 0, 2)
			for _, hosts := range []int{60, 240} {
				f := newTestFleet(hosts, 0, 1024)
				if tt.down {
					f.Source.Reachable = func(int) bool { return false }
					f.Run(3 * clock.Minute)
				}
				f.resetCounts()
				f.Run(2 * clock.Minute)
				mean, _ := f.readRates()
				rates = append(rates, mean)
			}
			if rates[1] > 2*rates[0] {
				t.Errorf("reads/s went from %.1f to %.1f with four times the hosts", rates[0], rates[1])
			}
		})
	}
}

// TestStartWithoutService starts all hosts while the configuration service is
// down, as after a power failure. Their retries must not overload the service,
// and all must have the value soon after it is up.
func TestStartWithoutService(t *testing.T) {
	t.Parallel()
	f := &testFleet{
		Fleet: New(Config{
			Centres: FiveCentres(780),
			Seed:    7,
			Size:    1024,
		}),
	}
	f.Source.Reachable = func(int) bool { return false }
	f.StartAll()
	f.Run(10 * clock.Second)
	if _, top := f.readRates(); top >= 2000 {
		t.Errorf("%d reads in the busiest second", top)
	}
	if f.Count(func(a *agent.Agent) bool { return a.IsReady() }) > 0 {
		t.Error("a daemon is ready without a configuration")
	}
	f.Source.Reachable = nil
	f.expect(t, 5*clock.Second, "the value is in force everywhere", f.allHave(1))
}

// TestRunsRepeat checks that two runs with the same seed are identical.
// Otherwise measurements could not be compared.
func TestRunsRepeat(t *testing.T) {
	run := func() (messages, bytes int64) {
		f := newTestFleet(60, 0.1, 1024)
		f.Stop(3)
		f.Source.Publish(1024)
		f.Run(20 * clock.Second)
		return f.Net.Messages, sum(f.Net.Sent)
	}
	messages, bytes := run()
	if m, b := run(); m != messages || b != bytes {
		t.Errorf("first run: %d messages, %d bytes; second run: %d messages, %d bytes", messages, bytes, m, b)
	}
}
