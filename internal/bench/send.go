package bench

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
)

// call is one call of a daemon, with all its attempts.
type call struct {
	d     *daemon
	op    *Operation
	req   *request
	depth int
	// purse holds the extra attempts that the call may still use.
	purse *retry.Budget
	tried []string
	out   []*attempt
	ended bool
	done  func(result pick.Outcome, unspent int)
}

// attempt is a call at one target.
type attempt struct {
	to     *daemon
	flight pick.Call
	visit  *visit
}

// send makes a call that may use units extra attempts, and hands its end and
// the units left to done.
func (d *daemon) send(op *Operation, req *request, depth, units int, done func(pick.Outcome, int)) {
	c := &call{
		d:     d,
		op:    op,
		req:   req,
		depth: depth,
		purse: retry.NewBudget(units),
		done:  done,
	}
	if !c.attempt() {
		c.end(pick.Refused)
		return
	}
	c.planHedge()
}

// attempt sends the call to a target and reports whether one would take it.
func (c *call) attempt() bool {
	f := c.d.f
	p := c.picker()
	q := pick.Query{
		Op:         c.op.Path,
		Importance: c.req.importance,
		Cost:       c.op.Cost,
		RootHash:   c.req.root,
		Exclude:    c.tried,
		Bytes:      callBytes,
	}
	if !f.system.Control {
		q.Exclude = nil
	}
	if f.system.IgnoreImportance {
		q.Importance = rules.Normal
	}
	floor := p.MinThreshold(f.now(), c.op.Path)
	choice, err := p.Choose(f.now(), q)
	f.result.order.hop(c, floor, err != nil)
	if err != nil {
		return false
	}
	f.result.count(c, choice)
	c.tried = append(c.tried, choice.Target)
	c.travel(choice.Target)
	return true
}

// travel carries the call to the target and the answer back. A call that makes
// no deeper ones keeps its units.
func (c *call) travel(name string) {
	f := c.d.f
	share := 0
	if c.op.Calls != nil {
		share = c.purse.Split(1)
	}
	a := &attempt{
		to:     c.d.byName[name],
		flight: c.picker().Started(f.now(), name, c.op.Path),
		visit: &visit{
			op:    c.op,
			req:   c.req,
			depth: c.depth,
			purse: retry.NewBudget(share),
		},
	}
	c.out = append(c.out, a)
	way := f.latency(c.d.centre, a.to.centre)
	a.visit.respond = func(o outcome) {
		f.after(way, func() {
			if !c.ended {
				c.purse.Return(share, o.unspent)
				c.learn(a, o)
				c.answer(a, o.result)
			}
		})
	}
	f.after(way, func() { a.to.target.arrive(a.visit) })
}

// learn takes in what an answer says of the target.
func (c *call) learn(a *attempt, o outcome) {
	f := c.d.f
	p := c.picker()
	p.Finished(f.now(), a.flight, o.result)
	if !f.system.Control {
		return
	}
	if !f.system.HideThresholds {
		p.ReportThreshold(f.now(), a.to.name, c.op.Path, o.threshold)
	}
	p.ReportLoad(f.now(), a.to.name, o.hint)
}

// answer ends the call, tries again, or waits for the other attempt.
func (c *call) answer(a *attempt, result pick.Outcome) {
	c.out = slices.DeleteFunc(c.out, func(o *attempt) bool { return o == a })
	if result != pick.Done && len(c.out) > 0 {
		return
	}
	if result == pick.Refused && c.mayRetry() && c.attempt() {
		return
	}
	if result == pick.Done && len(c.tried) == 1 {
		c.d.budgets.Success(c.d.f.now(), c.pair())
	}
	c.end(result)
}

// end hands over the result and cancels an attempt that is still out.
func (c *call) end(result pick.Outcome) {
	f := c.d.f
	c.ended = true
	for _, a := range c.out {
		c.picker().Finished(f.now(), a.flight, pick.Canceled)
		f.after(f.latency(c.d.centre, a.to.centre), func() { a.to.target.cancel(a.visit) })
	}
	c.out = nil
	c.done(result, c.purse.Units())
}

// planHedge makes a second attempt if the first is late.
func (c *call) planHedge() {
	f := c.d.f
	late := c.picker().HedgeDelay(c.op.Path)
	if !f.system.Hedge || c.op.Calls != nil || c.op.Cost == rules.Long || late == 0 {
		return
	}
	f.after(toMicro(late), func() {
		if !c.ended && len(c.tried) == 1 && c.mayRetry() {
			c.attempt()
		}
	})
}

func (c *call) picker() *pick.Picker { return c.d.pickers[c.op.Service] }

func (c *call) pair() retry.Pair {
	return retry.Pair{
		Caller: c.d.name,
		Target: c.op.Path,
	}
}

// mayRetry takes the means of one more attempt, and reports whether there are
// any.
func (c *call) mayRetry() bool {
	f := c.d.f
	if !f.system.Control {
		return len(c.tried) <= f.system.Retries
	}
	if c.purse.Units() < 1 || f.at >= c.req.deadline || !c.d.budgets.Take(f.now(), c.pair()) {
		return false
	}
	return c.purse.Spend(1)
}
