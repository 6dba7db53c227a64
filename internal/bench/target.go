package bench

import (
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// outcome is the end of a call at a target, with the feedback on its answer.
type outcome struct {
	result     pick.Outcome
	unspent    int
	threshold  admit.Threshold
	loadReport pick.LoadReport
	needs      []room.Need
}

// inboundCall is a call at its target.
type inboundCall struct {
	op           *Operation
	req          *requestContext
	depth        int
	budget       *retry.Budget
	admitRequest admit.Request
	began        micro
	ended        bool
	respond      func(outcome)
	// needs are the overloaded services that the calls of the request needed.
	needs []room.Need
	// expected is the time that it was expected to need a slot for.
	expected clock.Milli
}

// rejectTime is the time that a target takes to reject a request.
const rejectTime = perMilli

// target is a fake target behind a gate. Without control it has a plain queue
// instead.
type target struct {
	f        *fleet
	d        *daemon
	gate     *admit.Gate
	calls    map[uint64]*inboundCall
	slots    int
	maxCalls int
	running  int
	queue    []*inboundCall
}

func newTarget(f *fleet, d *daemon) *target {
	service := f.scenario.Deployment.Services[d.service]
	maxCalls := service.Conns
	gateSlots := service.Slots
	if u := f.scenario.Uneven; u != nil && u.Statements.Learned {
		gateSlots = u.kneeLimit(service.Slots)
	}
	if f.system.QueueFactor > 0 {
		maxCalls = service.Slots * (1 + f.system.QueueFactor)
	}
	return &target{
		f: f,
		d: d,
		gate: admit.New(admit.Config{
			Slots: gateSlots,
			Conns: service.Conns,
		}),
		calls:    make(map[uint64]*inboundCall),
		slots:    service.Slots,
		maxCalls: maxCalls,
	}
}

// arrive handles a call that arrives over the network.
func (t *target) arrive(c *inboundCall) {
	if !t.f.system.Control {
		t.arriveUncontrolled(c)
		return
	}
	t.f.result.crossing.arrivals[t.d.centre][t.f.now()/binLength]++
	t.recordArrival(c)
	t.f.seq++
	c.admitRequest = admit.Request{
		Seq:        t.f.seq,
		Path:       c.op.Path,
		Importance: c.req.importance,
		RootHash:   c.req.rootHash,
		Depth:      c.depth,
		LetIn:      t.f.learns() && c.depth > 0,
		Deadline:   c.req.deadline.milli(),
		Cost:       c.op.Cost,
	}
	if !t.f.system.LongLane {
		c.admitRequest.Cost = rules.Short
	}
	if t.f.system.IgnoreImportance {
		c.admitRequest.Importance = rules.Normal
	}
	t.calls[c.admitRequest.Seq] = c
	d := t.gate.Offer(t.f.now(), c.admitRequest)
	t.f.result.shedCheck.checkGate(t, c, d)
	for _, r := range d.Evicted {
		t.refuse(r.Seq)
	}
	switch d.Verdict {
	case admit.Run:
		t.serve(c)
	case admit.Refuse:
		t.refuse(c.admitRequest.Seq)
	}
}

func (t *target) arriveUncontrolled(c *inboundCall) {
	switch {
	case t.running < t.slots:
		t.running++
		t.serve(c)
	case t.running+len(t.queue) < t.maxCalls:
		t.queue = append(t.queue, c)
	default:
		t.respond(c, pick.Refused)
	}
}

func (t *target) refuse(seq uint64) {
	c := t.calls[seq]
	delete(t.calls, seq)
	t.respond(c, pick.Refused)
}

func (t *target) respond(c *inboundCall, result pick.Outcome) {
	o := outcome{
		result:  result,
		unspent: c.budget.Units(),
	}
	if t.f.system.Control {
		o.threshold = t.gate.Threshold()
		o.loadReport = t.loadReport()
		o.needs = c.needs
		if downstream := c.op.Calls; downstream != nil {
			downstreamThreshold := t.d.pickers[downstream.Service].MinThreshold(t.f.now(), downstream.Path)
			o.threshold = o.threshold.Max(downstreamThreshold)
		}
	}
	c.respond(o)
}

func (t *target) loadReport() pick.LoadReport {
	if !t.f.system.Control {
		return pick.LoadReport{}
	}
	lanes := t.gate.Stats(t.f.now()).Lanes
	report := t.learned(pick.LoadReport{
		Short: laneLoad(lanes[rules.Short]),
		Long:  laneLoad(lanes[rules.Long]),
	})
	if u := t.f.scenario.Uneven; u != nil {
		report.Age = u.Statements.Delay
	}
	return report
}

func laneLoad(l admit.Lane) pick.Lane {
	return pick.Lane{
		Running: l.Running + l.Queued,
		Limit:   l.Limit,
	}
}

// serve runs c in a slot: half of its own time, its downstream calls, then the
// other half. With control the call is cancelled at its deadline.
func (t *target) serve(c *inboundCall) {
	c.began = t.f.at
	if t.rejects() {
		t.f.after(rejectTime, func() { t.end(c, pick.Refused) })
		return
	}
	if t.failsFast() {
		t.f.after(rejectTime, func() { t.end(c, pick.Failed) })
		return
	}
	ownTime := micro(float64(toMicro(c.op.OwnTime)) * t.f.slowdown(t.d.service, t.d.centre, t.d.index))
	if c.op.Cost == rules.Short {
		ownTime = t.f.jitter(ownTime)
	}
	if t.f.system.Control {
		t.f.after(c.req.deadline-t.f.at, func() { t.end(c, pick.Failed) })
	}
	if c.op.Calls == nil {
		t.f.after(ownTime, func() { t.end(c, pick.Done) })
		return
	}
	t.f.after(ownTime/2, func() { t.callDownstream(c, max(1, c.op.CallCount), ownTime/2) })
}

// rejects reports whether the target rejects the request that begins.
func (t *target) rejects() bool {
	s := t.f.scenario
	if s.RejectPercent == 0 || t.d.service != s.Deployment.DeepService || !s.isDisturbed(t.f.now()) {
		return false
	}
	return t.f.rand.IntN(100) < s.RejectPercent
}

// callDownstream makes the remaining downstream calls of c one after the other,
// then serves the rest of its own time.
func (t *target) callDownstream(c *inboundCall, callsLeft int, rest micro) {
	if c.ended {
		return
	}
	if callsLeft == 0 {
		t.f.after(rest, func() { t.end(c, pick.Done) })
		return
	}
	units := c.budget.Split(callsLeft)
	t.d.sendFrom(c, c.op.Calls, c.req, c.depth+1, units, func(result pick.Outcome, unspent int) {
		c.budget.Return(units, unspent)
		if result != pick.Done {
			t.end(c, pick.Failed)
			return
		}
		t.callDownstream(c, callsLeft-1, rest)
	})
}

// end frees the slot of c, answers it, and starts queued calls.
func (t *target) end(c *inboundCall, result pick.Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	t.f.result.recordSlotTime(t.f.at, c)
	if !t.f.system.Control {
		t.endUncontrolled(c, result)
		return
	}
	delete(t.calls, c.admitRequest.Seq)
	t.recordEnd(c)
	duration := (t.f.at - c.began).milli()
	if result != pick.Done {
		duration = -1
	}
	started, expired := t.gate.Done(t.f.now(), c.admitRequest, duration)
	t.apply(started, expired)
	t.respond(c, result)
}

// cancel ends a call that its sender gave up, whether it is running or queued.
func (t *target) cancel(c *inboundCall) {
	if t.f.system.Control && c.began == 0 && t.gate.Cancel(t.f.now(), c.admitRequest.Seq) {
		c.ended = true
		delete(t.calls, c.admitRequest.Seq)
		return
	}
	if c.began > 0 {
		t.end(c, pick.Canceled)
	}
}

func (t *target) endUncontrolled(c *inboundCall, result pick.Outcome) {
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.serve(next)
	}
	t.respond(c, result)
}

// apply carries out the gate's decisions on queued requests.
func (t *target) apply(started, expired []admit.Request) {
	for _, r := range started {
		t.serve(t.calls[r.Seq])
	}
	for _, r := range expired {
		t.refuse(r.Seq)
	}
}

func (t *target) tick() {
	if t.f.system.Control {
		t.apply(t.gate.Tick(t.f.now()))
	}
}
