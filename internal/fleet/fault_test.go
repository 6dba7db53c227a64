package fleet

import (
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// countState returns the number of running hosts whose view holds a host to be
// in state s.
func (f *testFleet) countState(host int, s member.State) int {
	return f.Count(func(a *agent.Agent) bool { return a.State(f.Hosts[host].Peer.Host) == s })
}

// expect runs the fleet until done returns true and fails the test if that takes
// longer than limit.
func (f *testFleet) expect(t testing.TB, limit clock.Milli, condition string, done func() bool) {
	t.Helper()
	if _, ok := f.RunUntil(limit, done); !ok {
		t.Fatalf("condition not met within %d ms: %s", limit, condition)
	}
}

// allRunning reports whether is returns true for all running hosts.
func (f *testFleet) allRunning(is func(a *agent.Agent) bool) bool {
	return f.Count(is) == f.Count(func(*agent.Agent) bool { return true })
}

// allHave returns a condition: every running host has the given version or a
// later one in force.
func (f *testFleet) allHave(version uint64) func() bool {
	return func() bool {
		return f.allRunning(func(a *agent.Agent) bool { return a.Current().Version >= version })
	}
}

func (f *testFleet) regionOf(i int) string { return f.Hosts[i].Peer.Region }

// lastHost returns the index of the last host, which is in another region than
// host 0.
func (f *testFleet) lastHost() int { return len(f.Hosts) - 1 }

// TestFaults checks that views and configuration recover from failures of hosts,
// network and configuration service. The time limits are the guaranteed ones:
// 5 s for configuration, 2 s for leaving, and for views the sum of the
// protocol's timeouts.
func TestFaults(t *testing.T) {
	const agreeLimit = 30 * clock.Second
	tests := map[string]struct {
		loss float64
		run  func(t testing.TB, f *testFleet)
	}{
		"a host fails and another process takes its address": {
			loss: 0.01,
			run: func(t testing.TB, f *testFleet) {
				f.Stop(3)
				f.expect(t, agreeLimit, "all hold the host to be dead", func() bool {
					return f.countState(3, member.Dead) == len(f.Hosts)-1
				})
				f.Start(3)
				f.expect(t, agreeLimit, "all hold the new process to be alive", func() bool {
					return f.countState(3, member.Alive) == len(f.Hosts)
				})
			},
		},
		"a process leaves and restarts before any host suspects it": {
			run: func(t testing.TB, f *testFleet) {
				f.Hosts[3].Agent.Leave(f.Net.Now())
				f.Run(2 * clock.Second)
				name := f.Hosts[3].Peer.Host
				if !f.allRunning(func(a *agent.Agent) bool { return a.IsLeaving(name) == agent.MarkedLeaving }) {
					t.Error("not all hosts know that the process is leaving")
				}
				f.Start(3)
				f.expect(t, agreeLimit, "no host holds the new process to be leaving", func() bool {
					return f.Count(func(a *agent.Agent) bool { return a.IsLeaving(name) != 0 }) == 0
				})
			},
		},
		"the clock of the new process is behind": {
			run: func(t testing.TB, f *testFleet) {
				f.Stop(3)
				f.expect(t, agreeLimit, "death", func() bool { return f.countState(3, member.Dead) == len(f.Hosts)-1 })
				f.clockSkew = -clock.Hour
				f.Start(3)
				f.expect(t, agreeLimit, "successor", func() bool { return f.countState(3, member.Alive) == len(f.Hosts) })
			},
		},
		"a rack fails": {
			run: func(t testing.TB, f *testFleet) {
				for i := range 6 {
					f.Stop(i)
				}
				f.expect(t, agreeLimit, "all hold the six hosts to be dead", func() bool {
					known := 0
					for i := range 6 {
						known += f.countState(i, member.Dead)
					}
					return known == 6*(len(f.Hosts)-6)
				})
			},
		},
		"a data centre fails and comes back": {
			run: func(t testing.TB, f *testFleet) {
				centreHosts := len(f.Hosts) / 5
				for i := range centreHosts {
					f.Stop(i)
				}
				name := f.Hosts[0].Peer.Centre
				f.expect(t, agreeLimit, "all hold the data centre to be unreachable", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, name) == centreHosts })
				})
				for i := range centreHosts {
					f.Start(i)
				}
				f.expect(t, agreeLimit, "all reach the data centre again", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, name) == 0 && f.seesAllAlive(a) })
				})
			},
		},
		"the network between the regions fails while a value is published": {
			loss: 0.01,
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(from, to int) bool { return f.regionOf(from) != f.regionOf(to) }
				f.Source.Reachable = func(i int) bool { return f.regionOf(i) == f.regionOf(0) }
				m := f.Source.Publish(4096)
				f.Run(3 * clock.Minute)
				if got := f.Hosts[0].Agent.Current().Version; got != m.Version {
					t.Errorf("the region that reaches the service has version %d, want %d", got, m.Version)
				}
				if !f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") > 0 }) {
					t.Error("not all hosts notice the partition")
				}
				f.Net.Blocked = nil
				f.expect(t, 5*clock.Second, "the value is in force in both regions", f.allHave(m.Version))
				f.expect(t, agreeLimit, "all hosts reach each other again", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") == 0 && f.seesAllAlive(a) })
				})
			},
		},
		"a process pauses and resumes": {
			run: func(t testing.TB, f *testFleet) {
				f.Pause(3)
				m := f.Source.Publish(4096)
				f.Run(30 * clock.Second)
				if got := f.countState(3, member.Dead); got != len(f.Hosts)-1 {
					t.Errorf("%d hosts hold the paused one to be dead, want all others", got)
				}
				f.resetCounts()
				f.Resume(3)
				f.Run(agent.TickInterval)
				if s := f.Hosts[3].Agent.Snapshot(f.Net.Now()); !s.Stale {
					t.Error("the resumed process does not mark its view as stale")
				}
				f.expect(t, 5*clock.Second, "the resumed process is up to date", func() bool {
					s := f.Hosts[3].Agent.Snapshot(f.Net.Now())
					return !s.Stale && s.Value.Version == m.Version
				})
				f.expect(t, agreeLimit, "all hold the resumed process to be alive", func() bool { return f.countState(3, member.Alive) == len(f.Hosts) })
				if f.falseDead > 0 {
					t.Errorf("%d reports that a running host is dead after the pause", f.falseDead)
				}
			},
		},
		"two hosts can't reach each other": {
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(from, to int) bool { return from+to == 3 && from*to == 2 }
				f.Run(clock.Minute)
				if f.suspicions > 0 {
					t.Errorf("%d suspicions although other hosts reach both", f.suspicions)
				}
			},
		},
		"a host receives nothing": {
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(_, to int) bool { return to == 3 }
				f.Run(clock.Minute)
				for i := range f.Hosts {
					if i != 3 && f.Hosts[3].Agent.State(f.Hosts[i].Peer.Host) != member.Alive {
						t.Fatal("the host that receives nothing holds others to be dead or suspect")
					}
				}
			},
		},
		"the service fails after one reader received the value": {
			loss: 0.01,
			run: func(t testing.TB, f *testFleet) {
				f.Source.Reachable = func(i int) bool { return f.Hosts[i].Agent.Snapshot(f.Net.Now()).Reader && i < 12 }
				m := f.Source.Publish(4096)
				f.RunUntil(5*clock.Second, func() bool {
					return f.Count(func(a *agent.Agent) bool { return a.Current().Version == m.Version }) > 0
				})
				f.Source.Reachable = func(int) bool { return false }
				f.expect(t, 5*clock.Second, "the value is in force", f.allHave(m.Version))
			},
		},
		"the service replays an older value": {
			run: func(t testing.TB, f *testFleet) {
				old := f.Source.value
				m := f.Source.Publish(4096)
				f.expect(t, 5*clock.Second, "the value is in force", f.allHave(m.Version))
				f.Source.Set(old)
				f.Stop(3)
				f.Run(clock.Minute)
				f.Start(3)
				f.expect(t, 10*clock.Second, "the new daemon is ready", f.Hosts[3].Agent.IsReady)
				if !f.allHave(m.Version)() {
					t.Error("a daemon went back to the older value")
				}
			},
		},
		"a daemon starts while the service is down": {
			run: func(t testing.TB, f *testFleet) {
				m := f.Source.Publish(4096)
				f.expect(t, 5*clock.Second, "the value is in force", f.allHave(m.Version))
				f.Source.Reachable = func(int) bool { return false }
				f.Start(f.lastHost())
				f.expect(t, 10*clock.Second, "the new daemon is ready with the newest value", func() bool {
					s := f.Hosts[f.lastHost()].Agent.Snapshot(f.Net.Now())
					return s.Ready && s.Value.Version == m.Version
				})
			},
		},
		"a different value appears with the version in force": {
			run: func(t testing.TB, f *testFleet) {
				m := f.Source.Publish(4096)
				f.expect(t, 5*clock.Second, "the value is in force", f.allHave(m.Version))
				forkData, forkMeta := f.Source.NewValue(m.Version, m.Parent, 4096, "fork")
				f.Source.Set(forkData)
				next, _ := f.Source.NewValue(m.Version+1, forkMeta.Digest, 4096, "after the fork")
				f.Run(clock.Minute)
				f.Source.Set(next)
				f.Run(20 * clock.Second)
				if !f.allRunning(func(a *agent.Agent) bool { return a.Current().Digest == m.Digest }) {
					t.Error("a daemon accepted a forked value")
				}
				kinds := map[spread.Kind]bool{}
				for _, h := range f.Hosts {
					for _, r := range h.Agent.Snapshot(f.Net.Now()).Refused {
						kinds[r.Kind] = true
					}
				}
				if !kinds[spread.Fork] || !kinds[spread.Orphan] {
					t.Errorf("refusals seen: %v, want a fork and an orphan", kinds)
				}
				repaired, _ := f.Source.NewValue(m.Version+3, m.Parent, 4096, "mended")
				f.Source.Set(repaired)
				f.expect(t, 5*clock.Second, "the repaired value is in force", f.allHave(m.Version+3))
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(60, tt.loss, 4096)
			f.resetCounts()
			tt.run(t, f)
		})
	}
}

// unreachable returns the number of members that an agent holds to be
// unreachable, in one data centre or, if centre is empty, in all of them.
func (f *testFleet) unreachable(a *agent.Agent, centre string) int {
	n := 0
	for _, m := range a.Snapshot(f.Net.Now()).Members {
		if m.Unreachable && (centre == "" || m.Centre == centre) {
			n++
		}
	}
	return n
}
