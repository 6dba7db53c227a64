package pick

import (
	"math"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the estimates.
const (
	// serviceStep is the step of the running median of an operation's service
	// time.
	serviceStep = 1.0 / 32
	// minTargetPart is the least part of the time of a call that counts as spent
	// at the target, and minServicePart the least part of that which counts as
	// service, where the estimates of network and wait exceed them. A lower bound
	// would make slowness a ratio of small remainders.
	minTargetPart  = 0.1
	minServicePart = 0.5
	// statementTime is the time constant with which a stated load turns into
	// usualLoad, the load of a target that has not stated any. A target that
	// stated that it is full is thus tried again before the statement ends.
	// The longer calls take, the longer it holds: for statementPart of their service
	// time.
	statementTime = 50 * clock.Millisecond
	statementPart = 1.5
	placeTime     = 300 * clock.Millisecond
	usualLoad     = 0.9
	// failureWeight and successWeight are the weights of one outcome in a
	// target's failure rate. A target that fails four of five calls thus has the
	// rate failingRate, one that refuses every second call at random stays far
	// below.
	failureWeight = 1.0 / 16
	successWeight = 1.0 / 4
	// failingRate is the failure rate from which a target counts as failing.
	failingRate = 0.5
	// maxFailures bounds the failure rate that counts in an estimate.
	maxFailures = 0.95
	// failureFadeTime is the time constant with which a failure rate fades while
	// no call ends.
	failureFadeTime = 10 * clock.Second
	// tryFailingEvery is the time between two calls that try a failing target.
	tryFailingEvery = clock.Second
)

// estimate is what a call at a target is expected to come to.
type estimate struct {
	t *target
	// time is the expected time in milliseconds until the call ends.
	time float64
	// wait is the part of it before the call runs, and network the part on the
	// network.
	wait    float64
	network float64
	// load is the number of requests at the target per request that it can run at
	// once.
	load float64
	// isKnown says that the load was stated lately by the target or others at
	// its place.
	isKnown bool
	// isTrial says that the call tries a failing target.
	isTrial bool
}

// estimateOf returns the estimate for a call at t. The calls that this daemon
// sent after the target's last statement are counted in advance.
func (p *Picker) estimateOf(now clock.Milli, q *Query, o *operation, t *target) estimate {
	e := estimate{
		t:       t,
		network: t.place.network(now),
	}
	running, unseen, slow := t.inFlight(now, q.Cost, e.network)
	service := slow * o.service
	limit := float64(max(t.Slots, 1))
	rate := 0.0
	switch {
	case t.hasFreshReport(now):
		lane := t.report.lane(q.Cost)
		running = max(running, lane.Running+unseen)
		if lane.Limit > 0 {
			limit = min(limit, float64(lane.Limit))
		}
		rate = t.report.Throughput
		e.wait = float64(t.report.Wait)
		e.isKnown = true
	case t.place.hasFreshReport(now):
		e.isKnown = true
	}
	limit *= t.ramp(now)
	stated := float64(running)
	if rate <= 0 {
		rate = limit / max(service, 1) * float64(clock.Second)
	}
	if e.isKnown {
		keep := 0.0
		if t.hasFreshReport(now) {
			fade := max(float64(statementTime), statementPart*service)
			keep = math.Exp(-float64(max(0, now-t.reportedAt)) / fade)
		}
		placeLoad := t.place.loadFor(now, q.Cost)*limit + float64(unseen)
		stated = placeLoad + (stated-placeLoad)*keep
		e.wait *= keep
	}
	ahead := stated + 1 - limit
	e.wait = max(e.wait, ahead/rate*float64(clock.Second), 0)
	e.load = stated / limit
	e.time = max(e.network+e.wait+service, 1) / (1 - min(t.failureRate(now), maxFailures))
	return e
}

// inFlight returns the number of calls of a cost class in flight to t, how many
// of them the target's last statement cannot include, and the slowness of t
// with the age of the calls in flight.
func (t *target) inFlight(now clock.Milli, cost rules.Cost, network float64) (running, unseen int, slow float64) {
	slow = t.fadedSlowness(now)
	seenUntil := t.reportedAt - clock.Milli(network)
	for _, f := range t.calls {
		if f.cost == cost {
			running++
			if f.at >= seenUntil {
				unseen++
			}
		}
		slow = max(slow, f.slowness(now))
	}
	return running, unseen, slow
}

// lane returns the load of the lane for a cost class.
func (r *LoadReport) lane(cost rules.Cost) Lane {
	if cost == rules.Long {
		return r.Long
	}
	return r.Short
}

// addService adds a service time to the running median of the operation.
func (o *operation) addService(took float64) {
	switch {
	case o.service <= 0:
		o.service = took
	case took > o.service:
		o.service *= 1 + serviceStep
	default:
		o.service *= 1 - serviceStep
	}
}

// addOutcome adds the outcome of a call to the target's failure rate.
func (t *target) addOutcome(now clock.Milli, failed bool) {
	rate := t.failureRate(now)
	if failed {
		rate += failureWeight * (1 - rate)
	} else {
		rate -= successWeight * rate
	}
	t.failures = rate
	t.failedAt = now
}

// failureRate returns the weighted part of the recent calls that failed.
func (t *target) failureRate(now clock.Milli) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp(-float64(now-t.failedAt)/float64(failureFadeTime))
}

// isFailing reports whether most calls to the target fail. It may look idle
// because it fails fast.
func (t *target) isFailing(now clock.Milli) bool { return t.failureRate(now) >= failingRate }

// mayTryFailing reports whether a failing target may be tried once.
func (t *target) mayTryFailing(now clock.Milli) bool {
	if now-t.triedAt < tryFailingEvery {
		return false
	}
	t.triedAt = now
	return true
}

// recordTime records the time of a completed call: what exceeds the expected
// network time and wait is the service time of the target. Part of a deviation
// is counted for the network.
func (p *Picker) recordTime(now clock.Milli, t *target, o *operation, f *inFlight, took clock.Milli) {
	network := t.place.network(now)
	atTarget := max(float64(took)-network, float64(took)*minTargetPart)
	service := max(atTarget-f.wait, atTarget*minServicePart, 1)
	if o.service > 0 {
		t.place.addExcess(now, float64(took)-network-f.wait-t.averageSlowness*o.service)
		t.addSample(now, service/o.service)
	}
	o.addService(service)
}
