package fleet

import (
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// countState counts the running hosts, but for those left out, that hold a host
// to be in a state.
func (f *testFleet) countState(host int, s member.State) int {
	return f.Count(func(a *agent.Agent) bool { return a.State(f.Hosts[host].Peer.Host) == s })
}

// expect runs until a condition holds and fails the test if it does not in time.
func (f *testFleet) expect(t testing.TB, limit clock.Milli, condition string, done func() bool) {
	t.Helper()
	if _, ok := f.RunUntil(limit, done); !ok {
		t.Fatalf("not within %d ms: %s", limit, condition)
	}
}

func (f *testFleet) allRunning(is func(a *agent.Agent) bool) bool {
	return f.Count(is) == f.Count(func(*agent.Agent) bool { return true })
}

// allHave reports whether every running host has a version, or a later one.
func (f *testFleet) allHave(version uint64) func() bool {
	return func() bool {
		return f.allRunning(func(a *agent.Agent) bool { return a.Current().Version >= version })
	}
}

func (f *testFleet) regionOf(i int) string { return f.Hosts[i].Peer.Region }

// lastHost is the number of the lastHost host; it stands in another region than host 0.
func (f *testFleet) lastHost() int { return len(f.Hosts) - 1 }

// The bounds of time in these cases are those of the promises: configuration
// within 5 s, leaving within 2 s, and for views what the timeouts of the
// protocol add up to.
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
				f.expect(t, agreeLimit, "all know of the death", func() bool {
					return f.countState(3, member.Dead) == len(f.Hosts)-1
				})
				f.Start(3)
				f.expect(t, agreeLimit, "all know of the successor", func() bool {
					return f.countState(3, member.Alive) == len(f.Hosts)
				})
			},
		},
		"a process restarts before anybody misses it": {
			run: func(t testing.TB, f *testFleet) {
				f.Hosts[3].Agent.Leave(f.Net.Now())
				f.Run(2 * clock.Second)
				name := f.Hosts[3].Peer.Host
				if !f.allRunning(func(a *agent.Agent) bool { return a.IsLeaving(name) == agent.MarkedLeaving }) {
					t.Error("not all know that the process leaves")
				}
				f.Start(3)
				f.expect(t, agreeLimit, "nobody takes the successor for leaving", func() bool {
					return f.Count(func(a *agent.Agent) bool { return a.IsLeaving(name) != 0 }) == 0
				})
			},
		},
		"the successor's clock is behind": {
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
				f.expect(t, agreeLimit, "all know of six deaths", func() bool {
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
				f.expect(t, agreeLimit, "all find it unreachable", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, name) == centreHosts })
				})
				for i := range centreHosts {
					f.Start(i)
				}
				f.expect(t, agreeLimit, "all reach it", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, name) == 0 && f.seesAllAlive(a) })
				})
			},
		},
		"the regions lose each other while a change is made": {
			loss: 0.01,
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(from, to int) bool { return f.regionOf(from) != f.regionOf(to) }
				f.Source.Reachable = func(i int) bool { return f.regionOf(i) == f.regionOf(0) }
				m := f.Source.Publish(4096)
				f.Run(3 * clock.Minute)
				if got := f.Hosts[0].Agent.Current().Version; got != m.Version {
					t.Errorf("the side of the service has version %d, want %d", got, m.Version)
				}
				if !f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") > 0 }) {
					t.Error("not all notice the split")
				}
				f.Net.Blocked = nil
				f.expect(t, 5*clock.Second, "the change is in force on both sides", f.allHave(m.Version))
				f.expect(t, agreeLimit, "all reach each other", func() bool {
					return f.allRunning(func(a *agent.Agent) bool { return f.unreachable(a, "") == 0 && f.seesAllAlive(a) })
				})
			},
		},
		"a process pauses and wakes": {
			run: func(t testing.TB, f *testFleet) {
				f.Pause(3)
				m := f.Source.Publish(4096)
				f.Run(30 * clock.Second)
				if got := f.countState(3, member.Dead); got != len(f.Hosts)-1 {
					t.Errorf("%d hosts miss the paused one", got)
				}
				f.resetCounts()
				f.Resume(3)
				f.Run(agent.TickInterval)
				if s := f.Hosts[3].Agent.Snapshot(f.Net.Now()); !s.Stale {
					t.Error("the woken process trusts what it believed")
				}
				f.expect(t, 5*clock.Second, "the woken process is up to date", func() bool {
					s := f.Hosts[3].Agent.Snapshot(f.Net.Now())
					return !s.Stale && s.Value.Version == m.Version
				})
				f.expect(t, agreeLimit, "it is alive for all", func() bool { return f.countState(3, member.Alive) == len(f.Hosts) })
				if f.falseDead > 0 {
					t.Errorf("waking made %d beliefs of death", f.falseDead)
				}
			},
		},
		"two hosts can't reach each other": {
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(from, to int) bool { return from+to == 3 && from*to == 2 }
				f.Run(clock.Minute)
				if f.suspicions > 0 {
					t.Errorf("%d suspicions", f.suspicions)
				}
			},
		},
		"a host hears nothing": {
			run: func(t testing.TB, f *testFleet) {
				f.Net.Blocked = func(_, to int) bool { return to == 3 }
				f.Run(clock.Minute)
				for i := range f.Hosts {
					if i != 3 && f.Hosts[3].Agent.State(f.Hosts[i].Peer.Host) != member.Alive {
						t.Fatal("the deaf host takes others for dead or suspect")
					}
				}
			},
		},
		"the service fails when one reader has seen the value": {
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
				f.expect(t, 10*clock.Second, "the new daemon serves", f.Hosts[3].Agent.IsReady)
				if !f.allHave(m.Version)() {
					t.Error("a daemon went back")
				}
			},
		},
		"a daemon starts while the service is down": {
			run: func(t testing.TB, f *testFleet) {
				m := f.Source.Publish(4096)
				f.expect(t, 5*clock.Second, "the value is in force", f.allHave(m.Version))
				f.Source.Reachable = func(int) bool { return false }
				f.Start(f.lastHost())
				f.expect(t, 10*clock.Second, "the new daemon serves with the newest value", func() bool {
					s := f.Hosts[f.lastHost()].Agent.Snapshot(f.Net.Now())
					return s.Ready && s.Value.Version == m.Version
				})
			},
		},
		"another value appears under the version in force": {
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
					t.Error("a daemon took a forked value")
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
				mended, _ := f.Source.NewValue(m.Version+3, m.Parent, 4096, "mended")
				f.Source.Set(mended)
				f.expect(t, 5*clock.Second, "the mended value is in force", f.allHave(m.Version+3))
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

// unreachable counts the members of a data centre, or of any, that an agent finds
// unreachable.
func (f *testFleet) unreachable(a *agent.Agent, centre string) int {
	n := 0
	for _, m := range a.Snapshot(f.Net.Now()).Members {
		if m.Unreachable && (centre == "" || m.Centre == centre) {
			n++
		}
	}
	return n
}
