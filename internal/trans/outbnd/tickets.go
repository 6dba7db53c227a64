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

// A call that may not be repeated is sent only on a ticket, and a ticket names
// one target and one run of the daemon that guards it.
//
// A call from outside must bring its ticket. Without one it is answered with a
// new ticket and does not run, so a bare idempotency key never runs anything,
// whichever daemons it reaches. Since the caller holds the ticket, a daemon
// does not move it to another target: the next daemon could not know of it.
//
// For a deeper call this daemon mints the ticket and is its only holder, so it
// may put a new one in its place once the guard has proved the call not-run.

// serveOnce serves a call that may not be repeated.
func (s *Server) serveOnce(ctx *fasthttp.RequestCtx, c *call) {
	if c.parent != nil {
		s.serveDeeper(ctx, c)
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
	end := s.redeemAgain(c, tk, sealed)
	if end.state == reply.NotRun {
		s.offerTicket(ctx, c, end.problem)
		return
	}
	s.answer(ctx, c, end)
	ctx.Response.Header.Set(header.Ticket, sealed)
}

// offerTicket answers with p and, where a target can be had, a new ticket. The
// call must have brought no ticket, or one that its guard proved not-run.
func (s *Server) offerTicket(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	p.Outcome = header.NotRun
	target, refused := s.choose(c, nil)
	if refused != nil {
		s.refuseProved(ctx, c, refused.problem)
		return
	}
	stamp, ok := s.askStamp(c, target)
	if !ok {
		s.refuseProved(ctx, c, refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Lost, "The daemon beside the target could not be reached."))
		return
	}
	sealed, err := s.cfg.Tickets.Seal(s.mint(c, newID(), target, stamp))
	if err != nil {
		s.refuseProved(ctx, c, sealFailure(err).problem)
		return
	}
	s.refuseProved(ctx, c, p)
	ctx.Response.Header.Set(header.Ticket, sealed)
}

// redeem makes one attempt on a ticket.
func (s *Server) redeem(c *call, target *rules.Target, sealed string) result {
	first, err := s.begin(c, target, sealed)
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
// the run of the daemon that it names is gone, the daemons that its outcomes
// were handed to are asked.
func (s *Server) redeemAgain(c *call, tk ticket.Ticket, sealed string) result {
	end := s.redeem(c, s.targetOf(c, tk), sealed)
	if end.state == reply.NotRun && !end.proved {
		// This daemon sent nothing, but another one may have sent the ticket
		// before.
		end.state = reply.Unknown
	}
	return s.orHeirs(c, tk, sealed, end)
}

// orHeirs asks the heirs of the run of the daemon that a ticket names, unless
// that run itself has spoken.
func (s *Server) orHeirs(c *call, tk ticket.Ticket, sealed string, end result) result {
	if end.state != reply.Unknown || end.stamp.Incarnation == tk.Incarnation {
		return end
	}
	if settled, ok := s.askHeirs(c, tk, sealed); ok {
		return settled
	}
	return end
}

// askHeirs asks the daemons that keep the outcomes of a stopped one.
func (s *Server) askHeirs(c *call, tk ticket.Ticket, sealed string) (result, bool) {
	// The target's host may have been replaced since.
	heirs := succ.SuccessorsIn(c.view.Rules, c.op.Service, tk.Target)
	for _, heir := range heirs[:min(len(heirs), succ.Queried)] {
		t := s.questionTo(c, heir, sealed)
		r, resp, ok := s.ask(t)
		if !ok {
			continue
		}
		if r.State != reply.Done && r.State != reply.NotRun {
			fasthttp.ReleaseResponse(resp)
			continue
		}
		s.cfg.Metrics.Resolved("heir")
		return s.settled(t, r, resp), true
	}
	return result{}, false
}

// mint makes a ticket for the target.
func (s *Server) mint(c *call, id string, target *rules.Target, stamp ticket.Stamp) ticket.Ticket {
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

// targetOf returns the target that a ticket names. One that the rules no
// longer list is reached at the address that the ticket carries.
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

// askStamp asks the daemon beside the target for its present stamp.
func (s *Server) askStamp(c *call, target *rules.Target) (ticket.Stamp, bool) {
	about := hop.Hop{
		Attempt: s.nextAttempt(),
		ID:      c.id,
		Root:    c.root,
		Target:  target.Name,
		Path:    c.path,
		Caller:  c.caller,
	}
	sealed, err := s.keys.Seal(about)
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
	wait := min(askWait, left) / 2
	if err := s.cfg.Pool.Do(addr, req, resp, wait); err != nil {
		// The kept connection may have gone silent.
		resp.Reset()
		if err := s.cfg.Pool.DoFresh(addr, req, resp, wait); err != nil {
			return ticket.Stamp{}, false
		}
	}
	r, problem := readReply(resp, about.Attempt)
	if problem != nil {
		return ticket.Stamp{}, false
	}
	s.cfg.Routes.Learn(s.cfg.Clock.Now(), c.op, target.Name, reportOf(r))
	return r.Stamp, r.Stamp.Incarnation != 0
}
