package pick

import "siskinswitch.example/siskin/pkg/clock"

// Parameters of the outlier ejection.
const (
	// adjustEvery is the time between two adjustments of the weights.
	adjustEvery = 100 * clock.Millisecond
	// ejectSlowness is the slowness from which a target loses weight.
	ejectSlowness = 3.0
	// recoverSlowness is the slowness below which a target regains weight.
	recoverSlowness = 1.5
	// weightDecrease and weightIncrease are the factors of one adjustment.
	weightDecrease = 0.5
	weightIncrease = 1.3
	// minWeight keeps a few calls going to an ejected target, which show when
	// it has recovered.
	minWeight = 0.02
	// ejectedBelow is the weight below which a target counts as ejected.
	ejectedBelow = 0.5
	// maxEjectedPercent limits the part of the targets that may be ejected at
	// the same time. One target may always be.
	maxEjectedPercent = 34
)

// ejector lowers the weights of targets that are slower than others and raises
// them again when they recover.
type ejector struct {
	adjustedAt clock.Milli
}

func (e *ejector) adjust(now clock.Milli, targets []*target) {
	if now-e.adjustedAt < adjustEvery {
		return
	}
	e.adjustedAt = now
	ejected := 0
	for _, t := range targets {
		if t.weight < ejectedBelow {
			ejected++
		}
	}
	maxEjected := max(1, len(targets)*maxEjectedPercent/100)
	for _, t := range targets {
		slow := t.slowness(now)
		switch {
		case slow >= ejectSlowness:
			ejected += t.lowerWeight(ejected < maxEjected)
		case slow < recoverSlowness:
			t.weight = min(1, t.weight*weightIncrease)
		}
	}
}

// lowerWeight lowers the weight of a slow target. If that would eject the
// target, it happens only if mayEject is set. It returns the number of targets
// that it ejected, 0 or 1.
func (t *target) lowerWeight(mayEject bool) int {
	wasEjected := t.weight < ejectedBelow
	weight := max(minWeight, t.weight*weightDecrease)
	if !wasEjected && weight < ejectedBelow && !mayEject {
		return 0
	}
	t.weight = weight
	if !wasEjected && weight < ejectedBelow {
		return 1
	}
	return 0
}
