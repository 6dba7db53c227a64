package inbnd

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// overrun is how long past its deadline a repeatable exchange with the
	// target may last.
	overrun = 200 * clock.Millisecond
	// onceOverrun is the same for a once-only one: its end is worth waiting
	// for, because only the target knows whether it ran.
	onceOverrun = 30 * clock.Second
	// cancelWait bounds the cancellation sent to the target.
	cancelWait = clock.Second
)

// ending is how an attempt ended.
type ending struct {
	state   reply.State
	problem refuse.Problem
	// answer is the target's answer; the ending owns it.
	answer *fasthttp.Response
	// kept is an earlier answer that the guard kept.
	kept *guard.Answer
}

func refusal(status int, reason refuse.Reason, title string) *ending {
	return &ending{
		state:   reply.NotRun,
		problem: refuse.NotRun(status, reason, title),
	}
}

func lost(status int, reason refuse.Reason, title string) ending {
	return ending{
		state:   reply.Unknown,
		problem: refuse.Unknown(status, reason, title),
	}
}

// admit gets a slot for the attempt and runs it.
func (s *Server) admit(ctx *fasthttp.RequestCtx, a *attempt) ending {
	if s.isDoomedBelow(a) {
		return s.fence(a, refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "A service that the operation calls sheds requests of this rank."))
	}
	w, d, signals := s.gate.Offer(admit.Request{
		Path:       a.hop.Path,
		Importance: a.hop.Importance,
		RootHash:   a.hop.RootHash,
		Depth:      a.hop.Depth,
		Deadline:   a.deadline,
		Cost:       a.op.Cost,
	})
	switch d.Verdict {
	case admit.Refuse:
		return s.fence(a, refusalOf(d.Reason))
	case admit.Queue:
		if end := s.wait(a, w, signals); end != nil {
			return s.fence(a, end)
		}
	}
	return s.execute(ctx, a, w)
}

// isDoomedBelow reports whether a service that the operation calls would
// refuse the request at every target. Its own work would be wasted then. The
// daemon knows that sooner than the callers, whose knowledge ages meanwhile.
func (s *Server) isDoomedBelow(a *attempt) bool {
	v := s.cfg.View.Load()
	for _, path := range a.op.Calls {
		op, ok := v.Rules.Op(path)
		if ok && s.cfg.Routes.AllWouldRefuse(a.start, v, op, a.hop.Importance, a.hop.RootHash) {
			return true
		}
	}
	return false
}

// fence makes a refusal true: a once-only request is not refused unless the
// guard holds a tombstone for it.
func (s *Server) fence(a *attempt, refused *ending) ending {
	if !a.isGuarded() || s.cfg.Guard.Refuse(s.cfg.Clock.Now(), a.ticket.ID) {
		return *refused
	}
	return lost(refused.problem.Status, refused.problem.Reason, refused.problem.Title)
}

func refusalOf(reason admit.Reason) *ending {
	switch reason {
	case admit.DeadlineTooClose:
		return refusal(fasthttp.StatusServiceUnavailable, refuse.Expired, "The request cannot finish before its deadline.")
	case admit.Draining:
		return refusal(fasthttp.StatusServiceUnavailable, refuse.Leaving, "The target is leaving.")
	case admit.QueueFull:
		return refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "The queue holds only requests of higher rank.")
	default:
		return refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "The target sheds requests of this rank.")
	}
}

// wait waits for a slot. It returns nil once the attempt holds one.
func (s *Server) wait(a *attempt, w admit.Request, signals <-chan slot.Signal) *ending {
	defer func() { a.queued = s.cfg.Clock.Now() - a.start }()
	var sig slot.Signal
	select {
	case sig = <-signals:
	case <-s.tries.cancelled(a.hop.Attempt):
		if s.gate.Cancel(w) {
			s.cfg.Metrics.Cancelled()
			return refusal(fasthttp.StatusServiceUnavailable, refuse.Canceled, "The attempt was given up.")
		}
		sig = <-signals
	}
	switch sig {
	case slot.Evicted:
		return refusalOf(admit.QueueFull)
	case slot.Expired:
		return refusalOf(admit.DeadlineTooClose)
	}
	return nil
}

// execute sends the attempt, which holds a slot, to the target.
func (s *Server) execute(ctx *fasthttp.RequestCtx, a *attempt, w admit.Request) ending {
	begun := s.cfg.Clock.Now()
	if begun >= a.deadline {
		// The process slept, or the slot came at the last moment.
		s.gate.Done(w, -1)
		return s.fence(a, refusalOf(admit.DeadlineTooClose))
	}
	if a.isGuarded() && !s.cfg.Guard.Start(a.ticket.ID) {
		s.gate.Done(w, -1)
		return s.fence(a, refusal(fasthttp.StatusServiceUnavailable, refuse.Full, "The daemon is stopping or cannot remember another answer."))
	}
	parent, err := s.cfg.Chains.Add(chain.Context{
		Root:       a.hop.Root,
		RootHash:   a.hop.RootHash,
		Path:       a.hop.Path,
		Caller:     a.hop.Caller,
		Importance: a.hop.Importance,
		Depth:      a.hop.Depth,
		Deadline:   a.deadline,
	}, a.hop.RetryUnits)
	if err != nil {
		s.gate.Done(w, -1)
		s.unrun(a)
		return *refusal(fasthttp.StatusInternalServerError, refuse.Full, "The request could not be recorded.")
	}
	e := &exchange{
		a:      a,
		w:      w,
		parent: parent,
		begun:  begun,
		done:   make(chan ending, 1),
	}
	// Units that deeper calls still hold when this attempt is given up count
	// as spent.
	a.units = 0
	req := e.request(ctx)
	go s.exchange(e, req)
	select {
	case end := <-e.done:
		a.units = e.left
		return end
	case <-s.tries.cancelled(a.hop.Attempt):
		return s.abandon(e, refuse.Canceled, "The attempt was given up while it ran.")
	case <-s.cfg.Clock.After(a.deadline - e.begun):
		return s.abandon(e, refuse.Expired, "The deadline passed while the request ran.")
	}
}

// exchange is one request to the target.
type exchange struct {
	a      *attempt
	w      admit.Request
	parent *chain.Request
	begun  clock.Milli
	// left is set before done delivers.
	left int
	done chan ending
}

// request copies the attempt for the target.
func (e *exchange) request(ctx *fasthttp.RequestCtx) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	ctx.Request.CopyTo(req)
	h := &req.Header
	h.Del(header.Hop)
	h.Set(header.Context, e.parent.Token)
	h.Set(header.Attempt, e.a.hop.Attempt)
	h.Set(header.Deadline, strconv.FormatInt(int64(e.a.deadline-e.begun), 10))
	return req
}

// exchange makes the exchange with the target and ends what the attempt holds.
func (s *Server) exchange(e *exchange, req *fasthttp.Request) {
	defer fasthttp.ReleaseRequest(req)
	wait := e.a.deadline - e.begun + overrun
	if e.a.isGuarded() {
		wait += onceOverrun
	}
	resp := fasthttp.AcquireResponse()
	req.Header.SetHost(s.cfg.Target)
	req.URI().SetScheme("http")
	err := s.cfg.Pool.Do(s.cfg.Target, req, resp, wait)
	end := s.judge(e, resp, err)
	if end.answer == nil {
		fasthttp.ReleaseResponse(resp)
	}
	took := s.cfg.Clock.Now() - e.begun
	if end.state != reply.Done {
		took = -1
	}
	s.gate.Done(e.w, took)
	e.left = s.cfg.Chains.End(e.parent)
	e.done <- end
}

// judge turns the target's answer into an ending and tells the guard.
func (s *Server) judge(e *exchange, resp *fasthttp.Response, err error) ending {
	if err != nil {
		return s.judgeFailure(e.a, err)
	}
	if echo := resp.Header.Peek(header.Attempt); len(echo) > 0 && string(echo) != e.a.hop.Attempt {
		s.fail(e.a)
		return lost(fasthttp.StatusBadGateway, refuse.Partial, "The target answered another attempt.")
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(header.Outcome)) == header.NotRun {
		s.unrun(e.a)
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "The target turned the request away before running it.")
	}
	if e.a.isGuarded() {
		s.cfg.Guard.Finish(s.cfg.Clock.Now(), e.a.ticket.ID, answerOf(resp))
	}
	return ending{
		state:  reply.Done,
		answer: resp,
	}
}

func (s *Server) judgeFailure(a *attempt, err error) ending {
	var failure *pool.Error
	if errors.As(err, &failure) && failure.Kind == pool.Unsent {
		s.unrun(a)
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Lost, "The target accepts no connection.")
	}
	s.fail(a)
	return lost(fasthttp.StatusBadGateway, refuse.Lost, "The exchange with the target broke off.")
}

func (s *Server) unrun(a *attempt) {
	if a.isGuarded() {
		s.cfg.Guard.RefuseStarted(s.cfg.Clock.Now(), a.ticket.ID)
	}
}

func (s *Server) fail(a *attempt) {
	if a.isGuarded() {
		s.cfg.Guard.Fail(s.cfg.Clock.Now(), a.ticket.ID)
	}
}

// abandon stops waiting for the target. A repeatable request is cancelled
// there and its deeper calls are given up; a once-only one goes on, and its
// end is kept for a status query.
func (s *Server) abandon(e *exchange, reason refuse.Reason, title string) ending {
	if !e.a.isGuarded() {
		e.parent.Cancel()
	}
	go func() {
		if !e.a.isGuarded() {
			s.cancelAtTarget(e.a.hop.Attempt)
		}
		if end := <-e.done; end.answer != nil {
			fasthttp.ReleaseResponse(end.answer)
		}
	}()
	return lost(fasthttp.StatusGatewayTimeout, reason, title)
}

func (s *Server) cancelAtTarget(attempt string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.cfg.Target + header.CancelPath + attempt)
	req.Header.SetMethod(fasthttp.MethodDelete)
	// A lost cancellation costs the target some work and nothing else.
	_ = s.cfg.Pool.Do(s.cfg.Target, req, resp, cancelWait)
}
