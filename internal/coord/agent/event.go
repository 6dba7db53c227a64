package agent

import (
	"fmt"

	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// Event is an event to log.
type Event struct {
	Kind EventKind
	At   clock.Milli
	// Host is the host concerned or, for ConfigApplied and ConfigRefused, the
	// sender of the value.
	Host string
	// State is the new state for MemberChanged, and the refuted state for
	// Refuted.
	State member.State
	// Value is the configuration concerned.
	Value  spread.Meta
	Detail string
}

// EventKind is the type of an [Event].
type EventKind uint8

// Kinds of events.
const (
	// MemberChanged reports a member with a new state or incarnation.
	MemberChanged EventKind = iota + 1
	// HostLeaving reports a new mark of a leaving process.
	HostLeaving
	// ConfigApplied reports a configuration that became active.
	ConfigApplied
	// ConfigRefused reports a configuration that was refused.
	ConfigRefused
	// Resumed reports the end of a pause of the process.
	Resumed
	// BecameReady reports that the agent became ready.
	BecameReady
	// Refuted reports that the daemon refuted a record that called it suspect
	// or dead, or that belonged to another process.
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
		Kind:   Refuted,
		At:     now,
		Host:   r.Host,
		State:  r.State,
		Detail: fmt.Sprintf("called %s, incarnation %d", r.State, r.Incarnation),
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

// applied takes over the inventory of a configuration that became active.
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
