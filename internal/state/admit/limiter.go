package admit

import "siskinswitch.example/siskin/pkg/clock"

// Parameters of the limiter.
const (
	// minEpoch is the least time over which throughput is measured.
	minEpoch = 200 * clock.Millisecond
	// minEpochCompletions is the number of completions that an epoch needs to
	// end before maxEpoch.
	minEpochCompletions = 300
	// maxEpoch is the time after which an epoch ends with any number of
	// completions.
	maxEpoch = 2 * clock.Second
	// trialPercent is the part of the limit that a downward trial keeps. An
	// upward trial raises the limit by the difference to 100 %.
	trialPercent = 85
	// keptPercent is the part of the throughput that a downward trial must
	// keep for its limit to be adopted. An upward trial must raise the
	// throughput by the inverse factor.
	keptPercent = 96
	// minTrialInterval and maxTrialInterval bound the number of epochs between
	// two trials. The number doubles with every failed trial.
	minTrialInterval = 4
	maxTrialInterval = 64
)

// limiter adapts the concurrency limit of a target to the number of requests
// that it serves best at once.
//
// A target may accept more concurrent requests than it can use. The excess
// waits inside the target, where the gate cannot order it. Latency alone does
// not show this: it also rises when the target calls something slow, and then
// a smaller limit would only lose throughput. The limiter therefore tries a
// smaller limit for one epoch while the gate is busy, and adopts it only if
// the throughput stays. It tries larger limits in the same way.
type limiter struct {
	limit, floor, ceiling int

	epochStart clock.Milli
	completed  int
	// saturated is set while requests waited at every completion of the epoch.
	saturated bool
	inTrial   bool
	trialUp   bool
	// adopted is the limit that applies outside trials.
	adopted int
	// baseRate is the throughput of the last epoch outside a trial, 0 if
	// unknown.
	baseRate      float64
	epochsToTrial int
	trialInterval int
}

func newLimiter(floor, ceiling int) limiter {
	floor = min(floor, ceiling)
	return limiter{
		limit:         ceiling,
		floor:         floor,
		ceiling:       ceiling,
		adopted:       ceiling,
		saturated:     true,
		trialInterval: minTrialInterval,
		epochsToTrial: minTrialInterval,
	}
}

// complete counts a completion. saturated is set if requests wait for a slot.
func (l *limiter) complete(saturated bool) {
	l.completed++
	if !saturated {
		l.saturated = false
	}
}

// tick ends the epoch if it has lasted long enough.
func (l *limiter) tick(now clock.Milli) {
	elapsed := now - l.epochStart
	if elapsed < minEpoch || (l.completed < minEpochCompletions && elapsed < maxEpoch) {
		return
	}
	rate := float64(l.completed) / float64(elapsed)
	l.endEpoch(rate, l.saturated && l.completed > 0)
	l.epochStart = now
	l.completed = 0
	l.saturated = true
}

// endEpoch evaluates an epoch with the given throughput. Only an epoch in
// which requests were always waiting, so that the limit was binding, can be
// compared with another.
func (l *limiter) endEpoch(rate float64, binding bool) {
	if !binding {
		l.endTrial()
		l.baseRate = 0
		l.limit = min(l.ceiling, l.limit+max(1, l.limit/10))
		l.adopted = l.limit
		return
	}
	if l.inTrial {
		l.judgeTrial(rate)
		return
	}
	l.baseRate = rate
	l.epochsToTrial--
	if l.epochsToTrial <= 0 {
		l.beginTrial()
	}
}

// beginTrial starts a trial. Trials alternate between a larger limit, if the
// ceiling allows one, and a smaller limit.
func (l *limiter) beginTrial() {
	l.adopted = l.limit
	l.inTrial = true
	l.trialUp = !l.trialUp && l.limit < l.ceiling
	if l.trialUp {
		l.limit = min(l.ceiling, l.limit+max(1, l.limit*(100-trialPercent)/100))
		return
	}
	l.limit = max(l.floor, l.limit*trialPercent/100)
}

// judgeTrial adopts the trial's limit if a larger one gave more throughput, or
// a smaller one kept it.
func (l *limiter) judgeTrial(rate float64) {
	adopt := rate*100 >= l.baseRate*keptPercent
	if l.trialUp {
		adopt = rate*keptPercent >= l.baseRate*100
	}
	if adopt {
		l.adopted = l.limit
		l.trialInterval = minTrialInterval
	} else {
		l.trialInterval = min(maxTrialInterval, l.trialInterval*2)
	}
	l.endTrial()
}

func (l *limiter) endTrial() {
	l.inTrial = false
	l.limit = l.adopted
	l.epochsToTrial = l.trialInterval
}
