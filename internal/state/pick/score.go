package pick

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the choice.
const (
	// hotLoad is the load from which a target counts as hot.
	hotLoad = 0.85
	// ownCentreAdvantage is the load by which a target of another data centre
	// must be less loaded than one of the own data centre to be preferred.
	ownCentreAdvantage = 0.1
	// latencyTolerance is the factor within which two latencies count as
	// equal.
	latencyTolerance = 1.25
)

// best draws a few of the targets at random, compares them and returns the
// best. A target with a weight below 1 is skipped with the complementary
// probability, unless it is the last one and none has been compared.
func (p *Picker) best(now clock.Milli, targets []*target, cost rules.Cost) *target {
	var best *target
	var bestScore score
	compared := 0
	for i := range targets {
		j := i + p.rand.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		t := targets[i]
		last := i == len(targets)-1 && best == nil
		if t.weight < 1 && !last && p.rand.Float64() >= t.weight {
			continue
		}
		s := p.score(now, t, cost)
		if best == nil || s.betterThan(bestScore) {
			best = t
			bestScore = s
		}
		if compared++; compared == p.cfg.Draws {
			break
		}
	}
	return best
}

// score holds the values by which targets are compared.
type score struct {
	load    float64
	latency float64
	// penalty is added to the load of a target in another data centre.
	penalty float64
}

// score returns the present score of t for calls of the cost class.
func (p *Picker) score(now clock.Milli, t *target, cost rules.Cost) score {
	s := score{
		load:    t.load(now, cost),
		latency: t.slowness(now),
	}
	if t.Centre != p.cfg.Centre {
		s.penalty = ownCentreAdvantage
	}
	return s
}

// isCold reports whether a call would run at once and at a usual latency.
func (s score) isCold() bool { return s.load < hotLoad && s.latency < ejectSlowness }

// betterThan applies the hot-cold rule: a cold target is better than a hot
// one, and cold targets are compared by latency. Cold targets of about equal
// latency are compared by load, with an advantage for the own data centre. Hot
// targets are compared by the product of load and latency, so that a straggler
// without load does not attract the calls of a busy healthy target.
func (s score) betterThan(o score) bool {
	cold, otherCold := s.isCold(), o.isCold()
	switch {
	case cold != otherCold:
		return cold
	case !cold:
		return max(s.load, hotLoad)*s.latency < max(o.load, hotLoad)*o.latency
	case s.latency*latencyTolerance < o.latency:
		return true
	case o.latency*latencyTolerance < s.latency:
		return false
	}
	return s.load+s.penalty < o.load+o.penalty
}
