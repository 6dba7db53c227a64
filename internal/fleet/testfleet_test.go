package fleet

import (
	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

var sizes = []int{20, 60, 120, 240, 780}

// trial is a started fleet with what its agents reported.
type trial struct {
	*Fleet
	start clock.Milli
	// falseDead counts the beliefs that a running host is dead.
	falseDead int
	// suspected counts the suspicions that any host heard of.
	suspected int
	// marked holds how many hosts learned of a leaving one, and when.
	marked []clock.Milli
}

func newTrial(n int, loss float64, size int) *trial {
	t := &trial{}
	t.Fleet = New(Config{
		Centres: FiveCentres(n),
		Seed:    7,
		Loss:    loss,
		Size:    size,
		OnEvent: func(_ int, e agent.Event) {
			switch {
			case e.Kind == agent.MemberChanged && e.State == member.Suspect:
				t.suspected++
			case e.Kind == agent.MemberChanged && e.State == member.Dead && t.Hosts[t.Index(e.Host)].Up:
				t.falseDead++
			case e.Kind == agent.HostLeaving:
				t.marked = append(t.marked, t.Net.Now())
			}
		},
	})
	t.StartAll()
	t.Run(20 * clock.Second)
	return t
}

// reset forgets what was counted while the fleet started.
func (t *trial) reset() {
	t.Net.Reset()
	clear(t.Source.Reads)
	t.start = t.Net.Now()
	t.falseDead = 0
	t.suspected = 0
}

// perHost returns the mean and the largest of the bytes per second that a host
// sent and received since the reset.
func (t *trial) perHost() (mean, top float64) {
	seconds := float64(t.Net.Now()-t.start) / float64(clock.Second)
	for i := range t.Hosts {
		rate := float64(t.Net.Sent[i]+t.Net.Received[i]) / seconds
		mean += rate / float64(len(t.Hosts))
		top = max(top, rate)
	}
	return mean, top
}

func (t *trial) reads() (mean float64, top int) {
	total := 0
	for _, n := range t.Source.Reads {
		total += n
		top = max(top, n)
	}
	return float64(total) * float64(clock.Second) / float64(t.Net.Now()-t.start), top
}

// adoption returns when each host had a value that was just published in
// force, in order.
func (t *trial) adoption(m spread.Meta) []clock.Milli {
	start := t.Net.Now()
	done := make([]bool, len(t.Hosts))
	var times []clock.Milli
	t.RunUntil(30*clock.Second, func() bool {
		for i, h := range t.Hosts {
			if !done[i] && h.Up && h.Agent.Current().Version >= m.Version {
				done[i] = true
				times = append(times, t.Net.Now()-start)
			}
		}
		return len(times) == t.Count(func(*agent.Agent) bool { return true })
	})
	return times
}

func quantile(sorted []clock.Milli, percent int) float64 {
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

func (t *trial) knowsAll(a *agent.Agent) bool {
	for _, m := range a.Snapshot(t.Net.Now()).Members {
		if m.State != member.Alive {
			return false
		}
	}
	return true
}
