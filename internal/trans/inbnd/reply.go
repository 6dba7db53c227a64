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

// reply answers an attempt.
func (s *Server) reply(ctx *fasthttp.RequestCtx, a *attempt, end ending) {
	s.write(ctx, a, end)
	if a.hop.Attempt == "" {
		return
	}
	took := s.cfg.Clock.Now() - a.start
	s.cfg.Metrics.Answered(Answered{
		Path:       a.hop.Path,
		Importance: a.hop.Importance.String(),
		State:      end.state,
		Reason:     end.problem.Reason,
		Took:       took,
		Queued:     a.queued,
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
		Outcome:    end.state.Outcome(),
		Reason:     string(end.problem.Reason),
		Replayed:   end.kept != nil,
		Attempts:   1,
		Took:       took,
		Queued:     a.queued,
	})
}

func (s *Server) write(ctx *fasthttp.RequestCtx, a *attempt, end ending) {
	switch {
	case end.answer != nil:
		end.answer.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		ctx.Response.Header.Del(header.Outcome)
		fasthttp.ReleaseResponse(end.answer)
	case end.kept != nil:
		writeKept(ctx, *end.kept)
	default:
		ctx.SetStatusCode(end.problem.Status)
		ctx.SetContentType(refuse.ContentType)
		ctx.SetBody(end.problem.WithID(a.hop.ID).Encode())
	}
	l := s.load()
	r := reply.Reply{
		Attempt:    a.hop.Attempt,
		State:      end.state,
		RetryUnits: a.units,
		Digest:     outbnd.AnswerDigest(ctx.Response.StatusCode(), ctx.Response.Body()),
		Threshold:  s.threshold(a, l.threshold),
		Short:      l.short,
		Long:       l.long,
		Leaving:    l.leaving,
		Stamp:      s.cfg.Guard.Stamp(s.cfg.Clock.Now()),
	}
	ctx.Response.Header.Set(header.Reply, r.String())
}

// threshold joins the gate's threshold with those of the services that the
// operation calls, so that a request that would be refused deeper in the chain
// is refused at the first hop.
func (s *Server) threshold(a *attempt, own admit.Threshold) admit.Threshold {
	if a.op == nil || len(a.op.Calls) == 0 {
		return own
	}
	rules := s.cfg.View.Load().Rules
	if rules == nil {
		return own
	}
	now := s.cfg.Clock.Now()
	for _, path := range a.op.Calls {
		if op, ok := rules.Op(path); ok {
			own = own.Max(s.cfg.Routes.MinThreshold(now, op))
		}
	}
	return own
}

func writeKept(ctx *fasthttp.RequestCtx, a guard.Answer) {
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

// outcome answers a question about an attempt and fences one that has not
// arrived.
func (s *Server) outcome(ctx *fasthttp.RequestCtx) {
	a, ok := s.question(ctx)
	if !ok {
		return
	}
	s.write(ctx, a, s.query(a.hop))
}

func (s *Server) query(h hop.Hop) ending {
	if h.Ticket != "" {
		return s.queryTicket(h)
	}
	now := s.cfg.Clock.Now()
	aimed := h.Incarnation == s.cfg.Guard.Stamp(now).Incarnation
	switch s.tries.query(now, h, aimed) {
	case running:
		return ending{
			state:   reply.Running,
			problem: refuse.Unknown(fasthttp.StatusConflict, refuse.Duplicate, "The attempt is running."),
		}
	case fenced:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Lost, "The attempt has not arrived and will not run.")
	case ended:
		return ending{
			state:   reply.Ended,
			problem: refuse.Unknown(fasthttp.StatusGone, refuse.Lost, "The attempt has ended."),
		}
	default:
		return lost(fasthttp.StatusGone, refuse.Lost, "The attempt is not remembered.")
	}
}

// queryTicket tells what became of the request on a ticket. A ticket for
// another target is answered from what that target's daemon handed over.
func (s *Server) queryTicket(h hop.Hop) ending {
	tk, err := s.cfg.Tickets.Open(h.Ticket)
	if err != nil {
		return lost(fasthttp.StatusForbidden, refuse.Ticket, "The ticket is not valid.")
	}
	now := s.cfg.Clock.Now()
	if v, ok := s.cfg.Handovers.Query(now, tk); ok {
		return endingOf(v)
	}
	if tk.Target != s.cfg.Self {
		return lost(fasthttp.StatusNotFound, refuse.Lost, "The outcomes of the ticket's daemon are not held here.")
	}
	return endingOf(s.cfg.Guard.Query(now, tk))
}

// cancel gives up an attempt.
func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	a, ok := s.question(ctx)
	if !ok {
		return
	}
	s.tries.cancel(a.start, a.hop)
	s.write(ctx, a, lost(fasthttp.StatusAccepted, refuse.Canceled, "The attempt is given up."))
}

// stamp answers with the state of the guard alone.
func (s *Server) stamp(ctx *fasthttp.RequestCtx) {
	a, ok := s.question(ctx)
	if !ok {
		return
	}
	s.write(ctx, a, ending{
		state: reply.Ended,
		problem: refuse.Problem{
			Title:  "The stamp is in the reply header.",
			Status: fasthttp.StatusOK,
		},
	})
}

// question reads the hop that a question is about.
func (s *Server) question(ctx *fasthttp.RequestCtx) (*attempt, bool) {
	a := &attempt{
		start: s.cfg.Clock.Now(),
	}
	h, err := s.keys.Open(string(ctx.Request.Header.Peek(header.Hop)))
	if err != nil || h.Target != s.cfg.Self {
		s.write(ctx, a, lost(fasthttp.StatusForbidden, refuse.Denied, "The question was not sealed for this daemon."))
		return a, false
	}
	a.hop = h
	return a, true
}
