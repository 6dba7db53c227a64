package pick

import (
	"errors"
	"math/rand/v2"
	"slices"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Picker chooses targets of one service. See the package comment.
type Picker struct {
	cfg        Config
	rand       *rand.Rand
	targets    []*target
	byName     map[string]*target
	operations map[string]*operation
	outlier    outlier
	flight     uint64
	turn       int

	// nearby is the number of targets in the region that are not leaving.
	nearby    int
	near, far []*target
	// own holds those of near that are in the own centre.
	own []*target
}

// New returns a picker without targets.
func New(cfg Config) *Picker {
	if cfg.Draws < 1 {
		cfg.Draws = DefaultDraws
	}
	if cfg.LinkBudget == nil {
		cfg.LinkBudget = NewBucket(0, 0)
	}
	return &Picker{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byName:     make(map[string]*target),
		operations: make(map[string]*operation),
	}
}

// SetTargets replaces the candidates. What is known of a target that stays is
// kept, unless its start changed.
func (p *Picker) SetTargets(candidates []Candidate) {
	p.nearby = 0
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
			p.nearby++
		}
		targets = append(targets, t)
	}
	p.byName = byName
	p.targets = targets
}

// Choose returns the target for a call. The error is an [*Error]: of kind
// Empty if no target may be used, of kind Doomed if all would refuse.
func (p *Picker) Choose(now clock.Milli, q Query) (Choice, error) {
	p.outlier.judge(now, p.targets)
	p.operation(q.Op).cost = q.Cost
	const op = "choose"
	if p.split(now, &q) == 0 {
		return Choice{}, &Error{
			Op:   op,
			Kind: Empty,
			Err:  errors.New("all targets are leaving or excluded"),
		}
	}
	if p.cfg.RoundRobin && len(p.near) > 0 {
		return p.next(), nil
	}
	if p.wantsFar(now, &q) && (p.nearby == 0 || p.cfg.LinkBudget.Take(now, q.Bytes, reserve(q.Importance))) {
		return Choice{
			Target: p.best(now, p.far, q.Cost).Name,
			Spill:  true,
		}, nil
	}
	if len(p.near) == 0 {
		return Choice{}, &Error{
			Op:   op,
			Kind: Doomed,
			Err:  errors.New("every target would refuse"),
		}
	}
	if p.cfg.OwnCentreFirst && len(p.own) > 0 {
		if t := p.best(now, p.own, q.Cost); p.view(now, t, q.Cost).isCold() {
			return Choice{
				Target: t.Name,
			}, nil
		}
	}
	return Choice{
		Target: p.best(now, p.near, q.Cost).Name,
	}, nil
}

// split sorts the targets that may take q into near and far ones, and returns
// the number of those that may be used at all.
func (p *Picker) split(now clock.Milli, q *Query) int {
	p.near = p.near[:0]
	p.far = p.far[:0]
	p.own = p.own[:0]
	usable := 0
	for _, t := range p.targets {
		if t.Leaving || slices.Contains(q.Exclude, t.Name) {
			continue
		}
		usable++
		if !t.passes(now, q) {
			continue
		}
		if t.Region != p.cfg.Region {
			p.far = append(p.far, t)
			continue
		}
		p.near = append(p.near, t)
		if t.Centre == p.cfg.Centre {
			p.own = append(p.own, t)
		}
	}
	return usable
}

// next returns the near targets in turns.
func (p *Picker) next() Choice {
	p.turn++
	return Choice{
		Target: p.near[p.turn%len(p.near)].Name,
	}
}

// Started records that a call of the operation was sent to the target. The
// flight returned stands for the call until Finished.
func (p *Picker) Started(now clock.Milli, name, op string) Call {
	p.flight++
	f := Call{
		id: p.flight,
		at: now,
		to: name,
		op: op,
	}
	if t, ok := p.byName[name]; ok {
		o := p.operation(op)
		t.flights[f.id] = flight{
			at:   now,
			base: o.base(),
			cost: o.cost,
		}
	}
	return f
}

// Finished records that the call of f ended.
func (p *Picker) Finished(now clock.Milli, f Call, outcome Outcome) {
	t, ok := p.byName[f.to]
	if !ok {
		return
	}
	delete(t.flights, f.id)
	o := p.operation(f.op)
	base := o.base()
	took := now - f.at
	switch outcome {
	case Done:
		o.add(took)
		if base > 0 {
			t.learn(now, float64(took)/base)
		}
	case Failed:
		t.learn(now, max(failedSlowness, t.slow))
	case Canceled:
		if base > 0 && float64(took)/base > sameLatency {
			t.learn(now, canceledSlowness*float64(took)/base)
		}
	case Refused:
	}
}

// operation returns what is known of an operation.
func (p *Picker) operation(op string) *operation {
	o, ok := p.operations[op]
	if !ok {
		o = &operation{}
		p.operations[op] = o
	}
	return o
}

// ReportLoad records a target's report of its load, from a probe or an answer.
func (p *Picker) ReportLoad(now clock.Milli, name string, h LoadReport) {
	t, ok := p.byName[name]
	if !ok || now-h.Age < t.hintAt {
		return
	}
	t.hint = h
	t.hintAt = now - h.Age
}

// ReportThreshold records the threshold that a target stated for an operation.
func (p *Picker) ReportThreshold(now clock.Milli, name, op string, threshold admit.Threshold) {
	t, ok := p.byName[name]
	if !ok {
		return
	}
	s := statement{
		target:    name,
		threshold: threshold,
		at:        now,
	}
	t.thresholds[op] = s
	o := p.operation(op)
	if t.Region == p.cfg.Region {
		o.near.add(s)
	} else {
		o.far.add(s)
	}
}

// MinThreshold returns the least threshold for the operation over the targets, open
// if too few are known. Far targets count only while the link can carry calls
// of normal importance. A daemon adds the floor to the threshold that it
// states for the operations that call this one.
func (p *Picker) MinThreshold(now clock.Milli, op string) admit.Threshold {
	return p.floor(now, op, rules.Normal)
}

// Doomed reports whether a request would be refused by every target, so that
// it should be refused before any work is done for it.
func (p *Picker) Doomed(now clock.Milli, op string, importance rules.Importance, root uint64) bool {
	return !p.floor(now, op, importance).Passes(importance, root)
}

// floor is Floor with the link's budget for the importance. Far targets can
// only lower what enough near ones state.
func (p *Picker) floor(now clock.Milli, op string, importance rules.Importance) admit.Threshold {
	o, ok := p.operations[op]
	if !ok {
		return admit.Threshold{}
	}
	near, known := o.near.least(now, p.nearby)
	if !known || !o.spill.on || !p.cfg.LinkBudget.Permits(now, 1, reserve(importance)) {
		return near
	}
	far, known := o.far.least(now, len(p.targets))
	if !known {
		return near
	}
	return near.Min(far)
}

// HedgeDelay returns how long to wait for an answer of the operation before a
// second attempt is worth its cost, 0 if that is not known yet. It is a high
// quantile within bounds around the median: below them too many sound calls
// would be hedged, and while a target is slow the quantile is one of its calls.
func (p *Picker) HedgeDelay(op string) clock.Milli {
	o, ok := p.operations[op]
	if !ok || o.n < hedgeLeast {
		return 0
	}
	return max(o.median*hedgeLow/100, min(o.late, o.median*hedgeHigh/100))
}
