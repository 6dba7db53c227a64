package outbnd

import (
	"net"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/succ"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// A non-idempotent call is sent only on a ticket. A ticket names one target and
// one incarnation of the guard of that target.
//
// A call from outside must bring its ticket. A call without a ticket does not
// run and is answered with a new ticket, so an idempotency key alone never runs
// anything, whichever daemons it reaches. A daemon does not move the call to
// another target: the caller holds the ticket and may send it to another daemon,
// which could not know of the move.
//
// For a downstream call this daemon mints the ticket and is its only holder. It
// may therefore replace the ticket once the guard has proved the call not-run.

// serveNonIdempotent serves a call that may run at most once.
func (s *Server) serveNonIdempotent(ctx *fasthttp.RequestCtx, c *call) {
	if c.parent != nil {
		s.serveDownstream(ctx, c)
		return
	}
	sealed := string(ctx.Request.Header.Peek(header.Ticket))
	if sealed == "" {
		s.offerTicket(ctx, c, refuse.NotRun(fasthttp.StatusPreconditionRequired, refuse.Ticket,
			"The operation may not be repeated: send the request again with the ticket of this answer."))
		return
	}
	tk, err := s.cfg.Tickets.Open(sealed)
	if err == nil {
		err = tk.Match(c.caller, c.path)
	}
	if err != nil {
		s.refuse(ctx, c, refuse.NotRun(fasthttp.StatusForbidden, refuse.Ticket, "The ticket is not valid for this call.").WithDetail(err.Error()))
		return
	}
	c.id = tk.ID
	res := s.redeemAgain(c, tk, sealed)
	if res.state == reply.NotRun {
		s.offerTicket(ctx, c, res.problem)
		return
	}
	s.writeResult(ctx, c, res)
	ctx.Response.Header.Set(header.Ticket, sealed)
}

// offerTicket answers with p and a new ticket, or refuses the call if no target is
// available. The call must have brought no ticket, or one whose request the guard
// proved not-run.
func (s *Server) offerTicket(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	p.Outcome = header.NotRun
	target, refused := s.chooseTarget(c, nil)
	if refused != nil {
		s.writeRefusal(ctx, c, refused.problem)
		return
	}
	stamp, ok := s.queryStamp(c, target)
	if !ok {
		s.writeRefusal(ctx, c, refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."))
		return
	}
	sealed, err := s.cfg.Tickets.Seal(s.mintTicket(c, newID(), target, stamp))
	if err != nil {
		s.writeRefusal(ctx, c, sealFailure(err).problem)
		return
	}
	s.writeRefusal(ctx, c, p)
	ctx.Response.Header.Set(header.Ticket, sealed)
}

// redeem makes one attempt on a sealed ticket.
func (s *Server) redeem(c *call, target *rules.Target, sealed string) result {
	first, err := s.startAttempt(c, target, sealed)
	if err != nil {
		return sealFailure(err)
	}
	r := race{
		s:     s,
		c:     c,
		first: first,
	}
	return r.run()
}

// redeemAgain makes one attempt on a ticket that may have been sent before. If
// the incarnation of the guard that the ticket names is gone, it queries the
// successors to which that guard handed its outcomes over.
func (s *Server) redeemAgain(c *call, tk ticket.Ticket, sealed string) result {
	res := s.redeem(c, s.targetOf(c, tk), sealed)
	if res.state == reply.NotRun && !res.fromGuard {
		// This daemon sent nothing, but another daemon may have sent the same
		// ticket before.
		res.state = reply.Unknown
	}
	return s.orSuccessors(c, tk, sealed, res)
}

// orSuccessors returns res, unless its outcome is unknown and it does not come
// from the incarnation of the guard that the ticket names. Then it queries the
// successors and prefers their result.
func (s *Server) orSuccessors(c *call, tk ticket.Ticket, sealed string, res result) result {
	if res.state != reply.Unknown || res.stamp.Incarnation == tk.Incarnation {
		return res
	}
	if resolved, ok := s.querySuccessors(c, tk, sealed); ok {
		return resolved
	}
	return res
}

// querySuccessors queries the daemons that took over the outcomes of the ticket's
// guard. It reports whether one of them knows the outcome.
func (s *Server) querySuccessors(c *call, tk ticket.Ticket, sealed string) (result, bool) {
	// The rules may no longer list the target, because its host was replaced.
	successors := succ.SuccessorsIn(c.view.Rules, c.op.Service, tk.Target)
	for _, successor := range successors[:min(len(successors), succ.Queried)] {
		t := s.queryFor(c, successor, sealed)
		r, resp, ok := s.queryOutcome(t)
		if !ok {
			continue
		}
		if r.State != reply.Done && r.State != reply.NotRun {
			fasthttp.ReleaseResponse(resp)
			continue
		}
		s.cfg.Metrics.Resolved("heir")
		return s.resultOfQuery(t, r, resp), true
	}
	return result{}, false
}

// mintTicket returns a ticket of the request id for the target.
func (s *Server) mintTicket(c *call, id string, target *rules.Target, stamp ticket.Stamp) ticket.Ticket {
	return ticket.Ticket{
		ID:          id,
		Caller:      c.caller,
		Path:        c.path,
		Target:      target.Name,
		Addr:        addrOf(target),
		Root:        c.root,
		Incarnation: stamp.Incarnation,
		Generation:  stamp.Generation,
		Window:      s.cfg.Window,
	}
}

// targetOf returns the target that a ticket names. If the rules no longer list
// that target, the result has the address in the ticket, or no address if that is
// malformed.
func (s *Server) targetOf(c *call, tk ticket.Ticket) *rules.Target {
	if target, ok := c.view.Rules.Target(tk.Target); ok {
		return target
	}
	host, port, err := net.SplitHostPort(tk.Addr)
	inbound, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil {
		host, inbound = "", 0
	}
	return &rules.Target{
		Instance: rules.Instance{
			Name:    tk.Target,
			Host:    host,
			Inbound: inbound,
		},
		Service: c.op.Service,
	}
}

// queryStamp asks the target's guard for its current stamp and reports whether it
// has one.
func (s *Server) queryStamp(c *call, target *rules.Target) (ticket.Stamp, bool) {
	query := hop.Hop{
		Attempt: s.nextAttempt(),
		ID:      c.id,
		Root:    c.root,
		Target:  target.Name,
		Path:    c.path,
		Caller:  c.caller,
	}
	sealed, err := s.keys.Seal(query)
	if err != nil {
		return ticket.Stamp{}, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	addr := addrOf(target)
	req.SetRequestURI("http://" + addr + stampPath)
	req.Header.Set(header.Hop, sealed)
	left := max(c.deadline-s.cfg.Clock.Now(), 2*clock.Millisecond)
	timeout := min(queryTimeout, left) / 2
	if err := s.cfg.Pool.Do(addr, req, resp, timeout); err != nil {
		// The pooled connection may no longer deliver anything, so try a new one.
		resp.Reset()
		if err := s.cfg.Pool.DoFresh(addr, req, resp, timeout); err != nil {
			return ticket.Stamp{}, false
		}
	}
	r, problem := readReply(resp, query.Attempt)
	if problem != nil {
		return ticket.Stamp{}, false
	}
	s.cfg.Routes.Learn(s.cfg.Clock.Now(), c.op, target.Name, feedbackOf(r))
	return r.Stamp, r.Stamp.Incarnation != 0
}
