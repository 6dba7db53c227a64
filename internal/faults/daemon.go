package faults

import (
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of a guarding daemon.
const (
	longestQueue = 1 * clock.Second
	// patience is how long a held request may wait before it is refused.
	patience = 3 * clock.Second
)

// host is a place with an address. Its process changes, its address stays.
type host struct {
	name   string
	side   int
	daemon *daemon
}

// daemon is one run of the guarding process of a host.
type daemon struct {
	w           *world
	host        *host
	proc        *proc
	incarnation uint64
	table       *guard.Table
	shelf       *guard.HandoverStore
	waiting     map[string][]func(guard.Verdict)
	stopping    *stopping
}

// boot starts a new process on h, which takes over the address.
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
		shelf: guard.NewHandoverStore(guard.HandoverStoreConfig{
			Window: window,
		}),
		waiting: make(map[string][]func(guard.Verdict)),
	}
}

// arrive handles a request or a status query on a ticket.
func (d *daemon) arrive(tk ticket.Ticket, query bool, reply func(guard.Verdict)) {
	told := func(v guard.Verdict) {
		d.w.check.said(tk.ID, v)
		d.w.note(v)
		reply(v)
	}
	if d.w.plant == IgnoreUnmarked && !query && !d.w.isMarked() {
		d.execute(tk.ID)
		d.waiting[tk.ID] = append(d.waiting[tk.ID], told)
		return
	}
	v := d.decide(d.disguise(tk), query)
	switch {
	case v.Status == guard.Fresh:
		d.hold(tk, told)
	case v.Status == guard.Running && !query && d.w.chance(50):
		d.waiting[tk.ID] = append(d.waiting[tk.ID], told)
	default:
		told(v)
	}
}

// decide asks the table, and the shelf for another incarnation.
func (d *daemon) decide(tk ticket.Ticket, query bool) guard.Verdict {
	now := d.w.now
	if query {
		if d.w.plant == NoFence && d.isUnseen(tk) {
			return guard.Verdict{Status: guard.NotRun}
		}
		return d.orShelf(d.table.Query(now, tk), func() (guard.Verdict, bool) { return d.shelf.Query(now, tk) })
	}
	v := d.table.Begin(now, tk, digest)
	if d.w.plant == ForgetWhenFull && v.Reason == guard.Full {
		d.emptyTable()
		v = d.table.Begin(now, tk, digest)
	}
	if d.w.plant == RefuseStarted && v.Status == guard.Running {
		return guard.Verdict{Status: guard.NotRun}
	}
	if d.w.plant == ForgetAnswers && v.Status == guard.Done {
		return guard.Verdict{
			Status: guard.Unknown,
			Reason: guard.Interrupted,
		}
	}
	return d.orShelf(v, func() (guard.Verdict, bool) { return d.shelf.Begin(now, tk, digest) })
}

// digest stands for the content of every request.
const digest = 7

func (d *daemon) orShelf(v guard.Verdict, shelf func() (guard.Verdict, bool)) guard.Verdict {
	if v.Reason != guard.OtherIncarnation {
		return v
	}
	if kept, ok := shelf(); ok {
		d.w.report.SuccessorVerdicts++
		return kept
	}
	return v
}

// hold queues a fresh request until its turn comes.
func (d *daemon) hold(tk ticket.Ticket, told func(guard.Verdict)) {
	w := d.w
	d.waiting[tk.ID] = append(d.waiting[tk.ID], told)
	arrived := w.now
	w.after(w.between(0, longestQueue), d.proc, func() {
		if w.now-arrived > patience || !w.isQuiet() && w.chance(w.cfg.refuse) {
			d.refuse(tk.ID)
			return
		}
		if d.table.Start(tk.ID) || w.plant == SendUnchecked {
			d.execute(tk.ID)
			return
		}
		d.refuse(tk.ID)
	})
	if w.plant == SendUnchecked {
		w.after(w.between(0, longestQueue), d.proc, func() { d.refuse(tk.ID) })
	}
}

func (d *daemon) refuse(id string) {
	if !d.table.Refuse(d.w.now, id) {
		return
	}
	d.settle(id, guard.Verdict{Status: guard.NotRun})
	if d.w.plant == ForgetRefusals {
		d.emptyTable()
	}
}

func (d *daemon) turnedAway(id string) {
	if d.table.RefuseStarted(d.w.now, id) {
		d.settle(id, guard.Verdict{Status: guard.NotRun})
	}
}

func (d *daemon) answered(id, body string) {
	a := toAnswer(body)
	d.table.Finish(d.w.now, id, a)
	d.settle(id, guard.Verdict{
		Status: guard.Done,
		Answer: a,
	})
}

func (d *daemon) broken(id string) {
	if d.w.plant == ResendInterrupted {
		d.execute(id)
		return
	}
	d.table.Fail(d.w.now, id)
	d.settle(id, guard.Verdict{
		Status: guard.Unknown,
		Reason: guard.Interrupted,
	})
}

// settle tells all who wait for a request.
func (d *daemon) settle(id string, v guard.Verdict) {
	v.Stamp = d.table.Stamp(d.w.now)
	told := d.waiting[id]
	delete(d.waiting, id)
	for _, tell := range told {
		tell(v)
	}
}

// disguise applies the plants that make a guard accept foreign tickets.
func (d *daemon) disguise(tk ticket.Ticket) ticket.Ticket {
	stamp := d.table.Stamp(d.w.now)
	switch d.w.plant {
	case AnyIncarnation:
		return tk.WithStamp(stamp)
	case AnyGeneration:
		tk.Generation = stamp.Generation
	}
	return tk
}

// isUnseen reports whether the request has neither arrived nor run.
func (d *daemon) isUnseen(tk ticket.Ticket) bool {
	_, isWaiting := d.waiting[tk.ID]
	return !isWaiting && d.w.check.tickets[tk.ID].runs == 0
}

// emptyTable is what a guard that forgets does.
func (d *daemon) emptyTable() {
	cfg := d.w.cfg.table
	cfg.Window = window
	cfg.Incarnation = d.incarnation
	cfg.Now = d.w.now
	d.table = guard.New(cfg)
}
