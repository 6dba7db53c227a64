package pick

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the choice.
const (
	// hotLoad is the load from which a target counts as hot.
	hotLoad = 0.85
	// awayLoad is the load by which a target of another centre must be less
	// loaded than an own one to be preferred.
	awayLoad = 0.1
	// sameLatency is the factor within which two latencies count as equal.
	sameLatency = 1.25
)

// best compares a few of the targets, drawn at random, and returns the one to
// use. A target of less than whole weight is passed over by chance, unless
// nothing else is left.
func (p *Picker) best(now clock.Milli, targets []*target, cost rules.Cost) *target {
	var best *target
	var bestView view
	seen := 0
	for i := range targets {
		j := i + p.rand.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		t := targets[i]
		last := i == len(targets)-1 && best == nil
		if t.weight < 1 && !last && p.rand.Float64() >= t.weight {
			continue
		}
		v := p.view(now, t, cost)
		if best == nil || v.beats(bestView) {
			best = t
			bestView = v
		}
		if seen++; seen == p.cfg.Draws {
			break
		}
	}
	return best
}

// view is what the comparison of two targets rests on.
type view struct {
	load    float64
	latency float64
	away    float64
}

func (p *Picker) view(now clock.Milli, t *target, cost rules.Cost) view {
	v := view{
		load:    t.load(now, cost),
		latency: t.slowness(now),
	}
	if t.Centre != p.cfg.Centre {
		v.away = awayLoad
	}
	return v
}

// isCold reports whether a call would run at once and as fast as usual.
func (v view) isCold() bool { return v.load < hotLoad && v.latency < slowLimit }

// beats applies the hot-cold rule: a cold target before a hot one, and cold
// ones by latency. Cold ones of about equal latency go by load, with an
// advantage for the own centre. Hot ones go by load times latency, so that a
// straggler without load does not draw the calls of a busy sound target.
func (v view) beats(o view) bool {
	cold, otherCold := v.isCold(), o.isCold()
	switch {
	case cold != otherCold:
		return cold
	case !cold:
		return max(v.load, hotLoad)*v.latency < max(o.load, hotLoad)*o.latency
	case v.latency*sameLatency < o.latency:
		return true
	case o.latency*sameLatency < v.latency:
		return false
	}
	return v.load+v.away < o.load+o.away
}
