package learn

import "math"

const (
	// largeParts and smallParts are the parts of the ceiling that the largest first
	// step and the smallest step have.
	largeParts = 10
	smallParts = 40
	// wideParts is the part of the limit that the widest trial below it spans.
	wideParts = 4
	// sharpBend is the loss at the higher limit, as a multiple of its ideal gain, from
	// which on the throughput bends between the two limits, so that the best limit
	// lies there too.
	sharpBend = 1.4
)

// search chooses the two limits of the next trial.
type search struct {
	ceiling int
	// bad is the least limit that was found to be too high while the search narrows
	// down to the bend below it, 0 otherwise.
	bad int
	// lastUp says that the last trial was one above the limit.
	lastUp bool
	// upStep is the size of the next step above the limit, wide whether the next trial
	// below it is a wide one.
	upStep int
	wide   bool
}

func newSearch(ceiling int) search {
	s := search{
		ceiling: ceiling,
		lastUp:  true,
	}
	s.upStep = s.largeStep()
	return s
}

// largeStep returns the size of the first step.
func (s *search) largeStep() int { return max(1, s.ceiling/largeParts) }

func (s *search) smallStep() int { return max(1, s.ceiling/smallParts) }

// isNarrowing reports whether the best limit is known to be close above the present
// one.
func (s *search) isNarrowing() bool { return s.bad > 0 }

// next returns the two limits to compare, one of which is the present one. They are
// equal if there is nothing to compare.
func (s *search) next(limit, floor, ceiling int) (low, high int) {
	if s.isNarrowing() {
		return limit, (limit + s.bad + 1) / 2
	}
	if s.lastUp || limit >= ceiling {
		s.lastUp = false
		span := max(1, limit/largeParts)
		if s.wide {
			span = max(1, limit/wideParts)
		}
		return max(floor, limit-span), limit
	}
	s.lastUp = true
	return limit, min(ceiling, limit+s.upStep)
}

// judged takes the result of a trial into account.
func (s *search) judged(t *trial, v verdict, hasMoved bool) {
	switch {
	case t.isUp && v == keepLow:
		s.upFailed(t)
	case t.isUp:
		s.upStep = min(s.largeStep(), s.upStep*2)
		s.stopAtBad(t.high)
		s.lastUp = s.isNarrowing() || !hasMoved
	case v == keepLow:
		s.downPaid(t)
	default:
		s.wide = !s.wide
	}
}

// upFailed halves the step, down to the smallest; then it begins anew.
func (s *search) upFailed(t *trial) {
	if s.isNarrowing() {
		s.bad = t.high
		s.stopAtBad(t.low)
		s.upStep = s.smallStep()
		return
	}
	s.upStep /= 2
	if s.upStep < s.smallStep() {
		s.upStep = s.largeStep()
	}
}

// downPaid begins to narrow down to the bend if it lies between the limits: the loss
// at the higher one is sharp, or a narrower trial from there showed none. Otherwise the
// next trial goes further down.
func (s *search) downPaid(t *trial) {
	mean, _ := t.estimate()
	isBetween := s.wide || mean > sharpBend*math.Log(float64(t.high)/float64(t.low))
	s.wide = false
	s.lastUp = true
	if isBetween {
		s.bad = t.high
		s.stopAtBad(t.low)
	}
}

// stopAtBad ends the narrowing when the limit is close enough below the bend.
func (s *search) stopAtBad(limit int) {
	if s.bad > 0 && s.bad-limit <= s.smallStep() {
		s.bad = 0
		s.upStep = s.smallStep()
	}
}
