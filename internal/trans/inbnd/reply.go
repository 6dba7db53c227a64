package inbnd

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/pkg/header"
)

// reply answers an attempt, counts it and adds it to the request log. Requests
// without an authentic hop are answered but not counted.
func (s *Server) reply(ctx *fasthttp.RequestCtx, a *attempt, res result) {
	s.writeReply(ctx, a, res)
	if a.hop.Attempt == "" {
		return
	}
	took := s.cfg.Clock.Now() - a.start
	s.cfg.Metrics.Answered(Answered{
		Path:       a.hop.Path,
		Importance: a.hop.Importance.String(),
		State:      res.state,
		Reason:     res.problem.Reason,
		Took:       took,
		Queued:     a.queueTime,
	})
	s.cfg.RequestLog.Add(reqlog.Entry{
		Time:       s.cfg.Clock.Wall(),
		Root:       a.hop.Root,
		ID:         a.hop.ID,
		Path:       a.hop.Path,
		Caller:     a.hop.Caller,
		Importance: a.hop.Importance,
		Direction:  reqlog.Inbound,
		Depth:      a.hop.Depth,
		Target:     s.cfg.Self,
		Outcome:    res.state.Outcome(),
		Reason:     string(res.problem.Reason),
		Replayed:   res.kept != nil,
		Attempts:   1,
		Took:       took,
		Queued:     a.queueTime,
	})
}

// writeReply writes res and the reply header to ctx, and releases the target's
// answer.
func (s *Server) writeReply(ctx *fasthttp.RequestCtx, a *attempt, res result) {
	switch {
	case res.answer != nil:
		res.answer.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		ctx.Response.Header.Del(header.Outcome)
		fasthttp.ReleaseResponse(res.answer)
	case res.kept != nil:
		writeKeptAnswer(ctx, *res.kept)
	default:
		ctx.SetStatusCode(res.problem.Status)
		ctx.SetContentType(refuse.ContentType)
		ctx.SetBody(res.problem.WithID(a.hop.ID).Encode())
	}
	l := s.load()
	r := reply.Reply{
		Attempt:    a.hop.Attempt,
		State:      res.state,
		RetryUnits: a.retryUnits,
		Digest:     outbnd.AnswerDigest(ctx.Response.StatusCode(), ctx.Response.Body()),
		Threshold:  s.threshold(a, l.threshold),
		Short:      l.short,
		Long:       l.long,
		Leaving:    l.leaving,
		Stamp:      s.cfg.Guard.Stamp(s.cfg.Clock.Now()),
	}
	ctx.Response.Header.Set(header.Reply, r.String())
}

// threshold returns the highest of the gate's threshold and the thresholds of
// the services that the operation calls, so that a request that would be shed
// downstream is refused at the first hop.
func (s *Server) threshold(a *attempt, highest admit.Threshold) admit.Threshold {
	if a.op == nil || len(a.op.Calls) == 0 {
		return highest
	}
	rules := s.cfg.View.Load().Rules
	if rules == nil {
		return highest
	}
	now := s.cfg.Clock.Now()
	for _, path := range a.op.Calls {
		if op, ok := rules.Op(path); ok {
			highest = highest.Max(s.cfg.Routes.MinThreshold(now, op))
		}
	}
	return highest
}

// writeKeptAnswer writes an answer that the guard kept.
func writeKeptAnswer(ctx *fasthttp.RequestCtx, a guard.Answer) {
	ctx.SetStatusCode(a.Status)
	for _, f := range a.Fields {
		if f.Name == fasthttp.HeaderContentType {
			ctx.Response.Header.SetContentType(f.Value)
			continue
		}
		// A field may occur more than once.
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	ctx.SetBody(a.Body)
}

// serveOutcome answers a query about the outcome of an attempt. If the attempt
// has not arrived yet, it is fenced, so that the answer not-run holds.
func (s *Server) serveOutcome(ctx *fasthttp.RequestCtx) {
	a, ok := s.readQuery(ctx)
	if !ok {
		return
	}
	s.writeReply(ctx, a, s.resolve(a.hop))
}

// resolve returns the outcome of an attempt.
func (s *Server) resolve(h hop.Hop) result {
	if h.Ticket != "" {
		return s.resolveTicket(h)
	}
	now := s.cfg.Clock.Now()
	sameIncarnation := h.Incarnation == s.cfg.Guard.Stamp(now).Incarnation
	switch s.attempts.query(now, h, sameIncarnation) {
	case running:
		return result{
			state:   reply.Running,
			problem: refuse.Unknown(fasthttp.StatusConflict, refuse.Duplicate, "The attempt is running."),
		}
	case fenced:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Lost, "The attempt has not arrived and will not run.")
	case ended:
		return result{
			state:   reply.Ended,
			problem: refuse.Unknown(fasthttp.StatusGone, refuse.Lost, "The attempt has ended."),
		}
	default:
		return unknownOutcome(fasthttp.StatusGone, refuse.Lost, "The attempt is not remembered.")
	}
}

// resolveTicket returns the outcome of the request on a ticket. Outcomes that
// the ticket's daemon handed over take precedence. A ticket for another target
// can be answered only from those.
func (s *Server) resolveTicket(h hop.Hop) result {
	tk, err := s.cfg.Tickets.Open(h.Ticket)
	if err != nil {
		return unknownOutcome(fasthttp.StatusForbidden, refuse.Ticket, "The ticket is not valid.")
	}
	now := s.cfg.Clock.Now()
	if v, ok := s.cfg.Handovers.Query(now, tk); ok {
		return resultOf(v)
	}
	if tk.Target != s.cfg.Self {
		return unknownOutcome(fasthttp.StatusNotFound, refuse.Lost, "The outcomes of the ticket's daemon are not held here.")
	}
	return resultOf(s.cfg.Guard.Query(now, tk))
}

// serveCancel cancels an attempt and answers that its outcome is unknown.
func (s *Server) serveCancel(ctx *fasthttp.RequestCtx) {
	a, ok := s.readQuery(ctx)
	if !ok {
		return
	}
	s.attempts.cancel(a.start, a.hop)
	s.writeReply(ctx, a, unknownOutcome(fasthttp.StatusAccepted, refuse.Canceled, "The attempt is given up."))
}

// serveStamp answers with the guard's stamp, which is part of each reply
// header.
func (s *Server) serveStamp(ctx *fasthttp.RequestCtx) {
	a, ok := s.readQuery(ctx)
	if !ok {
		return
	}
	s.writeReply(ctx, a, result{
		state: reply.Ended,
		problem: refuse.Problem{
			Title:  "The stamp is in the reply header.",
			Status: fasthttp.StatusOK,
		},
	})
}

// readQuery reads the hop of the attempt that a query or cancellation is about.
// If the hop is not valid, it answers the request and returns false.
func (s *Server) readQuery(ctx *fasthttp.RequestCtx) (*attempt, bool) {
	a := &attempt{
		start: s.cfg.Clock.Now(),
	}
	h, err := s.keys.Open(string(ctx.Request.Header.Peek(header.Hop)))
	if err != nil || h.Target != s.cfg.Self {
		s.writeReply(ctx, a, unknownOutcome(fasthttp.StatusForbidden, refuse.Denied, "The question was not sealed for this daemon."))
		return a, false
	}
	a.hop = h
	return a, true
}
