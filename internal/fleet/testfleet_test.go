package fleet

import (
	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// sizes are the numbers of hosts that the benchmarks simulate.
var sizes = []int{20, 60, 120, 240, 780}

// testFleet is a running fleet that counts the events of its agents.
type testFleet struct {
	*Fleet
	start clock.Milli
	// falseDead counts the events that declare a running host dead.
	falseDead int
	// suspicions counts the events that declare a host suspect.
	suspicions int
	// leaveTimes holds the times at which hosts learned that a host is leaving.
	leaveTimes []clock.Milli
}

// newTestFleet starts n hosts and runs them for 20 s, so that start-up is over.
func newTestFleet(n int, loss float64, size int) *testFleet {
	f := &testFleet{}
	f.Fleet = New(Config{
		Centres: FiveCentres(n),
		Seed:    7,
		Loss:    loss,
		Size:    size,
		OnEvent: func(_ int, e agent.Event) {
			switch {
			case e.Kind == agent.MemberChanged && e.State == member.Suspect:
				f.suspicions++
			case e.Kind == agent.MemberChanged && e.State == member.Dead && f.Hosts[f.Index(e.Host)].Up:
				f.falseDead++
			case e.Kind == agent.HostLeaving:
				f.leaveTimes = append(f.leaveTimes, f.Net.Now())
			}
		},
	})
	f.StartAll()
	f.Run(20 * clock.Second)
	return f
}

// resetCounts clears the counters of the network, the source and the events. It
// keeps leaveTimes.
func (f *testFleet) resetCounts() {
	f.Net.Reset()
	clear(f.Source.Reads)
	f.start = f.Net.Now()
	f.falseDead = 0
	f.suspicions = 0
}

// perHost returns the bytes per second that hosts sent and received since the
// last reset: the mean over all hosts and the largest of any host.
func (f *testFleet) perHost() (mean, top float64) {
	seconds := float64(f.Net.Now()-f.start) / float64(clock.Second)
	for i := range f.Hosts {
		rate := float64(f.Net.Sent[i]+f.Net.Received[i]) / seconds
		mean += rate / float64(len(f.Hosts))
		top = max(top, rate)
	}
	return mean, top
}

// readRates returns the reads from the configuration service since the last
// reset: the mean per second and the number in the busiest second.
func (f *testFleet) readRates() (mean float64, top int) {
	total := 0
	for _, n := range f.Source.Reads {
		total += n
		top = max(top, n)
	}
	return float64(total) * float64(clock.Second) / float64(f.Net.Now()-f.start), top
}

// adoptionTimes runs the fleet until all running hosts have a value that was
// just published in force, for at most 30 s. It returns the time that each host
// took, in ascending order, without the hosts that did not get the value.
func (f *testFleet) adoptionTimes(m spread.Meta) []clock.Milli {
	start := f.Net.Now()
	done := make([]bool, len(f.Hosts))
	var times []clock.Milli
	f.RunUntil(30*clock.Second, func() bool {
		for i, h := range f.Hosts {
			if !done[i] && h.Up && h.Agent.Current().Version >= m.Version {
				done[i] = true
				times = append(times, f.Net.Now()-start)
			}
		}
		return len(times) == f.Count(func(*agent.Agent) bool { return true })
	})
	return times
}

// percentile returns a percentile of sorted times, or -1 if there are none.
func percentile(sorted []clock.Milli, percent int) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return float64(sorted[(len(sorted)-1)*percent/100])
}

func sum(list []int64) int64 {
	total := int64(0)
	for _, n := range list {
		total += n
	}
	return total
}

// seesAllAlive reports whether an agent holds every member to be alive.
func (f *testFleet) seesAllAlive(a *agent.Agent) bool {
	for _, m := range a.Snapshot(f.Net.Now()).Members {
		if m.State != member.Alive {
			return false
		}
	}
	return true
}
