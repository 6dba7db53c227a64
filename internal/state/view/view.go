// Package view is the picture of the fleet that traffic works from.
//
// The goroutine that owns control state builds a [View] whenever something
// changed and publishes it whole; traffic goroutines read the newest one and
// never change it. Nothing that must be safe depends on a View being fresh.
package view

import (
	"sync/atomic"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Member is what the daemon believes of one instance.
type Member struct {
	// Incarnation is the last known incarnation of the daemon beside the
	// target, 0 while unknown.
	Incarnation uint64
	// Generation is its last known ticket generation.
	Generation uint64
	// Dead says that the daemon is believed not to answer.
	Dead bool
	// Leaving says that the target takes no new work.
	Leaving bool
	// AliveSince is the instant at which the daemon was first seen alive.
	AliveSince clock.Milli
}

// View is one picture of the fleet. It is immutable.
type View struct {
	// Rules is the document in force, nil before the first.
	Rules *rules.Set
	// Members maps instance names to beliefs. A missing name means that
	// nothing is known: the instance is then used as if alive.
	Members map[string]Member
	// Ready says that the daemon may serve traffic.
	Ready bool
	// Stale says that the daemon slept and has not yet read anew.
	Stale bool
	// BuiltAt is the instant at which the view was built.
	BuiltAt clock.Milli
}

// Cell holds the newest view. The zero Cell is not usable; see [NewCell].
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

// Store publishes v.
func (c *Cell) Store(v *View) { c.p.Store(v) }
