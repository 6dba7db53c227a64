package pick

import (
	"errors"
	"math"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the choice by expected time.
const (
	// timeDraws is the number of targets of a place that are compared.
	timeDraws = 2
	// maxTries bounds the draws of one choice in a place. After them the targets
	// are tried in turn.
	maxTries = 8
	// minShare is the least probability with which a drawn target is compared.
	minShare = 0.02
	// minSlowness bounds the part of the slowness in what a target completes.
	minSlowness = 0.1
	// loadSpread is the difference of two loads from which the lesser one is
	// always chosen. Below it the choice is random, so that senders that see the
	// same statements do not all choose the same target.
	loadSpread = 0.2
	// timeRatio is the part that the logarithm of the ratio of two expected times
	// has in that choice. The expected time shows what the own calls saw when
	// statements come late.
	timeRatio = 0.5
	// spareLoad is the load up to which all calls stay in a place, and crowdedLoad
	// that from which all leave it if it is better elsewhere. Between them a
	// growing part leaves.
	spareLoad    = 0.9
	crowdedLoad  = 1.05
	farSpareLoad = 0.8
	farFullLoad  = 1.0
	// farExcess is the part of the excess of the near load over the limit by which
	// farFullLoad rises, up to maxFarFull: a region that is just full takes calls
	// of one that would refuse them.
	farExcess  = 0.5
	maxFarFull = 1.3
	// soonerPart is how much sooner a call must end in the other region to cross
	// the link while the own region has room, as a part of the time there.
	soonerPart = 0.25
	// goalPart and leftPart are the parts of the latency goal and of the time
	// left within which a call is in good time.
	goalPart = 0.3
	leftPart = 0.25
	// goodFactor and usualFactor bound that time from below and above, as multiples
	// of the operation's usual time: a call that always takes long is in time, one
	// at a straggler is not.
	goodFactor  = 1.5
	usualFactor = 3
)

// SetByExpectedTime changes the way of choosing, see Config.ByExpectedTime.
func (p *Picker) SetByExpectedTime(on bool) { p.cfg.ByExpectedTime = on }

// chooseByTime is [Picker.Choose] with Config.ByExpectedTime.
func (p *Picker) chooseByTime(now clock.Milli, q *Query) (Choice, error) {
	p.shareWork(now)
	o := p.operation(q.Op)
	own := p.bestAt(now, q, o, ownCentre)
	if own.t != nil && p.stays(q, o, &own) {
		return Choice{
			Target: own.t.Name,
		}, nil
	}
	near := p.better(q, o, own, p.bestAt(now, q, o, ownRegion))
	if near.isTrial || near.t != nil && near.load < spareLoad && p.isInTime(q, o, &near) {
		return Choice{
			Target: near.t.Name,
		}, nil
	}
	if far := p.bestAt(now, q, o, otherRegion); far.t != nil && p.crosses(now, q, &near, &far) {
		o.spill.allowed = true
		o.spill.decidedAt = now
		return Choice{
			Target: far.t.Name,
			Spill:  true,
		}, nil
	}
	if near.t == nil {
		return Choice{}, p.noTarget(q)
	}
	return Choice{
		Target: near.t.Name,
	}, nil
}

// stays reports whether a call stays in the own data centre without a look at
// others.
func (p *Picker) stays(q *Query, o *operation, own *estimate) bool {
	return own.isTrial || p.isInTime(q, o, own) && !p.leaves(own.load, spareLoad, crowdedLoad)
}

// leaves reports whether a call leaves a place of the load: never up to low,
// always from high, in between in proportion.
func (p *Picker) leaves(load, low, high float64) bool {
	return load > low && p.rand.Float64()*(high-low) < load-low
}

// isInTime reports whether the expected time is good enough for the call, so
// that a sooner end elsewhere is worth nothing.
func (p *Picker) isInTime(q *Query, o *operation, e *estimate) bool {
	bound := math.Inf(1)
	if q.LatencyGoal > 0 {
		bound = goalPart * float64(q.LatencyGoal)
	}
	if q.TimeLeft > 0 {
		bound = min(bound, leftPart*float64(q.TimeLeft))
	}
	if o.service > 0 {
		bound = min(max(bound, goodFactor*o.service), usualFactor*o.service)
	}
	return e.time <= bound
}

// better returns the better one of two estimates, either of which may be empty:
// the less loaded one if both are in good time, else the one that ends sooner.
// Targets thus get calls in proportion to what they complete.
func (p *Picker) better(q *Query, o *operation, a, b estimate) estimate {
	switch {
	case a.t == nil:
		return b
	case b.t == nil, a.isTrial:
		return a
	case b.isTrial:
		return b
	}
	inTime := p.isInTime(q, o, &a)
	switch {
	case inTime != p.isInTime(q, o, &b):
		if inTime {
			return a
		}
		return b
	case !inTime && a.time < b.time:
		return a
	case !inTime:
		return b
	}
	if p.rand.Float64() < 0.5+(b.load-a.load)/loadSpread+timeRatio*math.Log(b.time/a.time) {
		return a
	}
	return b
}

// crosses reports whether a call crosses the link to the other region rather
// than go to the near target, and takes its bytes from the budget if so.
func (p *Picker) crosses(now clock.Milli, q *Query, near, far *estimate) bool {
	if p.nearCount == 0 {
		return true
	}
	if q.TimeLeft > 0 && far.time >= float64(q.TimeLeft) {
		return false
	}
	pl := far.t.place
	switch {
	case near.t != nil && near.load < spareLoad && far.time >= near.time*(1-soonerPart):
		return false
	case !far.isKnown || pl.isSilent(now):
		if !pl.takeProbe(now) {
			return false
		}
	case p.leaves(far.load, farSpareLoad, farBound(near)):
		return false
	case near.t != nil && !p.endsSooner(near, far) && !p.mustLeave(q, near, far):
		return false
	}
	return p.cfg.LinkBudget.Take(now, q.Bytes, p.crossingReserve(q))
}

// farBound returns the load of a far target from which no call crosses to it.
func farBound(near *estimate) float64 {
	excess := maxFarFull
	if near.t != nil {
		excess = farExcess * max(0, near.load-1)
	}
	return min(maxFarFull, farFullLoad+excess)
}

// endsSooner reports whether a call ends clearly sooner at the far target.
func (p *Picker) endsSooner(near, far *estimate) bool {
	return far.time < near.time*(1-soonerPart)
}

// mustLeave reports whether a call leaves the own region because it is full, in
// proportion to how full it is, unless the answer would then come late.
func (p *Picker) mustLeave(q *Query, near, far *estimate) bool {
	if q.LatencyGoal > 0 && far.time > float64(q.LatencyGoal) && far.time > near.time {
		return false
	}
	return p.leaves(near.load, spareLoad, crowdedLoad)
}

// crossingReserve returns the part of the link's byte budget, in percent, that a
// call must leave: to more important calls, and as much again as it takes, so
// that calls with few bytes cross first.
func (p *Picker) crossingReserve(q *Query) int {
	return linkReserve(q.Importance) + p.cfg.LinkBudget.percent(q.Bytes)
}

// bestAt returns the better one of a few targets drawn at a distance, an empty
// estimate if none would take the call.
func (p *Picker) bestAt(now clock.Milli, q *Query, o *operation, d distance) estimate {
	targets := p.places[d].targets
	best := estimate{}
	compared := 0
	for range maxTries {
		if len(targets) == 0 || compared == timeDraws {
			return best
		}
		t := targets[p.rand.IntN(len(targets))]
		if (len(targets) > 1 && p.rand.Float64() >= t.share) || !p.takes(now, q, t) {
			continue
		}
		compared++
		if t.isFailing(now) && !p.allFail {
			best = p.estimateOf(now, q, o, t)
			best.isTrial = true
			return best
		}
		if t != best.t {
			best = p.better(q, o, best, p.estimateOf(now, q, o, t))
		}
	}
	if best.t != nil {
		return best
	}
	first := p.rand.IntN(len(targets))
	for i := range targets {
		if t := targets[(first+i)%len(targets)]; p.takes(now, q, t) {
			return p.estimateOf(now, q, o, t)
		}
	}
	return best
}

// takes reports whether t may be chosen for a call and is expected to neither
// refuse nor fail it. A failing target is tried from time to time.
func (p *Picker) takes(now clock.Milli, q *Query, t *target) bool {
	if slices.Contains(q.Exclude, t.Name) || !t.admits(now, q) {
		return false
	}
	return p.allFail || !t.isFailing(now) || t.mayTryFailing(now)
}

// finishedByTime is [Picker.Finished] with Config.ByExpectedTime.
func (p *Picker) finishedByTime(now clock.Milli, t *target, o *operation, f *inFlight, outcome Outcome) {
	took := now - f.at
	switch outcome {
	case Done:
		o.add(took)
		t.place.answered()
		t.addOutcome(now, false)
		p.recordTime(now, t, o, f, took)
	case Failed:
		t.addOutcome(now, true)
		t.addSample(now, max(f.slowness(now), t.averageSlowness))
	case Canceled:
		if slow := f.slowness(now); slow > latencyTolerance {
			t.place.addExcess(now, float64(took)-f.allowed-t.averageSlowness*o.service)
			t.addSample(now, canceledSlowness*slow)
		}
	case Refused:
		t.place.answered()
	}
}

// noTarget returns the error for a call that no target takes.
func (p *Picker) noTarget(q *Query) error {
	const op = "choose"
	for _, t := range p.targets {
		if !t.Leaving && !slices.Contains(q.Exclude, t.Name) {
			return &Error{
				Op:   op,
				Kind: AllWouldRefuse,
				Err:  errors.New("every target would refuse"),
			}
		}
	}
	return &Error{
		Op:   op,
		Kind: Empty,
		Err:  errors.New("all targets are leaving or excluded"),
	}
}

// shareWork updates, at intervals, how often each target is drawn: in proportion
// to what it completes, less if it was ejected.
func (p *Picker) shareWork(now clock.Milli) {
	if now-p.sharedAt < adjustEvery {
		return
	}
	p.sharedAt = now
	p.allFail = true
	for d := range p.places {
		targets := p.places[d].targets
		stated := true
		for _, t := range targets {
			stated = stated && t.report.Throughput > 0
			p.allFail = p.allFail && t.isFailing(now)
		}
		most := 0.0
		for _, t := range targets {
			t.share = t.capacity(now, stated)
			most = max(most, t.share)
		}
		for _, t := range targets {
			t.share = max(minShare, t.weight*t.share/most)
		}
	}
}

// capacity returns what t completes in relation to other targets: its stated
// throughput if all have stated one, else its slots by its own view of its speed.
func (t *target) capacity(now clock.Milli, stated bool) float64 {
	if stated {
		return t.report.Throughput * t.ramp(now)
	}
	slots := t.Slots
	if limit := t.report.lane(rules.Short).Limit; limit > 0 && t.hasFreshReport(now) {
		slots = min(slots, limit)
	}
	return float64(max(slots, 1)) * t.ramp(now) / max(t.averageSlowness, minSlowness)
}
