package agent

import (
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// publishInterval is the longest time between two snapshots.
const publishInterval = clock.Second

// publish publishes a snapshot if something changed or the last one is too
// old.
func (a *Agent) publish(now clock.Milli) {
	if a.cfg.Publish == nil || !a.dirty && now-a.lastPublished < publishInterval {
		return
	}
	a.dirty = false
	a.lastPublished = now
	a.cfg.Publish(a.Snapshot(now))
}

// Snapshot returns the agent's current data. Its cost grows with the number of
// hosts.
func (a *Agent) Snapshot(now clock.Milli) Snapshot {
	if !a.started {
		return Snapshot{
			At:        now,
			Confirmed: Never,
		}
	}
	rank := a.node.Rank()
	return Snapshot{
		At:        now,
		Ready:     a.ready,
		Stale:     a.ready && !a.resync.done,
		Self:      a.node.Self(),
		Members:   a.node.Members(now),
		Leaving:   a.leavingHosts(now),
		Value:     a.store.Current(),
		Confirmed: a.store.Confirmed(),
		Refused:   a.store.Refused(),
		History:   a.store.History(),
		Reader:    rank >= 0 && rank < readersPerCentre,
		Relay:     a.node.IsRelay(),
	}
}

// State returns the state in the record of a host, or Unknown if there is
// none.
func (a *Agent) State(host string) member.State {
	if !a.started {
		return member.Unknown
	}
	s, _ := a.node.State(host)
	return s
}

// Current returns the active configuration. Its version is 0 if there is none.
func (a *Agent) Current() spread.Value {
	if !a.started {
		return spread.Value{}
	}
	return a.store.Current()
}

// IsReady reports whether the agent has become ready: since the start it has
// asked the service and the peers, and a configuration is active.
func (a *Agent) IsReady() bool { return a.ready }
