package learn

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// recentDecay is the part of the recent sums that each tick leaves to the next.
	recentDecay = 0.7
	// minRecent is the number of recent requests from which on they tell a speed.
	minRecent = 3.0
	// unknownAfter is the time without a completion, while nothing runs, after which
	// the throughput is unknown.
	unknownAfter = 10 * clock.Second
	// longGap is how many times the expected time between two completions passes
	// before a silent target counts as slower than its last answers say.
	longGap = 4.0
	// slowBelow and usualAbove are the speeds at which a target begins and ceases to
	// count as slow, after slowTime.
	slowBelow  = 0.5
	usualAbove = 0.8
	slowTime   = clock.Second
	// minPhase and maxPhase bound the length of a phase of a trial. It is phaseFactor
	// times the time within which nearly all requests end, phaseDeviations standard
	// deviations above the mean: requests that run in two phases count for neither, and
	// if these were many, the limit that slows requests would seem to have fewer long
	// ones.
	minPhase        = 40 * clock.Millisecond
	maxPhase        = 400 * clock.Millisecond
	phaseFactor     = 1.5
	phaseDeviations = 2
	defaultPhase    = 100 * clock.Millisecond
)

// sample holds the times of one request in milliseconds.
type sample struct {
	took, own, usual float64
}

// recent sums up the requests of the last half second or so.
type recent struct {
	sum sample
	n   float64
	// squares is the sum of the squares of the times that requests took.
	squares float64
	doneAt  clock.Milli
	// isKnown is set once there were enough requests to tell a throughput.
	isKnown bool
	// isSlow is set while the target counts as slow; turnedAt is the instant since
	// which the speed says otherwise, 0 while it agrees.
	isSlow   bool
	turnedAt clock.Milli
}

func (r *recent) add(now clock.Milli, s sample) {
	r.sum.took += s.took
	r.sum.own += s.own
	r.sum.usual += s.usual
	r.squares += s.took * s.took
	r.n++
	r.doneAt = now
}

// addGivenUp adds a request that ended without completion. One that ended sooner than
// others complete says nothing of the target.
func (r *recent) addGivenUp(held float64) {
	if r.isKnown && held*r.n > r.sum.took {
		r.sum.took += held
	}
}

func (r *recent) tick(now clock.Milli) {
	r.updateSlow(now)
	if r.n < minRecent {
		return
	}
	r.isKnown = true
	r.sum.took *= recentDecay
	r.sum.own *= recentDecay
	r.sum.usual *= recentDecay
	r.squares *= recentDecay
	r.n *= recentDecay
}

// updateSlow follows the speed with a delay.
func (r *recent) updateSlow(now clock.Milli) {
	v := r.speed()
	agrees := v == 0 || !r.isSlow && v >= slowBelow || r.isSlow && v < usualAbove
	switch {
	case agrees:
		r.turnedAt = 0
	case r.turnedAt == 0:
		r.turnedAt = now
	case now-r.turnedAt >= slowTime:
		r.isSlow = !r.isSlow
		r.turnedAt = 0
	}
}

// speed returns the present speed as a multiple of the usual one, 0 if unknown.
func (r *recent) speed() float64 {
	if !r.isKnown || r.sum.own <= 0 {
		return 0
	}
	return r.sum.usual / r.sum.own
}

// differs reports whether the speed has changed from an earlier one.
func (r *recent) differs(speed float64) bool {
	v := r.speed()
	return v > 0 && speed > 0 && math.Abs(math.Log(v/speed)) > changedSpeed
}

// throughput returns the completions a second with limit requests at the target, 0
// if unknown.
func (r *recent) throughput(now clock.Milli, running, limit int) float64 {
	gap := now - r.doneAt
	if !r.isKnown || running == 0 && gap >= unknownAfter {
		return 0
	}
	took := max(r.sum.took/r.n, leastUsual)
	took = max(took, float64(gap)*float64(running)/longGap)
	return float64(limit) / took * float64(clock.Second)
}

// ownShare returns the part of their time that requests do not wait for calls.
func (r *recent) ownShare() float64 {
	if r.sum.took <= 0 {
		return 1
	}
	return min(1, r.sum.own/r.sum.took)
}

// phase returns the length of a phase of a trial.
func (r *recent) phase() clock.Milli {
	if r.n < minRecent {
		return defaultPhase
	}
	mean := r.sum.took / r.n
	deviation := math.Sqrt(max(r.squares/r.n-mean*mean, 0))
	return min(maxPhase, max(minPhase, clock.Milli(phaseFactor*(mean+phaseDeviations*deviation))))
}
