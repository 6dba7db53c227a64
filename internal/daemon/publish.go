package daemon

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/pkg/clock"
)

// publish stores a snapshot of the agent, and derives from it the view that the
// request path uses. Without a configuration in force it publishes no view.
func (k *control) publish(s agent.Snapshot) {
	k.snapshot.Store(&s)
	if s.Value.Version == 0 {
		return
	}
	set, err := k.parse(s.Value.Bytes, s.Value.Digest)
	if err != nil {
		// Unreachable: the agent adopts only values that passed check.
		return
	}
	k.activeRules = set
	if self, ok := set.Target(k.settings.Name); ok {
		k.ownService.Store(self.Service)
	}
	k.routes.ShareLink(s.At, k.neighbors(s))
	v := &view.View{
		Rules:   set,
		Members: k.members(s),
		Ready:   s.Ready,
		Stale:   s.Stale,
		BuiltAt: s.At,
	}
	k.view.Store(v)
	if s.Ready && !k.ready {
		k.ready = true
		event.Info(k.log, event.Ready, zap.Uint64("version", s.Value.Version))
	}
}

// neighbors returns the number of daemons in this daemon's region that membership
// reports as alive, including this one.
func (k *control) neighbors(s agent.Snapshot) int {
	n := 1
	for _, m := range s.Members {
		if m.Region == k.settings.Region && m.State == member.Alive {
			n++
		}
	}
	return n
}

// members returns the membership state of each instance in the inventory, by the
// instance's name. The agent knows daemons by host only.
func (k *control) members(s agent.Snapshot) map[string]view.Member {
	byHost := make(map[string]member.Member, len(s.Members))
	for _, m := range s.Members {
		byHost[m.Host] = m
	}
	lookup := func(host string) (member.Member, bool) {
		m, ok := byHost[host]
		return m, ok
	}
	members := make(map[string]view.Member, len(byHost))
	for _, name := range k.activeRules.Services() {
		targets := k.activeRules.Targets(name)
		hosts := make([]string, 0, len(targets))
		for _, t := range targets {
			hosts = append(hosts, controlAddr(t))
		}
		usable := make(map[string]bool, len(hosts))
		for _, host := range member.Usable(hosts, lookup) {
			usable[host] = true
		}
		for i, t := range targets {
			m := byHost[hosts[i]]
			_, leaving := s.Leaving[hosts[i]]
			members[t.Name] = view.Member{
				Incarnation: m.Incarnation,
				Dead:        !usable[hosts[i]],
				Leaving:     leaving,
				AliveSince:  k.aliveSince(t.Name, m.Incarnation, s.At),
			}
		}
	}
	return members
}

// aliveSince returns the instant at which a daemon was first seen in its current
// incarnation. It returns 0 if this daemon has seen no other incarnation of it.
func (k *control) aliveSince(name string, incarnation uint64, now clock.Milli) clock.Milli {
	if incarnation == 0 {
		return k.incarnations[name].at
	}
	old, known := k.incarnations[name]
	if known && old.incarnation == incarnation {
		return old.at
	}
	current := incarnationStart{
		incarnation: incarnation,
	}
	if known {
		current.at = now
	}
	k.incarnations[name] = current
	k.routes.LearnIncarnation(name, incarnation)
	return current.at
}
