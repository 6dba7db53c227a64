package inbnd

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// replayPollInterval is how often a later attempt on a ticket checks
	// whether the first attempt has ended.
	replayPollInterval = 10 * clock.Millisecond
)

// isGuarded reports whether the attempt must pass the guard. That holds for
// every attempt with a ticket, even if the rules now call its operation
// idempotent, because an earlier attempt may have run on the ticket.
func (a *attempt) isGuarded() bool { return a.op.AtMostOnce || a.hop.Ticket != "" }

// confirmRefusal confirms a refusal that was decided without the guard. An
// earlier attempt on the same ticket may have run, so the guard is queried,
// which fences a request that it has not seen. If the guard has seen the
// request, its result is returned instead of the refusal.
func (s *Server) confirmRefusal(a *attempt, refused result) result {
	if a.hop.Ticket == "" {
		return refused
	}
	res := s.resolveTicket(a.hop)
	if res.state == reply.NotRun {
		return refused
	}
	return res
}

// serveGuarded executes a non-idempotent attempt if its request is new to the
// guard. Otherwise it returns the outcome that the guard knows, after waiting
// for the first attempt to end if that is still running.
func (s *Server) serveGuarded(ctx *fasthttp.RequestCtx, a *attempt) result {
	tk, refused := s.openTicket(a.hop)
	if refused != nil {
		return *refused
	}
	a.ticket = tk
	v := s.beginGuarded(a)
	if v.Status == guard.Fresh {
		return s.admit(ctx, a)
	}
	if v.Status == guard.Running {
		v = s.awaitFirst(a)
	}
	return resultOf(v)
}

// openTicket opens the ticket of h and checks that it was issued for the
// caller, the operation and this target. Otherwise it returns the result: a
// refusal if there is no ticket, an unknown outcome if the ticket is not valid.
func (s *Server) openTicket(h hop.Hop) (ticket.Ticket, *result) {
	if h.Ticket == "" {
		return ticket.Ticket{}, refusal(fasthttp.StatusPreconditionRequired, refuse.Ticket, "The operation may not be repeated and the attempt has no ticket.")
	}
	tk, err := s.cfg.Tickets.Open(h.Ticket)
	if err == nil {
		err = tk.Match(h.Caller, h.Path)
	}
	if err == nil {
		err = tk.MatchTarget(s.cfg.Self)
	}
	if err != nil {
		res := unknownOutcome(fasthttp.StatusForbidden, refuse.Ticket, "The ticket is not valid for this attempt.")
		return tk, &res
	}
	return tk, nil
}

// beginGuarded records the arrival of the attempt with the guard. Handed-over
// outcomes of the ticket's daemon take precedence.
func (s *Server) beginGuarded(a *attempt) guard.Verdict {
	now := s.cfg.Clock.Now()
	if v, ok := s.cfg.Handovers.Begin(now, a.ticket, a.hop.Digest); ok {
		return v
	}
	return s.cfg.Guard.Begin(now, a.ticket, a.hop.Digest)
}

// awaitFirst waits until the first attempt on the ticket has ended. It returns
// the status Running if the deadline of a passes or a is cancelled before that.
func (s *Server) awaitFirst(a *attempt) guard.Verdict {
	for {
		select {
		case <-s.attempts.cancelled(a.hop.Attempt):
			return guard.Verdict{
				Status: guard.Running,
			}
		case <-s.cfg.Clock.After(replayPollInterval):
		}
		v := s.beginGuarded(a)
		if v.Status != guard.Running || s.cfg.Clock.Now() >= a.deadline {
			return v
		}
	}
}

// resultOf returns the result for any verdict other than Fresh.
func resultOf(v guard.Verdict) result {
	switch v.Status {
	case guard.Done:
		if v.Reason == guard.AnswerTooLarge {
			return answerTooLarge()
		}
		return result{
			state: reply.Done,
			kept:  &v.Answer,
		}
	case guard.NotRun:
		return guardRefusal(v.Reason)
	case guard.Running:
		return result{
			state:   reply.Running,
			problem: refuse.Unknown(fasthttp.StatusConflict, refuse.Duplicate, "The request is running."),
		}
	case guard.Mismatch:
		return unknownOutcome(fasthttp.StatusUnprocessableEntity, refuse.Ticket, "The ticket was used for a request with other content.")
	default:
		return unknownOutcome(fasthttp.StatusConflict, refuse.Lost, "The daemon cannot tell whether the request ran: "+v.Reason.String()+".")
	}
}

// answerTooLarge returns the result of a request that ran but whose answer was
// too large for the guard to keep.
func answerTooLarge() result {
	p := refuse.Problem{
		Title:   "The request ran; its answer was too large to keep.",
		Status:  fasthttp.StatusGone,
		Reason:  refuse.Large,
		Outcome: header.Done,
	}
	return result{
		state: reply.Done,
		kept: &guard.Answer{
			Status: p.Status,
			Fields: []guard.Field{
				{
					Name:  fasthttp.HeaderContentType,
					Value: refuse.ContentType,
				},
			},
			Body: p.Encode(),
		},
	}
}

// guardRefusal returns the refusal for a reason of the guard.
func guardRefusal(reason guard.Reason) result {
	switch reason {
	case guard.Full:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Full, "The daemon cannot remember another request.")
	case guard.Closed:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Leaving, "The target is leaving.")
	default:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Ticket, "The ticket is fenced: "+reason.String()+".")
	}
}

// copyAnswer returns a copy of the target's answer for the guard to keep.
func copyAnswer(resp *fasthttp.Response) guard.Answer {
	a := guard.Answer{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		if isConnectionField(name) {
			continue
		}
		a.Fields = append(a.Fields, guard.Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return a
}

// isConnectionField reports whether a header field belongs to a single
// connection or response, so that it must not be replayed.
func isConnectionField(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderDate, fasthttp.HeaderServer, header.Attempt:
		return true
	}
	return false
}
