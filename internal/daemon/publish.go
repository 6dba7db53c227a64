package daemon

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/pkg/clock"
)

// publish turns a snapshot into the view that traffic works from.
func (k *control) publish(s agent.Snapshot) {
	k.snapshot.Store(&s)
	if s.Value.Version == 0 {
		return
	}
	set, err := k.parse(s.Value.Bytes, s.Value.Digest)
	if err != nil {
		// The agent takes no value that has not been checked.
		return
	}
	k.rules = set
	if self, ok := set.Target(k.set.Name); ok {
		k.service.Store(self.Service)
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

// neighbors returns the number of daemons in the own region that are believed
// alive, this one included.
func (k *control) neighbors(s agent.Snapshot) int {
	n := 1
	for _, m := range s.Members {
		if m.Region == k.set.Region && m.State == member.Alive {
			n++
		}
	}
	return n
}

// members joins the agent's view of hosts with the inventory's names.
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
	for _, name := range k.rules.Services() {
		targets := k.rules.Targets(name)
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
				AliveSince:  k.startOf(t.Name, m.Incarnation, s.At),
			}
		}
	}
	return members
}

// startOf returns the instant at which a daemon was seen in a new incarnation,
// 0 for one that has not been replaced since this daemon knows it.
func (k *control) startOf(name string, incarnation uint64, now clock.Milli) clock.Milli {
	if incarnation == 0 {
		return k.starts[name].at
	}
	old, known := k.starts[name]
	if known && old.incarnation == incarnation {
		return old.at
	}
	fresh := start{
		incarnation: incarnation,
	}
	if known {
		fresh.at = now
	}
	k.starts[name] = fresh
	k.routes.LearnIncarnation(name, incarnation)
	return fresh.at
}
