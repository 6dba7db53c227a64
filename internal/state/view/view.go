// Package view holds the state of the fleet that the traffic path reads.
//
// The goroutine that owns the control state builds a new [View] whenever the
// state changed and publishes it as a whole. Traffic goroutines read the
// newest View and never change it. A View may be out of date, so no safety
// property may depend on it.
package view

import (
	"sync/atomic"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Member is the observed state of one instance.
type Member struct {
	// Incarnation is the last known incarnation of the daemon beside the
	// target, 0 while unknown.
	Incarnation uint64
	// Generation is the last known ticket generation of that daemon.
	Generation uint64
	// Dead reports that the daemon is considered dead, because it does not
	// answer.
	Dead bool
	// Leaving reports that the target takes no new requests.
	Leaving bool
	// AliveSince is the instant at which the daemon was first seen in its current
	// incarnation, 0 if no other incarnation of it was seen.
	AliveSince clock.Milli
}

// View is a snapshot of the fleet's state. It is immutable.
type View struct {
	// Rules is the configuration in force, nil before the first.
	Rules *rules.Set
	// Members maps instance names to their observed states. An instance that
	// is missing here is unknown and treated as alive.
	Members map[string]Member
	// Ready reports that the daemon may serve traffic.
	Ready bool
	// Stale reports that the daemon was suspended and has not yet read the
	// current state again.
	Stale bool
	// BuiltAt is the instant at which the view was built.
	BuiltAt clock.Milli
}

// Cell publishes the newest view to concurrent readers. The zero Cell is not
// usable; see [NewCell].
type Cell struct {
	p atomic.Pointer[View]
}

// NewCell returns a cell with an empty view.
func NewCell() *Cell {
	c := &Cell{}
	c.p.Store(&View{})
	return c
}

// Load returns the newest view, never nil.
func (c *Cell) Load() *View { return c.p.Load() }

// Store publishes v, which must not be changed afterwards.
func (c *Cell) Store(v *View) { c.p.Store(v) }
