package faults

import (
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of a guarding daemon, the daemon beside a target.
const (
	maxQueueDelay = 1 * clock.Second
	// maxHold is the longest wait of a held request; after it, the request is
	// refused.
	maxHold = 3 * clock.Second
)

// host is an address at which one daemon process after another runs.
type host struct {
	name   string
	side   int
	daemon *daemon
}

// daemon is one process (incarnation) of the guarding daemon of a host.
type daemon struct {
	w             *world
	host          *host
	proc          *proc
	incarnation   uint64
	table         *guard.Table
	handoverStore *guard.HandoverStore
	waiters       map[string][]func(guard.Verdict)
	stopping      *stopping
}

// boot starts a new process on h, which takes over the address. The earlier
// process may still be alive.
func (w *world) boot(h *host) {
	w.processes++
	cfg := w.cfg.table
	cfg.Window = window
	cfg.Incarnation = w.processes
	cfg.Now = w.now
	h.daemon = &daemon{
		w:           w,
		host:        h,
		proc:        &proc{},
		incarnation: w.processes,
		table:       guard.New(cfg),
		handoverStore: guard.NewHandoverStore(guard.HandoverStoreConfig{
			Window: window,
		}),
		waiters: make(map[string][]func(guard.Verdict)),
	}
}

// arrive handles a request or a status query with a ticket. The reply may come
// later, or never.
func (d *daemon) arrive(tk ticket.Ticket, query bool, reply func(guard.Verdict)) {
	respond := func(v guard.Verdict) {
		d.w.checker.reported(tk.ID, v)
		d.w.countVerdict(v)
		reply(v)
	}
	if d.w.defect == IgnoreUnmarked && !query && !d.w.isMarked() {
		d.execute(tk.ID)
		d.waiters[tk.ID] = append(d.waiters[tk.ID], respond)
		return
	}
	v := d.decide(d.acceptForeign(tk), query)
	switch {
	case v.Status == guard.Fresh:
		d.hold(tk, respond)
	case v.Status == guard.Running && !query && d.w.chance(50):
		d.waiters[tk.ID] = append(d.waiters[tk.ID], respond)
	default:
		respond(v)
	}
}

// decide returns the verdict of the table, or of the handover store if the
// ticket names another incarnation.
func (d *daemon) decide(tk ticket.Ticket, query bool) guard.Verdict {
	now := d.w.now
	if query {
		if d.w.defect == NoFence && d.isUnseen(tk) {
			return guard.Verdict{Status: guard.NotRun}
		}
		return d.orFromStore(d.table.Query(now, tk), func() (guard.Verdict, bool) { return d.handoverStore.Query(now, tk) })
	}
	v := d.table.Begin(now, tk, digest)
	if d.w.defect == ForgetWhenFull && v.Reason == guard.Full {
		d.resetTable()
		v = d.table.Begin(now, tk, digest)
	}
	if d.w.defect == RefuseStarted && v.Status == guard.Running {
		return guard.Verdict{Status: guard.NotRun}
	}
	if d.w.defect == ForgetAnswers && v.Status == guard.Done {
		return guard.Verdict{
			Status: guard.Unknown,
			Reason: guard.Interrupted,
		}
	}
	return d.orFromStore(v, func() (guard.Verdict, bool) { return d.handoverStore.Begin(now, tk, digest) })
}

// digest is the content digest of every request.
const digest = 7

// orFromStore returns v unless v says that the ticket names another incarnation
// and the handover store has a verdict on it.
func (d *daemon) orFromStore(v guard.Verdict, lookUp func() (guard.Verdict, bool)) guard.Verdict {
	if v.Reason != guard.OtherIncarnation {
		return v
	}
	if kept, ok := lookUp(); ok {
		d.w.report.SuccessorVerdicts++
		return kept
	}
	return v
}

// hold queues a fresh request for a random time and then starts or refuses it.
func (d *daemon) hold(tk ticket.Ticket, respond func(guard.Verdict)) {
	w := d.w
	d.waiters[tk.ID] = append(d.waiters[tk.ID], respond)
	arrived := w.now
	w.after(w.between(0, maxQueueDelay), d.proc, func() {
		if w.now-arrived > maxHold || !w.faultsEnded() && w.chance(w.cfg.refuse) {
			d.refuse(tk.ID)
			return
		}
		if d.table.Start(tk.ID) || w.defect == SendUnchecked {
			d.execute(tk.ID)
			return
		}
		d.refuse(tk.ID)
	})
	if w.defect == SendUnchecked {
		w.after(w.between(0, maxQueueDelay), d.proc, func() { d.refuse(tk.ID) })
	}
}

func (d *daemon) refuse(id string) {
	if !d.table.Refuse(d.w.now, id) {
		return
	}
	d.notifyWaiters(id, guard.Verdict{Status: guard.NotRun})
	if d.w.defect == ForgetRefusals {
		d.resetTable()
	}
}

func (d *daemon) shedByTarget(id string) {
	if d.table.RefuseStarted(d.w.now, id) {
		d.notifyWaiters(id, guard.Verdict{Status: guard.NotRun})
	}
}

func (d *daemon) finish(id, body string) {
	a := toAnswer(body)
	d.table.Finish(d.w.now, id, a)
	d.notifyWaiters(id, guard.Verdict{
		Status: guard.Done,
		Answer: a,
	})
}

func (d *daemon) fail(id string) {
	if d.w.defect == ResendInterrupted {
		d.execute(id)
		return
	}
	d.table.Fail(d.w.now, id)
	d.notifyWaiters(id, guard.Verdict{
		Status: guard.Unknown,
		Reason: guard.Interrupted,
	})
}

// notifyWaiters sends the verdict to all who wait for the request.
func (d *daemon) notifyWaiters(id string, v guard.Verdict) {
	v.Stamp = d.table.Stamp(d.w.now)
	waiters := d.waiters[id]
	delete(d.waiters, id)
	for _, respond := range waiters {
		respond(v)
	}
}

// acceptForeign applies the defects that make a guard accept tickets of another
// incarnation or generation.
func (d *daemon) acceptForeign(tk ticket.Ticket) ticket.Ticket {
	stamp := d.table.Stamp(d.w.now)
	switch d.w.defect {
	case AnyIncarnation:
		return tk.WithStamp(stamp)
	case AnyGeneration:
		tk.Generation = stamp.Generation
	}
	return tk
}

// isUnseen reports whether the request has neither arrived nor run.
func (d *daemon) isUnseen(tk ticket.Ticket) bool {
	_, isWaiting := d.waiters[tk.ID]
	return !isWaiting && d.w.checker.tickets[tk.ID].runs == 0
}

// resetTable replaces the table by an empty one of the same incarnation, as some
// defects do.
func (d *daemon) resetTable() {
	cfg := d.w.cfg.table
	cfg.Window = window
	cfg.Incarnation = d.incarnation
	cfg.Now = d.w.now
	d.table = guard.New(cfg)
}
