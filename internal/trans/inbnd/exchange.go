package inbnd

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// exchangeGrace is how long an exchange with the target may last past the
	// deadline of its attempt.
	exchangeGrace = 200 * clock.Millisecond
	// guardedGrace is added to exchangeGrace for a non-idempotent attempt,
	// because only the target's answer can tell whether the attempt ran.
	guardedGrace = 30 * clock.Second
	// cancelTimeout bounds the cancel request that is sent to the target.
	cancelTimeout = clock.Second
)

// result is the result of an attempt or a query. The reply consists of answer
// if that is not nil, else of kept if that is not nil, else of problem.
type result struct {
	state   reply.State
	problem refuse.Problem
	// answer is the target's answer. The result owns it.
	answer *fasthttp.Response
	// kept is the answer of an earlier attempt that the guard replays.
	kept *guard.Answer
}

// refusal returns the result of an attempt that did not run.
func refusal(status int, reason refuse.Reason, title string) *result {
	return &result{
		state:   reply.NotRun,
		problem: refuse.NotRun(status, reason, title),
	}
}

// unknownOutcome returns the result of an attempt that may have run.
func unknownOutcome(status int, reason refuse.Reason, title string) result {
	return result{
		state:   reply.Unknown,
		problem: refuse.Unknown(status, reason, title),
	}
}

// admit waits for a slot for the attempt and executes it.
func (s *Server) admit(ctx *fasthttp.RequestCtx, a *attempt) result {
	if s.isDoomedDownstream(a) {
		return s.fenceRefusal(a, refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "A service that the operation calls sheds requests of this rank."))
	}
	r, d, signals := s.gate.Offer(admit.Request{
		Path:       a.hop.Path,
		Importance: a.hop.Importance,
		RootHash:   a.hop.RootHash,
		Depth:      a.hop.Depth,
		Deadline:   a.deadline,
		Cost:       a.op.Cost,
	})
	switch d.Verdict {
	case admit.Refuse:
		return s.fenceRefusal(a, gateRefusal(d.Reason))
	case admit.Queue:
		if refused := s.awaitSlot(a, r, signals); refused != nil {
			return s.fenceRefusal(a, refused)
		}
	}
	return s.execute(ctx, a, r)
}

// isDoomedDownstream reports whether some service that the operation calls
// would shed the request at every target, so that any work done for it here
// would be wasted. The upstream daemons' view of those services is older than
// that of this daemon.
func (s *Server) isDoomedDownstream(a *attempt) bool {
	v := s.cfg.View.Load()
	for _, path := range a.op.Calls {
		op, ok := v.Rules.Op(path)
		if ok && s.cfg.Routes.AllWouldRefuse(a.start, v, op, a.hop.Importance, a.hop.RootHash) {
			return true
		}
	}
	return false
}

// fenceRefusal returns refused, after fencing a non-idempotent request. If
// the guard can't set the fence, the result is an unknown outcome instead.
func (s *Server) fenceRefusal(a *attempt, refused *result) result {
	if !a.isGuarded() || s.cfg.Guard.Refuse(s.cfg.Clock.Now(), a.ticket.ID) {
		return *refused
	}
	return unknownOutcome(refused.problem.Status, refused.problem.Reason, refused.problem.Title)
}

// gateRefusal returns the refusal for a reason of the gate.
func gateRefusal(reason admit.Reason) *result {
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

// awaitSlot waits for a slot. It returns nil once the attempt holds a slot, and
// a refusal if the attempt was cancelled, evicted or expired in the queue.
func (s *Server) awaitSlot(a *attempt, r admit.Request, signals <-chan slot.Signal) *result {
	defer func() { a.queueTime = s.cfg.Clock.Now() - a.start }()
	var sig slot.Signal
	select {
	case sig = <-signals:
	case <-s.attempts.cancelled(a.hop.Attempt):
		if s.gate.Cancel(r) {
			s.cfg.Metrics.Cancelled()
			return refusal(fasthttp.StatusServiceUnavailable, refuse.Canceled, "The attempt was given up.")
		}
		sig = <-signals
	}
	switch sig {
	case slot.Evicted:
		return gateRefusal(admit.QueueFull)
	case slot.Expired:
		return gateRefusal(admit.DeadlineTooClose)
	}
	return nil
}

// execute sends the attempt to the target and waits for the answer, until the
// deadline passes or the attempt is cancelled. The attempt must hold a slot,
// which is released once the exchange with the target has ended.
func (s *Server) execute(ctx *fasthttp.RequestCtx, a *attempt, r admit.Request) result {
	start := s.cfg.Clock.Now()
	if start >= a.deadline {
		// The process was paused, or the slot was granted too late.
		s.gate.Done(r, -1)
		return s.fenceRefusal(a, gateRefusal(admit.DeadlineTooClose))
	}
	if a.isGuarded() && !s.cfg.Guard.Start(a.ticket.ID) {
		s.gate.Done(r, -1)
		return s.fenceRefusal(a, refusal(fasthttp.StatusServiceUnavailable, refuse.Full, "The daemon is stopping or cannot remember another answer."))
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
		s.gate.Done(r, -1)
		s.recordNotRun(a)
		return *refusal(fasthttp.StatusInternalServerError, refuse.Full, "The request could not be recorded.")
	}
	e := &exchange{
		attempt:  a,
		admitted: r,
		parent:   parent,
		start:    start,
		done:     make(chan result, 1),
	}
	// Units that downstream calls still hold when this attempt is abandoned
	// count as spent.
	a.retryUnits = 0
	req := e.targetRequest(ctx)
	go s.runExchange(e, req)
	select {
	case res := <-e.done:
		a.retryUnits = e.unspentUnits
		return res
	case <-s.attempts.cancelled(a.hop.Attempt):
		return s.abandon(e, refuse.Canceled, "The attempt was given up while it ran.")
	case <-s.cfg.Clock.After(a.deadline - e.start):
		return s.abandon(e, refuse.Expired, "The deadline passed while the request ran.")
	}
}

// exchange is one request to the target. It may outlast its attempt.
type exchange struct {
	attempt  *attempt
	admitted admit.Request
	parent   *chain.Request
	start    clock.Milli
	// unspentUnits is the number of retry units that no downstream call spent.
	// It is set before done receives the result.
	unspentUnits int
	done         chan result
}

// targetRequest returns a copy of the attempt's request with the headers for
// the target. The caller must release it.
func (e *exchange) targetRequest(ctx *fasthttp.RequestCtx) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	ctx.Request.CopyTo(req)
	h := &req.Header
	h.Del(header.Hop)
	h.Set(header.Context, e.parent.Token)
	h.Set(header.Attempt, e.attempt.hop.Attempt)
	h.Set(header.Deadline, strconv.FormatInt(int64(e.attempt.deadline-e.start), 10))
	return req
}

// runExchange sends req to the target, releases the slot and the chain record
// of the attempt, and delivers the result on e.done. A panic in the exchange
// leaves the outcome unknown.
func (s *Server) runExchange(e *exchange, req *fasthttp.Request) {
	defer fasthttp.ReleaseRequest(req)
	var res result
	if err := rescue.Run("exchange with the target", func() { res = s.send(e, req) }); err != nil {
		event.Contained(s.cfg.Log, err)
		s.recordInterrupted(e.attempt)
		res = unknownOutcome(fasthttp.StatusBadGateway, refuse.Lost, "The exchange with the target broke off.")
	}
	took := s.cfg.Clock.Now() - e.start
	if res.state != reply.Done {
		took = -1
	}
	s.gate.Done(e.admitted, took)
	e.unspentUnits = s.cfg.Chains.End(e.parent)
	e.done <- res
}

// send sends req to the target and returns the result.
func (s *Server) send(e *exchange, req *fasthttp.Request) result {
	timeout := e.attempt.deadline - e.start + exchangeGrace
	if e.attempt.isGuarded() {
		timeout += guardedGrace
	}
	resp := fasthttp.AcquireResponse()
	req.Header.SetHost(s.cfg.Target)
	req.URI().SetScheme("http")
	err := s.cfg.Pool.Do(s.cfg.Target, req, resp, timeout)
	res := s.classify(e, resp, err)
	if res.answer == nil {
		fasthttp.ReleaseResponse(resp)
	}
	return res
}

// classify returns the result for the target's answer or for the error of the
// exchange, and reports the outcome to the guard.
func (s *Server) classify(e *exchange, resp *fasthttp.Response, err error) result {
	if err != nil {
		return s.classifyError(e.attempt, err)
	}
	if echo := resp.Header.Peek(header.Attempt); len(echo) > 0 && string(echo) != e.attempt.hop.Attempt {
		s.recordInterrupted(e.attempt)
		return unknownOutcome(fasthttp.StatusBadGateway, refuse.Partial, "The target answered another attempt.")
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(header.Outcome)) == header.NotRun {
		s.recordNotRun(e.attempt)
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Shed, "The target turned the request away before running it.")
	}
	if e.attempt.isGuarded() {
		s.cfg.Guard.Finish(s.cfg.Clock.Now(), e.attempt.ticket.ID, copyAnswer(resp))
	}
	return result{
		state:  reply.Done,
		answer: resp,
	}
}

// classifyError returns the result of an exchange that failed with err. Only a
// request that was never sent counts as not-run.
func (s *Server) classifyError(a *attempt, err error) result {
	var failure *pool.Error
	if errors.As(err, &failure) && failure.Kind == pool.Unsent {
		s.recordNotRun(a)
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Lost, "The target accepts no connection.")
	}
	s.recordInterrupted(a)
	return unknownOutcome(fasthttp.StatusBadGateway, refuse.Lost, "The exchange with the target broke off.")
}

// recordNotRun reports to the guard that an attempt that it started did not
// run.
func (s *Server) recordNotRun(a *attempt) {
	if a.isGuarded() {
		s.cfg.Guard.RefuseStarted(s.cfg.Clock.Now(), a.ticket.ID)
	}
}

// recordInterrupted reports to the guard that the exchange of an attempt was
// interrupted, so that its outcome is unknown.
func (s *Server) recordInterrupted(a *attempt) {
	if a.isGuarded() {
		s.cfg.Guard.Fail(s.cfg.Clock.Now(), a.ticket.ID)
	}
}

// abandon stops waiting for the target and returns an unknown outcome. An
// idempotent request is cancelled at the target together with its downstream
// calls. A non-idempotent request continues, and the guard keeps its outcome
// for a later query.
func (s *Server) abandon(e *exchange, reason refuse.Reason, title string) result {
	if !e.attempt.isGuarded() {
		e.parent.Cancel()
	}
	go func() {
		if !e.attempt.isGuarded() {
			s.cancelAtTarget(e.attempt.hop.Attempt)
		}
		if res := <-e.done; res.answer != nil {
			fasthttp.ReleaseResponse(res.answer)
		}
	}()
	return unknownOutcome(fasthttp.StatusGatewayTimeout, reason, title)
}

// cancelAtTarget asks the target to cancel an attempt.
func (s *Server) cancelAtTarget(attempt string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.cfg.Target + header.CancelPath + attempt)
	req.Header.SetMethod(fasthttp.MethodDelete)
	// A lost cancel request only costs the target some wasted work.
	_ = s.cfg.Pool.Do(s.cfg.Target, req, resp, cancelTimeout)
}
