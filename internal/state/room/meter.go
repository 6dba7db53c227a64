package room

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

// meterTime is the time constant of the demand that a target measures.
const meterTime = 300 * clock.Millisecond

// meter measures the demand offered to a target, in slots.
type meter struct {
	demand float64
	at     clock.Milli
}

// add counts a request that needs a slot for cost.
func (m *meter) add(now clock.Milli, cost float64) {
	m.advance(now)
	m.demand += cost / float64(meterTime)
}

func (m *meter) advance(now clock.Milli) {
	if now <= m.at {
		return
	}
	m.demand *= math.Exp(-float64(now-m.at) / float64(meterTime))
	m.at = now
}

// Arrive counts a request that arrives at the daemon's own target and is expected to
// need a slot for cost.
func (r *Room) Arrive(now, cost clock.Milli) {
	r.meter.add(now, float64(max(cost, 1)))
}

// Done corrects the demand by a request that held a slot for took and had been expected
// to need it for cost. A target that rejects requests at once has less demand than it
// seems on their arrival. A request that held its slot for long counts no more than one
// slot over the time of the average.
func (r *Room) Done(now, cost, took clock.Milli) {
	cost = max(cost, 1)
	r.meter.add(now, float64(min(max(took, 0), meterTime+cost)-cost))
	r.meter.demand = max(r.meter.demand, 0)
}

// Own is the state of the daemon's own target.
type Own struct {
	Service uint32
	Target  uint32
	// Capacity is the number of slots, and Queued the number of requests that wait for
	// one.
	Capacity int
	Queued   int
}

// State makes a statement about the daemon's own target, if one is due and the target
// or another one of its service is overloaded. It must be called about as often as
// statements are made.
func (r *Room) State(now clock.Milli, o Own) {
	if now-r.statedAt < stateInterval {
		return
	}
	r.meter.advance(now)
	backlog := float64(o.Queued) / backlogRounds
	l := Load{
		Service:     o.Service,
		Target:      o.Target,
		Incarnation: r.cfg.Incarnation,
		Seq:         r.own.Seq + 1,
		Capacity:    min(float64(max(o.Capacity, 1)), MaxSlots),
		Demand:      min(r.meter.demand+backlog, MaxSlots),
	}
	wasOverloaded := r.own.Service == l.Service && r.own.Target == l.Target && now-r.statedAt < maxAge
	if !l.isOverloaded() && !(wasOverloaded && l.Demand > l.Capacity*overloadedUntil) && !r.service(o.Service).isOverloaded(now) {
		return
	}
	r.statedAt = now
	r.own = l
	r.Merge(now, clock.Milli(l.Incarnation)*clock.Second, l)
}
