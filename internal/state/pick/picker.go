package pick

import (
	"errors"
	"math/rand/v2"
	"slices"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Picker chooses the targets for the calls of one service. See the package
// comment.
type Picker struct {
	cfg        Config
	rand       *rand.Rand
	targets    []*target
	byName     map[string]*target
	operations map[string]*operation
	ejector    ejector
	lastCallID uint64
	roundRobin int

	// nearCount is the number of targets in the region that are not leaving.
	nearCount int
	// near and far hold the targets in the own region and in the other one
	// that would admit the query of the present choice.
	near, far []*target
	// ownCentre holds the targets of near that are in the own data centre.
	ownCentre []*target

	// places holds the targets by distance. Their shares were updated at
	// sharedAt.
	places   [distances]place
	sharedAt clock.Milli
	// allFail is set while every target is failing.
	allFail bool
}

// New returns a picker without targets.
func New(cfg Config) *Picker {
	if cfg.Draws < 1 {
		cfg.Draws = DefaultDraws
	}
	if cfg.LinkBudget == nil {
		cfg.LinkBudget = NewBucket(0, 0)
	}
	p := &Picker{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byName:     make(map[string]*target),
		operations: make(map[string]*operation),
	}
	for d := range p.places {
		p.places[d] = newPlace(distance(d))
	}
	return p
}

// SetTargets replaces the candidates. The state observed of a target is kept
// unless the target is gone or its start time changed.
func (p *Picker) SetTargets(candidates []Candidate) {
	p.nearCount = 0
	byName := make(map[string]*target, len(candidates))
	targets := make([]*target, 0, len(candidates))
	for _, c := range candidates {
		t, ok := p.byName[c.Name]
		if !ok || t.Started != c.Started {
			t = newTarget(c)
		}
		t.Candidate = c
		byName[c.Name] = t
		if !c.Leaving && c.Region == p.cfg.Region {
			p.nearCount++
		}
		targets = append(targets, t)
	}
	p.byName = byName
	p.targets = targets
	p.setPlaces()
}

// Choose returns the target for a call. The error is an [*Error] of kind
// [Empty] if every target is leaving or excluded, or of kind [AllWouldRefuse] if every
// other target would refuse the request.
func (p *Picker) Choose(now clock.Milli, q Query) (Choice, error) {
	p.ejector.adjust(now, p.targets)
	p.operation(q.Op).cost = q.Cost
	if p.cfg.ByExpectedTime {
		return p.chooseByTime(now, &q)
	}
	const op = "choose"
	if p.classify(now, &q) == 0 {
		return Choice{}, &Error{
			Op:   op,
			Kind: Empty,
			Err:  errors.New("all targets are leaving or excluded"),
		}
	}
	if p.cfg.RoundRobin && len(p.near) > 0 {
		return p.nextInTurn(), nil
	}
	if p.shouldSpill(now, &q) && (p.nearCount == 0 || p.cfg.LinkBudget.Take(now, q.Bytes, linkReserve(q.Importance))) {
		return Choice{
			Target: p.best(now, p.far, q.Cost).Name,
			Spill:  true,
		}, nil
	}
	if len(p.near) == 0 {
		return Choice{}, &Error{
			Op:   op,
			Kind: AllWouldRefuse,
			Err:  errors.New("every target would refuse"),
		}
	}
	if p.cfg.OwnCentreFirst && len(p.ownCentre) > 0 {
		if t := p.best(now, p.ownCentre, q.Cost); p.score(now, t, q.Cost).isCold() {
			return Choice{
				Target: t.Name,
			}, nil
		}
	}
	return Choice{
		Target: p.best(now, p.near, q.Cost).Name,
	}, nil
}

// classify sorts the targets that would admit q into near and far ones. It
// returns the number of targets that are neither leaving nor excluded.
func (p *Picker) classify(now clock.Milli, q *Query) int {
	p.near = p.near[:0]
	p.far = p.far[:0]
	p.ownCentre = p.ownCentre[:0]
	usable := 0
	for _, t := range p.targets {
		if t.Leaving || slices.Contains(q.Exclude, t.Name) {
			continue
		}
		usable++
		if !t.admits(now, q) {
			continue
		}
		if t.Region != p.cfg.Region {
			p.far = append(p.far, t)
			continue
		}
		p.near = append(p.near, t)
		if t.Centre == p.cfg.Centre {
			p.ownCentre = append(p.ownCentre, t)
		}
	}
	return usable
}

// nextInTurn returns the near targets in round-robin order.
func (p *Picker) nextInTurn() Choice {
	p.roundRobin++
	return Choice{
		Target: p.near[p.roundRobin%len(p.near)].Name,
	}
}

// Started records that a call of the operation was sent to the named target.
// The returned Call identifies it to [Picker.Finished].
func (p *Picker) Started(now clock.Milli, name, op string) Call {
	p.lastCallID++
	c := Call{
		id: p.lastCallID,
		at: now,
		to: name,
		op: op,
	}
	if t, ok := p.byName[name]; ok {
		t.calls[c.id] = p.newInFlight(now, t, p.operation(op))
	}
	return c
}

// newInFlight returns the state of a call that is sent to t.
func (p *Picker) newInFlight(now clock.Milli, t *target, o *operation) inFlight {
	f := inFlight{
		at:           now,
		usualLatency: o.usualLatency(),
		cost:         o.cost,
	}
	if p.cfg.ByExpectedTime {
		e := p.estimateOf(now, &Query{
			Cost: o.cost,
		}, o, t)
		f.usualLatency = o.service
		f.wait = e.wait
		f.allowed = e.wait + e.network
		t.place.sent(now, clock.Milli(usualFactor*e.time))
	}
	return f
}

// Finished records the outcome of a call.
func (p *Picker) Finished(now clock.Milli, c Call, outcome Outcome) {
	t, ok := p.byName[c.to]
	if !ok {
		return
	}
	f, known := t.calls[c.id]
	delete(t.calls, c.id)
	o := p.operation(c.op)
	if p.cfg.ByExpectedTime {
		if !known {
			return
		}
		p.finishedByTime(now, t, o, &f, outcome)
		return
	}
	usual := o.usualLatency()
	took := now - c.at
	switch outcome {
	case Done:
		o.add(took)
		if usual > 0 {
			t.addSample(now, float64(took)/usual)
		}
	case Failed:
		t.addSample(now, max(failedSlowness, t.averageSlowness))
	case Canceled:
		if usual > 0 && float64(took)/usual > latencyTolerance {
			t.addSample(now, canceledSlowness*float64(took)/usual)
		}
	case Refused:
	}
}

// operation returns the state of the operation and creates it on first use.
func (p *Picker) operation(op string) *operation {
	o, ok := p.operations[op]
	if !ok {
		o = &operation{}
		p.operations[op] = o
	}
	return o
}

// ReportLoad records a load report of a target, received with an answer or a
// probe. It ignores a report that is older than the last one.
func (p *Picker) ReportLoad(now clock.Milli, name string, report LoadReport) {
	t, ok := p.byName[name]
	if !ok || now-report.Age < t.reportedAt {
		return
	}
	t.report = report
	t.reportedAt = now - report.Age
	limit := max(report.Short.Limit, 1)
	t.place.addReport(now, report.Age, float64(report.Short.Running)/float64(limit))
}

// ReportThreshold records the admission threshold that a target stated for an
// operation.
func (p *Picker) ReportThreshold(now clock.Milli, name, op string, threshold admit.Threshold) {
	t, ok := p.byName[name]
	if !ok {
		return
	}
	s := statedThreshold{
		target:    name,
		threshold: threshold,
		at:        now,
	}
	t.thresholds[op] = s
	o := p.operation(op)
	if t.Region == p.cfg.Region {
		o.nearThresholds.add(s)
	} else {
		o.farThresholds.add(s)
	}
}

// MinThreshold returns the most permissive threshold for the operation over
// all targets, an open one if too few targets have stated theirs. Targets of
// the other region count only while the link has the budget for calls of
// normal importance. A daemon combines it with the threshold that it states
// for the operations that call this one.
func (p *Picker) MinThreshold(now clock.Milli, op string) admit.Threshold {
	return p.minThreshold(now, op, rules.Normal)
}

// AllWouldRefuse reports whether every target would refuse a request, so that the
// request should be refused before any work is done for it.
func (p *Picker) AllWouldRefuse(now clock.Milli, op string, importance rules.Importance, rootHash uint64) bool {
	return !p.minThreshold(now, op, importance).Passes(importance, rootHash)
}

// minThreshold is MinThreshold for a given importance, which decides whether
// the link has the budget for its calls. Targets of the other region can only
// lower the result, and only if enough near targets have stated a threshold.
func (p *Picker) minThreshold(now clock.Milli, op string, importance rules.Importance) admit.Threshold {
	o, ok := p.operations[op]
	if !ok {
		return admit.Threshold{}
	}
	near, known := o.nearThresholds.mostPermissive(now, p.nearCount)
	if !known || !p.maySpill(now, o) || !p.cfg.LinkBudget.Permits(now, 1, linkReserve(importance)) {
		return near
	}
	far, known := o.farThresholds.mostPermissive(now, len(p.targets))
	if !known {
		return near
	}
	return near.Min(far)
}

// maySpill reports whether calls of the operation may go to the other region, or
// lately did.
func (p *Picker) maySpill(now clock.Milli, o *operation) bool {
	if p.cfg.ByExpectedTime {
		return o.spill.allowed && now-o.spill.decidedAt < thresholdLifetime
	}
	return o.spill.allowed
}

// HedgeDelay returns how long to wait for an answer of the operation before a
// second attempt is worth its cost, 0 if too few calls have finished. It is a
// high percentile of the latency within bounds around the median. Below the
// lower bound too many healthy calls would be hedged. The upper bound is
// needed because calls of a slow target raise the percentile itself.
func (p *Picker) HedgeDelay(op string) clock.Milli {
	o, ok := p.operations[op]
	if !ok || o.samples < hedgeMinSamples {
		return 0
	}
	return max(o.median*hedgeMinPercent/100, min(o.highLatency, o.median*hedgeMaxPercent/100))
}
