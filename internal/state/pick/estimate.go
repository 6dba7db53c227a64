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
	// minServicePart bounds a service time from below, as a part of the time
	// that the call took, where the estimates of network and wait exceed it.
	minServicePart = 0.1
	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 1.0 / 16
	// maxFailures bounds the failure rate that counts, so that a failing target
	// is tried now and then.
	maxFailures = 0.95
	// failuresShown is the failure rate from which a target is not chosen for
	// its low load.
	failuresShown = 0.3
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
	// load is the number of requests at the target, this call included, per
	// request that it can run at once.
	load float64
	// isKnown says that the load was stated lately by the target or others at
	// its place.
	isKnown bool
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
		running = max(running, int(t.place.load*limit)+unseen)
		e.wait = t.place.wait
		e.isKnown = true
	}
	limit *= t.ramp(now)
	if rate <= 0 {
		rate = limit / max(service, 1) * float64(clock.Second)
	}
	ahead := float64(running+1) - limit
	e.wait = max(e.wait, ahead/rate*float64(clock.Second), 0)
	e.load = float64(running+1) / limit
	e.time = (e.network + e.wait + service) / (1 - min(t.failureRate(now), maxFailures))
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
	outcome := 0.0
	if failed {
		outcome = 1
	}
	t.failures = rate + failureWeight*(outcome-rate)
	t.failedAt = now
}

// failureRate returns the part of the recent calls that failed or were refused.
// It fades without calls.
func (t *target) failureRate(now clock.Milli) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * math.Exp(-float64(now-t.failedAt)/float64(fadeTime))
}

// recordTime records the time of a completed call: what exceeds the expected
// network time and wait is the service time of the target. Part of a deviation
// is counted for the network.
func (p *Picker) recordTime(now clock.Milli, t *target, o *operation, f *inFlight, took clock.Milli) {
	network := t.place.network(now)
	service := max(float64(took)-network-f.wait, float64(took)*minServicePart, 1)
	if o.service > 0 {
		t.place.addExcess(now, float64(took)-network-f.wait-t.averageSlowness*o.service)
		t.addSample(now, service/o.service)
	}
	o.addService(service)
}
