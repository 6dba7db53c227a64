package fleet

import (
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// believe counts the running hosts, but for those left out, that hold a host
// to be in a state.
func (t *trial) believe(about int, s member.State) int {
	return t.Count(func(a *agent.Agent) bool { return a.State(t.Hosts[about].Peer.Host) == s })
}

// expect runs until a condition holds and fails the test if it does not in time.
func (t *trial) expect(tb testing.TB, limit clock.Milli, what string, done func() bool) {
	tb.Helper()
	if _, ok := t.RunUntil(limit, done); !ok {
		tb.Fatalf("not within %d ms: %s", limit, what)
	}
}

func (t *trial) all(is func(a *agent.Agent) bool) bool {
	return t.Count(is) == t.Count(func(*agent.Agent) bool { return true })
}

// have reports whether every running host has a version, or a later one.
func (t *trial) have(version uint64) func() bool {
	return func() bool {
		return t.all(func(a *agent.Agent) bool { return a.Current().Version >= version })
	}
}

func (t *trial) region(i int) string { return t.Hosts[i].Peer.Region }

// last is the number of the last host; it stands in another region than host 0.
func (t *trial) last() int { return len(t.Hosts) - 1 }

// The bounds of time in these cases are those of the promises: configuration
// within 5 s, leaving within 2 s, and for views what the timeouts of the
// protocol add up to.
func TestFaults(t *testing.T) {
	const agreed = 30 * clock.Second
	tests := map[string]struct {
		loss float64
		run  func(tb testing.TB, t *trial)
	}{
		"a host fails and another process takes its address": {
			loss: 0.01,
			run: func(tb testing.TB, t *trial) {
				t.Stop(3)
				t.expect(tb, agreed, "all know of the death", func() bool {
					return t.believe(3, member.Dead) == len(t.Hosts)-1
				})
				t.Start(3)
				t.expect(tb, agreed, "all know of the successor", func() bool {
					return t.believe(3, member.Alive) == len(t.Hosts)
				})
			},
		},
		"a process restarts before anybody misses it": {
			run: func(tb testing.TB, t *trial) {
				t.Hosts[3].Agent.Leave(t.Net.Now())
				t.Run(2 * clock.Second)
				name := t.Hosts[3].Peer.Host
				if !t.all(func(a *agent.Agent) bool { return a.IsLeaving(name) == agent.MarkedLeaving }) {
					tb.Error("not all know that the process leaves")
				}
				t.Start(3)
				t.expect(tb, agreed, "nobody takes the successor for leaving", func() bool {
					return t.Count(func(a *agent.Agent) bool { return a.IsLeaving(name) != 0 }) == 0
				})
			},
		},
		"the successor's clock is behind": {
			run: func(tb testing.TB, t *trial) {
				t.Stop(3)
				t.expect(tb, agreed, "death", func() bool { return t.believe(3, member.Dead) == len(t.Hosts)-1 })
				t.skew = -clock.Hour
				t.Start(3)
				t.expect(tb, agreed, "successor", func() bool { return t.believe(3, member.Alive) == len(t.Hosts) })
			},
		},
		"a rack fails": {
			run: func(tb testing.TB, t *trial) {
				for i := range 6 {
					t.Stop(i)
				}
				t.expect(tb, agreed, "all know of six deaths", func() bool {
					known := 0
					for i := range 6 {
						known += t.believe(i, member.Dead)
					}
					return known == 6*(len(t.Hosts)-6)
				})
			},
		},
		"a data centre fails and comes back": {
			run: func(tb testing.TB, t *trial) {
				out := len(t.Hosts) / 5
				for i := range out {
					t.Stop(i)
				}
				name := t.Hosts[0].Peer.Centre
				t.expect(tb, agreed, "all find it unreachable", func() bool {
					return t.all(func(a *agent.Agent) bool { return t.lost(a, name) == out })
				})
				for i := range out {
					t.Start(i)
				}
				t.expect(tb, agreed, "all reach it", func() bool {
					return t.all(func(a *agent.Agent) bool { return t.lost(a, name) == 0 && t.knowsAll(a) })
				})
			},
		},
		"the regions lose each other while a change is made": {
			loss: 0.01,
			run: func(tb testing.TB, t *trial) {
				t.Net.Blocked = func(from, to int) bool { return t.region(from) != t.region(to) }
				t.Source.Reachable = func(i int) bool { return t.region(i) == t.region(0) }
				m := t.Source.Publish(4096)
				t.Run(3 * clock.Minute)
				if got := t.Hosts[0].Agent.Current().Version; got != m.Version {
					tb.Errorf("the side of the service has version %d, want %d", got, m.Version)
				}
				if !t.all(func(a *agent.Agent) bool { return t.lost(a, "") > 0 }) {
					tb.Error("not all notice the split")
				}
				t.Net.Blocked = nil
				t.expect(tb, 5*clock.Second, "the change is in force on both sides", t.have(m.Version))
				t.expect(tb, agreed, "all reach each other", func() bool {
					return t.all(func(a *agent.Agent) bool { return t.lost(a, "") == 0 && t.knowsAll(a) })
				})
			},
		},
		"a process pauses and wakes": {
			run: func(tb testing.TB, t *trial) {
				t.Pause(3)
				m := t.Source.Publish(4096)
				t.Run(30 * clock.Second)
				if got := t.believe(3, member.Dead); got != len(t.Hosts)-1 {
					tb.Errorf("%d hosts miss the paused one", got)
				}
				t.reset()
				t.Resume(3)
				t.Run(agent.TickInterval)
				if s := t.Hosts[3].Agent.Snapshot(t.Net.Now()); !s.Stale {
					tb.Error("the woken process trusts what it believed")
				}
				t.expect(tb, 5*clock.Second, "the woken process is up to date", func() bool {
					s := t.Hosts[3].Agent.Snapshot(t.Net.Now())
					return !s.Stale && s.Value.Version == m.Version
				})
				t.expect(tb, agreed, "it is alive for all", func() bool { return t.believe(3, member.Alive) == len(t.Hosts) })
				if t.falseDead > 0 {
					tb.Errorf("waking made %d beliefs of death", t.falseDead)
				}
			},
		},
		"two hosts can't reach each other": {
			run: func(tb testing.TB, t *trial) {
				t.Net.Blocked = func(from, to int) bool { return from+to == 3 && from*to == 2 }
				t.Run(clock.Minute)
				if t.suspected > 0 {
					tb.Errorf("%d suspicions", t.suspected)
				}
			},
		},
		"a host hears nothing": {
			run: func(tb testing.TB, t *trial) {
				t.Net.Blocked = func(_, to int) bool { return to == 3 }
				t.Run(clock.Minute)
				for i := range t.Hosts {
					if i != 3 && t.Hosts[3].Agent.State(t.Hosts[i].Peer.Host) != member.Alive {
						tb.Fatal("the deaf host takes others for dead or suspect")
					}
				}
			},
		},
		"the service fails when one reader has seen the value": {
			loss: 0.01,
			run: func(tb testing.TB, t *trial) {
				t.Source.Reachable = func(i int) bool { return t.Hosts[i].Agent.Snapshot(t.Net.Now()).Reader && i < 12 }
				m := t.Source.Publish(4096)
				t.RunUntil(5*clock.Second, func() bool {
					return t.Count(func(a *agent.Agent) bool { return a.Current().Version == m.Version }) > 0
				})
				t.Source.Reachable = func(int) bool { return false }
				t.expect(tb, 5*clock.Second, "the value is in force", t.have(m.Version))
			},
		},
		"the service replays an older value": {
			run: func(tb testing.TB, t *trial) {
				old := t.Source.bytes
				m := t.Source.Publish(4096)
				t.expect(tb, 5*clock.Second, "the value is in force", t.have(m.Version))
				t.Source.Set(old)
				t.Stop(3)
				t.Run(clock.Minute)
				t.Start(3)
				t.expect(tb, 10*clock.Second, "the new daemon serves", t.Hosts[3].Agent.IsReady)
				if !t.have(m.Version)() {
					tb.Error("a daemon went back")
				}
			},
		},
		"a daemon starts while the service is down": {
			run: func(tb testing.TB, t *trial) {
				m := t.Source.Publish(4096)
				t.expect(tb, 5*clock.Second, "the value is in force", t.have(m.Version))
				t.Source.Reachable = func(int) bool { return false }
				t.Start(t.last())
				t.expect(tb, 10*clock.Second, "the new daemon serves with the newest value", func() bool {
					s := t.Hosts[t.last()].Agent.Snapshot(t.Net.Now())
					return s.Ready && s.Value.Version == m.Version
				})
			},
		},
		"another value appears under the version in force": {
			run: func(tb testing.TB, t *trial) {
				m := t.Source.Publish(4096)
				t.expect(tb, 5*clock.Second, "the value is in force", t.have(m.Version))
				fork, forked := t.Source.NewValue(m.Version, m.Parent, 4096, "fork")
				t.Source.Set(fork)
				next, _ := t.Source.NewValue(m.Version+1, forked.Digest, 4096, "after the fork")
				t.Run(clock.Minute)
				t.Source.Set(next)
				t.Run(20 * clock.Second)
				if !t.all(func(a *agent.Agent) bool { return a.Current().Digest == m.Digest }) {
					tb.Error("a daemon took a forked value")
				}
				kinds := map[spread.Kind]bool{}
				for _, h := range t.Hosts {
					for _, r := range h.Agent.Snapshot(t.Net.Now()).Refused {
						kinds[r.Kind] = true
					}
				}
				if !kinds[spread.Fork] || !kinds[spread.Orphan] {
					tb.Errorf("refusals seen: %v, want a fork and an orphan", kinds)
				}
				mended, _ := t.Source.NewValue(m.Version+3, m.Parent, 4096, "mended")
				t.Source.Set(mended)
				t.expect(tb, 5*clock.Second, "the mended value is in force", t.have(m.Version+3))
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTrial(60, tt.loss, 4096)
			f.reset()
			tt.run(t, f)
		})
	}
}

// lost counts the members of a data centre, or of any, that an agent finds
// unreachable.
func (t *trial) lost(a *agent.Agent, centre string) int {
	n := 0
	for _, m := range a.Snapshot(t.Net.Now()).Members {
		if m.Unreachable && (centre == "" || m.Centre == centre) {
			n++
		}
	}
	return n
}
