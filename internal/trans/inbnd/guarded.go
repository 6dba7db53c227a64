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
	// replayPollInterval is the interval at which a repeated request looks whether the
	// first has ended.
	replayPollInterval = 10 * clock.Millisecond
)

// isGuarded reports whether the attempt goes past the guard. A ticket counts
// whatever the rules say now, because an earlier attempt may have run on it.
func (a *attempt) isGuarded() bool { return a.op.AtMostOnce || a.hop.Ticket != "" }

// confirmRefusal makes a refusal that was decided without the guard true. An attempt on
// a ticket may have been made before, so the guard has the word: its query
// fences a request that it has not seen.
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

// serveGuarded takes a once-only attempt past the guard.
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

// beginGuarded asks the guard, or the tables that other daemons handed over.
func (s *Server) beginGuarded(a *attempt) guard.Verdict {
	now := s.cfg.Clock.Now()
	if v, ok := s.cfg.Handovers.Begin(now, a.ticket, a.hop.Digest); ok {
		return v
	}
	return s.cfg.Guard.Begin(now, a.ticket, a.hop.Digest)
}

// awaitFirst waits for the first arrival of the request to end.
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

// resultOf turns a verdict other than Fresh into an ending.
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

// answerTooLarge answers for a request that ran and whose answer is gone.
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

// copyAnswer copies a target's answer for the guard to keep.
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

func isConnectionField(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderDate, fasthttp.HeaderServer, header.Attempt:
		return true
	}
	return false
}
