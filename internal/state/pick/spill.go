package pick

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the spillover across the regional link.
const (
	// fullLoad is the load from which a target cannot run another call at
	// once.
	fullLoad = 1.0
	// spillEvery is the time between two decisions whether an operation may
	// spill.
	spillEvery = 100 * clock.Millisecond
	// spillProbeEvery is the time between two calls that probe a far target of
	// unknown load while the near targets are full.
	spillProbeEvery = 500 * clock.Millisecond
	// spillLifetime is how long a decision is known to others without a new one.
	spillLifetime = 500 * clock.Millisecond
	// reserveStepPercent is the part of the link's byte budget that each
	// importance must leave to the next higher one.
	reserveStepPercent = 25
)

// spill holds whether calls of one operation may go to far targets. The
// decision is made at intervals and not for each call, so that it is the same
// for calls of different importance.
type spill struct {
	allowed   bool
	decidedAt clock.Milli
	probedAt  clock.Milli
}

// shouldSpill reports whether a call should cross the regional link, provided
// that the link has the budget.
func (p *Picker) shouldSpill(now clock.Milli, q *Query) bool {
	if len(p.far) == 0 {
		return false
	}
	if p.nearCount == 0 {
		return true
	}
	s := &p.operation(q.Op).spill
	full := p.isNearFull(now, q)
	if now-s.decidedAt >= spillEvery {
		s.decidedAt = now
		s.allowed = full && p.hasFarCapacity(now, q)
	}
	if s.allowed {
		return full
	}
	if full && len(p.near) > 0 && now-s.probedAt >= spillProbeEvery {
		s.probedAt = now
		return true
	}
	return false
}

// Spills reports whether calls of an operation may go to targets of the other region
// now, because the near ones are full and far ones have spare capacity.
func (p *Picker) Spills(now clock.Milli, op string) bool {
	o, ok := p.operations[op]
	return ok && o.spill.allowed && now-o.spill.decidedAt < spillLifetime
}

// isNearFull reports whether no target of the region can run the call at once.
func (p *Picker) isNearFull(now clock.Milli, q *Query) bool {
	for _, t := range p.near {
		if t.load(now, q.Cost) < fullLoad && t.weight >= ejectedBelow {
			return false
		}
	}
	return true
}

// hasFarCapacity reports whether a target of the other region is known to have
// spare capacity and to shed no call of the operation.
func (p *Picker) hasFarCapacity(now clock.Milli, q *Query) bool {
	for _, t := range p.far {
		if t.hasCapacity(now, q) {
			return true
		}
	}
	return false
}

// linkReserve returns the part of the link's byte budget, in percent, that
// calls of an importance must leave to more important calls.
func linkReserve(importance rules.Importance) int {
	return int(rules.Vital-min(importance, rules.Vital)) * reserveStepPercent
}
