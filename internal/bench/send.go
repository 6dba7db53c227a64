package bench

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// call is a call that a daemon sends, with all its attempts.
type call struct {
	d     *daemon
	op    *Operation
	req   *requestContext
	depth int
	// budget holds the retry units that the call may still spend.
	budget *retry.Budget
	// caller is the request that makes the call, nil for a root request.
	caller   *inboundCall
	tried    []string
	inFlight []*attempt
	ended    bool
	done     func(result pick.Outcome, unspent int)
}

// attempt is one attempt of a call, at one target.
type attempt struct {
	to       *daemon
	pickCall pick.Call
	inbound  *inboundCall
}

// send sends a call with a retry budget of units. When the call ends, done gets
// its result and the unspent units.
func (d *daemon) send(op *Operation, req *requestContext, depth, units int, done func(pick.Outcome, int)) {
	d.sendFrom(nil, op, req, depth, units, done)
}

// sendFrom sends a call that a request makes, like send.
func (d *daemon) sendFrom(caller *inboundCall, op *Operation, req *requestContext, depth, units int, done func(pick.Outcome, int)) {
	c := &call{
		d:      d,
		op:     op,
		req:    req,
		depth:  depth,
		budget: retry.NewBudget(units),
		done:   done,
		caller: caller,
	}
	if !c.isLetIn() || !c.startAttempt() {
		c.end(pick.Refused)
		return
	}
	c.scheduleHedge()
}

// startAttempt chooses a target and sends the call to it. It returns false if no
// target is expected to admit the call.
func (c *call) startAttempt() bool {
	f := c.d.f
	p := c.picker()
	q := pick.Query{
		Op:          c.op.Path,
		Importance:  c.req.importance,
		Cost:        c.op.Cost,
		RootHash:    c.req.rootHash,
		Exclude:     c.tried,
		Bytes:       c.estimatedBytes(),
		TimeLeft:    (c.req.deadline - f.at).milli(),
		LatencyGoal: c.latencyGoal(),
		LetIn:       f.learns() && c.depth > 0,
	}
	if !f.system.Control {
		q.Exclude = nil
	}
	if f.system.IgnoreImportance {
		q.Importance = rules.Normal
	}
	threshold := p.MinThreshold(f.now(), c.op.Path)
	choice, err := p.Choose(f.now(), q)
	f.result.shedCheck.checkHop(c, threshold, err != nil)
	if err != nil {
		return false
	}
	f.result.recordAttempt(c, choice)
	c.tried = append(c.tried, choice.Target)
	c.sendTo(choice.Target)
	return true
}

// sendTo sends the call to a target and handles its answer. The target gets a
// share of the retry budget only if the operation has downstream calls.
func (c *call) sendTo(name string) {
	f := c.d.f
	units := 0
	if c.op.Calls != nil {
		units = c.budget.Split(1)
	}
	a := &attempt{
		to:       c.d.byName[name],
		pickCall: c.picker().Started(f.now(), name, c.op.Path),
		inbound: &inboundCall{
			op:     c.op,
			req:    c.req,
			depth:  c.depth,
			budget: retry.NewBudget(units),
		},
	}
	c.inFlight = append(c.inFlight, a)
	if f.scenario.Uneven != nil {
		f.after(c.req.deadline-f.at, func() { c.lose(a) })
	}
	if f.isCut(c.d.centre, a.to.centre) {
		return
	}
	latency := f.latency(c.d.centre, a.to.centre)
	a.inbound.respond = func(o outcome) {
		if f.isCut(c.d.centre, a.to.centre) {
			return
		}
		n := a.to.news()
		f.after(f.latency(c.d.centre, a.to.centre), func() {
			c.d.learn(a.to, n)
			c.learnNeeds(o.needs)
			if !c.ended {
				c.budget.Return(units, o.unspent)
				c.recordFeedback(a, o)
				c.handleAnswer(a, o.result)
			}
		})
	}
	n := c.d.news()
	f.after(latency, func() {
		a.to.learn(c.d, n)
		a.to.target.arrive(a.inbound)
	})
}

// lose ends an attempt that has no answer at its deadline.
func (c *call) lose(a *attempt) {
	if c.ended || !slices.Contains(c.inFlight, a) {
		return
	}
	c.picker().Finished(c.d.f.now(), a.pickCall, pick.Canceled)
	c.handleAnswer(a, pick.Failed)
}

// latencyGoal returns the time within which the answer has its full value, 0 if
// none is set.
func (c *call) latencyGoal() clock.Milli {
	if u := c.d.f.scenario.Uneven; u != nil {
		return u.LatencyGoal
	}
	return 0
}

// recordFeedback passes the result and the feedback of an answer to the picker.
func (c *call) recordFeedback(a *attempt, o outcome) {
	f := c.d.f
	p := c.picker()
	p.Finished(f.now(), a.pickCall, o.result)
	if !f.system.Control {
		return
	}
	if !f.system.HideThresholds {
		p.ReportThreshold(f.now(), a.to.name, c.op.Path, o.threshold)
	}
	switch age := o.loadReport.Age; {
	case f.isReportLost():
	case age == 0:
		p.ReportLoad(f.now(), a.to.name, o.loadReport)
	default:
		f.after(toMicro(age), func() { p.ReportLoad(f.now(), a.to.name, o.loadReport) })
	}
}

// handleAnswer ends the call, retries it, or waits for its other attempt.
func (c *call) handleAnswer(a *attempt, result pick.Outcome) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == a })
	if result != pick.Done && len(c.inFlight) > 0 {
		return
	}
	if result == pick.Refused && c.takeRetry() && c.startAttempt() {
		return
	}
	if result == pick.Done && len(c.tried) == 1 {
		c.d.budgets.Success(c.d.f.now(), c.pair())
	}
	c.end(result)
}

// end reports the result and cancels the attempts that are still in flight.
func (c *call) end(result pick.Outcome) {
	f := c.d.f
	c.ended = true
	for _, a := range c.inFlight {
		c.picker().Finished(f.now(), a.pickCall, pick.Canceled)
		f.after(f.latency(c.d.centre, a.to.centre), func() { a.to.target.cancel(a.inbound) })
	}
	c.inFlight = nil
	c.done(result, c.budget.Units())
}

// scheduleHedge schedules a second attempt for the case that the first is slow.
func (c *call) scheduleHedge() {
	f := c.d.f
	delay := c.picker().HedgeDelay(c.op.Path)
	if !f.system.Hedge || c.op.Calls != nil || c.op.Cost == rules.Long || delay == 0 {
		return
	}
	f.after(toMicro(delay), func() {
		if !c.ended && len(c.tried) == 1 && c.takeRetry() {
			c.startAttempt()
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

// takeRetry reports whether the call may make one more attempt, and takes it from
// the retry budgets. Without control only the number of retries bounds it.
func (c *call) takeRetry() bool {
	f := c.d.f
	if !f.system.Control {
		return len(c.tried) <= f.system.Retries
	}
	if c.budget.Units() < 1 || f.at >= c.req.deadline || !c.d.budgets.Take(f.now(), c.pair()) {
		return false
	}
	return c.budget.Spend(1)
}
