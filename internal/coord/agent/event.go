package agent

import (
	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// Event is something that the agent did or saw, for the log.
type Event struct {
	Kind EventKind
	At   clock.Milli
	// Host is the host concerned, or where a value came from.
	Host string
	// State is the member's new state for Changed.
	State member.State
	// Value is the configuration concerned.
	Value  spread.Meta
	Detail string
}

// EventKind is the type of an [Event].
type EventKind uint8

// Events.
const (
	// MemberChanged is a member with a new state or a new process.
	MemberChanged EventKind = iota + 1
	// HostLeaving is a process newly known to be leaving.
	HostLeaving
	// ConfigApplied is a configuration that came into force.
	ConfigApplied
	// ConfigRefused is a configuration that was not taken.
	ConfigRefused
	// Resumed is a gap between two ticks.
	Resumed
	// BecameReady is the agent turning ready.
	BecameReady
	// Refuted is the daemon's answer to news that it were suspect or dead.
	Refuted
)

func (a *Agent) report(e Event) {
	if a.cfg.Report != nil {
		a.cfg.Report(e)
	}
}

func (a *Agent) memberChanged(now clock.Milli, m member.Member) {
	a.dirty = true
	a.report(Event{
		Kind:  MemberChanged,
		At:    now,
		Host:  m.Host,
		State: m.State,
	})
}

func (a *Agent) refuted(now clock.Milli, r member.Record) {
	a.dirty = true
	a.report(Event{
		Kind:  Refuted,
		At:    now,
		Host:  r.Host,
		State: r.State,
	})
}

func (a *Agent) marked(now clock.Milli, m leave.Mark) {
	a.dirty = true
	a.urgent = true
	a.report(Event{
		Kind: HostLeaving,
		At:   now,
		Host: m.Host,
	})
}

// applied follows the inventory of a configuration that came into force.
func (a *Agent) applied(now clock.Milli, v spread.Value, from string) {
	a.dirty = true
	a.urgent = true
	a.node.SetPeers(now, a.peers)
	a.report(Event{
		Kind:  ConfigApplied,
		At:    now,
		Host:  from,
		Value: v.Meta,
	})
}

func (a *Agent) refused(now clock.Milli, r spread.Refusal) {
	a.dirty = true
	a.report(Event{
		Kind:   ConfigRefused,
		At:     now,
		Host:   r.From,
		Value:  r.Meta,
		Detail: r.Kind.String() + ": " + r.Detail,
	})
}
