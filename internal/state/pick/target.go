package pick

import (
	"math"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of a target's state.
const (
	// reportLifetime is the age up to which a load report counts.
	reportLifetime = clock.Second
	// fadeTime is the time constant with which a target's slowness returns to
	// normal while it has no call in flight.
	fadeTime = 2 * clock.Second
	// sampleWeight is the least weight of one sample in a target's average
	// slowness.
	sampleWeight = 1.0 / 8
	// maxSampleWeight bounds the weight of one sample after a long time
	// without samples.
	maxSampleWeight = 0.5
	// rampTime is the time over which a target that started reaches its full
	// capacity.
	rampTime = 10 * clock.Second
	// rampStartShare is the part of its capacity that a target has when it
	// starts.
	rampStartShare = 0.1
	// canceledSlowness scales the slowness of a canceled call, whose full
	// duration is not known, to an estimate of it.
	canceledSlowness = 1.5
	// failedSlowness is the slowness that a failed call counts as.
	failedSlowness = 8.0
)

// Call identifies a call in flight. The zero value identifies none.
type Call struct {
	id uint64
	at clock.Milli
	to string
	op string
}

// inFlight is the state that a target keeps of a call in flight.
type inFlight struct {
	at           clock.Milli
	usualLatency float64
	cost         rules.Cost
	// wait is the time that the call was expected to wait at the target, and
	// allowed that time and the one on the network, in milliseconds. Both are 0
	// without Config.ByExpectedTime.
	wait    float64
	allowed float64
}

// slowness returns the age of the call as a multiple of the usual latency, 0 if
// that is unknown.
func (f *inFlight) slowness(now clock.Milli) float64 {
	if f.usualLatency <= 0 {
		return 0
	}
	return (float64(now-f.at) - f.allowed) / f.usualLatency
}

// target is the state that a picker keeps of one target.
type target struct {
	Candidate
	calls map[uint64]inFlight
	// averageSlowness is the moving average of the latency of calls to this
	// target, as a multiple of the usual latency of their operations.
	averageSlowness float64
	sampledAt       clock.Milli
	report          LoadReport
	reportedAt      clock.Milli
	// weight is the probability that the target is compared when it is drawn.
	weight     float64
	thresholds map[string]statedThreshold
	// place is the place of the target, and share the probability that it is
	// compared when it is drawn there.
	place *place
	share float64
	// failures is the weighted part of the calls that failed, a moving average
	// of the time failedAt.
	failures float64
	failedAt clock.Milli
	// triedAt is when the target was last tried while it was failing.
	triedAt clock.Milli
}

func newTarget(c Candidate) *target {
	return &target{
		Candidate:       c,
		averageSlowness: 1,
		reportedAt:      -reportLifetime,
		weight:          1,
		share:           1,
		calls:           make(map[uint64]inFlight),
		thresholds:      make(map[string]statedThreshold),
	}
}

// admits reports whether the target is expected to admit the query, that is,
// whether no threshold of it refuses the query.
func (t *target) admits(now clock.Milli, q *Query) bool {
	s, ok := t.thresholds[q.Op]
	if !ok || q.LetIn {
		return true
	}
	return s.relaxed(now).Passes(q.Importance, q.RootHash)
}

// hasCapacity reports whether the target is known to have spare capacity for
// the query and has last stated an open threshold for its operation. The
// threshold is not relaxed by its age here.
func (t *target) hasCapacity(now clock.Milli, q *Query) bool {
	s, ok := t.thresholds[q.Op]
	if ok && !s.threshold.IsOpen() {
		return false
	}
	return t.hasFreshReport(now) && t.load(now, q.Cost) < hotLoad && t.weight >= ejectedBelow
}

// ramp returns the part of its capacity that a target may use after its start.
func (t *target) ramp(now clock.Milli) float64 {
	if t.Started == 0 || now-t.Started >= rampTime {
		return 1
	}
	return max(rampStartShare, float64(now-t.Started)/float64(rampTime))
}

// hasFreshReport reports whether the last load report is fresh.
func (t *target) hasFreshReport(now clock.Milli) bool { return now-t.reportedAt < reportLifetime }

// load returns the number of requests of a cost class at the target, per slot
// that they may use. The calls in flight from this daemon are a lower bound; a
// fresh report includes the requests of other callers.
func (t *target) load(now clock.Milli, cost rules.Cost) float64 {
	running := 0
	for _, f := range t.calls {
		if f.cost == cost {
			running++
		}
	}
	slots := max(t.Slots, 1)
	if t.hasFreshReport(now) {
		lane := t.report.Short
		if cost == rules.Long {
			lane = t.report.Long
		}
		running = max(running, lane.Running)
		if lane.Limit > 0 {
			slots = min(slots, lane.Limit)
		}
	}
	return float64(running) / (float64(slots) * t.ramp(now))
}

// slowness returns the present latency of calls as a multiple of the usual
// one. A call in flight counts as soon as it takes longer than the average of
// the finished calls. The average fades while no call is in flight, so that
// calls are sent to a slow target again, one at a time.
func (t *target) slowness(now clock.Milli) float64 {
	slow := t.fadedSlowness(now)
	for _, f := range t.calls {
		slow = max(slow, f.slowness(now))
	}
	return slow
}

// fadedSlowness returns the average slowness of finished calls, faded while no
// call is in flight.
func (t *target) fadedSlowness(now clock.Milli) float64 {
	if len(t.calls) > 0 {
		return t.averageSlowness
	}
	return 1 + (t.averageSlowness-1)*math.Exp(-float64(now-t.sampledAt)/float64(fadeTime))
}

// addSample adds a sample to the average slowness. Its weight grows with the
// time since the last sample.
func (t *target) addSample(now clock.Milli, ratio float64) {
	weight := max(sampleWeight, 1-math.Exp(-float64(now-t.sampledAt)/float64(fadeTime)))
	t.averageSlowness += (ratio - t.averageSlowness) * min(weight, maxSampleWeight)
	t.sampledAt = now
}
