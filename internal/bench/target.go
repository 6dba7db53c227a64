package bench

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
)

// outcome is how a call ended, with what rides on its answer.
type outcome struct {
	result    pick.Outcome
	unspent   int
	threshold admit.Threshold
	hint      pick.LoadReport
}

// visit is a call at a target.
type visit struct {
	op      *Operation
	req     *request
	depth   int
	purse   *retry.Budget
	work    admit.Request
	began   micro
	ended   bool
	respond func(outcome)
}

// target is a fake target behind its gate, or behind a plain queue if the
// system has no control.
type target struct {
	f       *fleet
	d       *daemon
	gate    *admit.Gate
	visits  map[uint64]*visit
	slots   int
	bound   int
	running int
	fifo    []*visit
}

func newTarget(f *fleet, d *daemon) *target {
	service := f.scene.Deployment.Services[d.service]
	bound := service.Conns
	if f.system.QueueFactor > 0 {
		bound = service.Slots * (1 + f.system.QueueFactor)
	}
	return &target{
		f: f,
		d: d,
		gate: admit.New(admit.Config{
			Slots: service.Slots,
			Conns: service.Conns,
		}),
		visits: make(map[uint64]*visit),
		slots:  service.Slots,
		bound:  bound,
	}
}

// arrive takes a call that came over the network.
func (t *target) arrive(v *visit) {
	if !t.f.system.Control {
		t.arrivePlain(v)
		return
	}
	t.f.seq++
	v.work = admit.Request{
		Seq:        t.f.seq,
		Path:       v.op.Path,
		Importance: v.req.importance,
		RootHash:   v.req.root,
		Depth:      v.depth,
		Deadline:   v.req.deadline.milli(),
		Cost:       v.op.Cost,
	}
	if !t.f.system.LongLane {
		v.work.Cost = rules.Short
	}
	if t.f.system.IgnoreImportance {
		v.work.Importance = rules.Normal
	}
	t.visits[v.work.Seq] = v
	d := t.gate.Offer(t.f.now(), v.work)
	t.f.result.order.gate(t, v, d)
	for _, w := range d.Evicted {
		t.refuse(w.Seq)
	}
	switch d.Verdict {
	case admit.Run:
		t.begin(v)
	case admit.Refuse:
		t.refuse(v.work.Seq)
	}
}

func (t *target) arrivePlain(v *visit) {
	switch {
	case t.running < t.slots:
		t.running++
		t.begin(v)
	case t.running+len(t.fifo) < t.bound:
		t.fifo = append(t.fifo, v)
	default:
		t.respond(v, pick.Refused)
	}
}

func (t *target) refuse(seq uint64) {
	v := t.visits[seq]
	delete(t.visits, seq)
	t.respond(v, pick.Refused)
}

func (t *target) respond(v *visit, result pick.Outcome) {
	o := outcome{
		result:  result,
		unspent: v.purse.Units(),
	}
	if t.f.system.Control {
		o.threshold = t.gate.Threshold()
		o.hint = t.hint()
		if deeper := v.op.Calls; deeper != nil {
			floor := t.d.pickers[deeper.Service].MinThreshold(t.f.now(), deeper.Path)
			o.threshold = o.threshold.Max(floor)
		}
	}
	v.respond(o)
}

func (t *target) hint() pick.LoadReport {
	if !t.f.system.Control {
		return pick.LoadReport{}
	}
	lanes := t.gate.Stats(t.f.now()).Lanes
	return pick.LoadReport{
		Short: lane(lanes[rules.Short]),
		Long:  lane(lanes[rules.Long]),
	}
}

func lane(l admit.Lane) pick.Lane {
	return pick.Lane{
		Running: l.Running + l.Queued,
		Limit:   l.Limit,
	}
}

// begin serves v: half of the own time, the deeper call, the other half. With
// control the work is canceled at its deadline.
func (t *target) begin(v *visit) {
	v.began = t.f.at
	own := micro(float64(toMicro(v.op.OwnTime)) * t.f.slowdown(t.d.service, t.d.centre, t.d.rank))
	if v.op.Cost == rules.Short {
		own = t.f.vary(own)
	}
	if t.f.system.Control {
		t.f.after(v.req.deadline-t.f.at, func() { t.end(v, pick.Failed) })
	}
	if v.op.Calls == nil {
		t.f.after(own, func() { t.end(v, pick.Done) })
		return
	}
	t.f.after(own/2, func() { t.deeper(v, max(1, v.op.CallCount), own/2) })
}

// deeper makes the calls of v that are left, then serves the rest of it.
func (t *target) deeper(v *visit, left int, rest micro) {
	if v.ended {
		return
	}
	if left == 0 {
		t.f.after(rest, func() { t.end(v, pick.Done) })
		return
	}
	share := v.purse.Split(left)
	t.d.send(v.op.Calls, v.req, v.depth+1, share, func(result pick.Outcome, unspent int) {
		v.purse.Return(share, unspent)
		if result != pick.Done {
			t.end(v, pick.Failed)
			return
		}
		t.deeper(v, left-1, rest)
	})
}

// end frees the slot of v, answers, and starts what waits.
func (t *target) end(v *visit, result pick.Outcome) {
	if v.ended {
		return
	}
	v.ended = true
	t.f.result.spend(t.f.at, v)
	if !t.f.system.Control {
		t.endPlain(v, result)
		return
	}
	delete(t.visits, v.work.Seq)
	took := (t.f.at - v.began).milli()
	if result != pick.Done {
		took = -1
	}
	started, expired := t.gate.Done(t.f.now(), v.work, took)
	t.follow(started, expired)
	t.respond(v, result)
}

// cancel ends a call that its sender gave up, whether it runs or waits.
func (t *target) cancel(v *visit) {
	if t.f.system.Control && v.began == 0 && t.gate.Cancel(t.f.now(), v.work.Seq) {
		v.ended = true
		delete(t.visits, v.work.Seq)
		return
	}
	if v.began > 0 {
		t.end(v, pick.Canceled)
	}
}

func (t *target) endPlain(v *visit, result pick.Outcome) {
	t.running--
	if len(t.fifo) > 0 {
		next := t.fifo[0]
		t.fifo = t.fifo[1:]
		t.running++
		t.begin(next)
	}
	t.respond(v, result)
}

// follow does what the gate decided for queued works.
func (t *target) follow(started, expired []admit.Request) {
	for _, w := range started {
		t.begin(t.visits[w.Seq])
	}
	for _, w := range expired {
		t.refuse(w.Seq)
	}
}

func (t *target) tick() {
	if t.f.system.Control {
		t.follow(t.gate.Tick(t.f.now()))
	}
}
