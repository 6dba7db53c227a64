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
	// replayStep is the interval at which a repeated request looks whether the
	// first has ended.
	replayStep = 10 * clock.Millisecond
)

// isGuarded reports whether the attempt goes past the guard. A ticket counts
// whatever the rules say now, because an earlier attempt may have run on it.
func (a *attempt) isGuarded() bool { return a.op.AtMostOnce || a.hop.Ticket != "" }

// prove makes a refusal that was decided without the guard true. An attempt on
// a ticket may have been made before, so the guard has the word: its query
// fences a request that it has not seen.
func (s *Server) prove(a *attempt, refused ending) ending {
	if a.hop.Ticket == "" {
		return refused
	}
	end := s.queryTicket(a.hop)
	if end.state == reply.NotRun {
		return refused
	}
	return end
}

// serveOnce takes a once-only attempt past the guard.
func (s *Server) serveOnce(ctx *fasthttp.RequestCtx, a *attempt) ending {
	tk, refused := s.openTicket(a.hop)
	if refused != nil {
		return *refused
	}
	a.ticket = tk
	v := s.begin(a)
	if v.Status == guard.Fresh {
		return s.admit(ctx, a)
	}
	if v.Status == guard.Running {
		v = s.follow(a)
	}
	return endingOf(v)
}

func (s *Server) openTicket(h hop.Hop) (ticket.Ticket, *ending) {
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
		end := lost(fasthttp.StatusForbidden, refuse.Ticket, "The ticket is not valid for this attempt.")
		return tk, &end
	}
	return tk, nil
}

// begin asks the guard, or the tables that other daemons handed over.
func (s *Server) begin(a *attempt) guard.Verdict {
	now := s.cfg.Clock.Now()
	if v, ok := s.cfg.Handovers.Begin(now, a.ticket, a.hop.Digest); ok {
		return v
	}
	return s.cfg.Guard.Begin(now, a.ticket, a.hop.Digest)
}

// follow waits for the first arrival of the request to end.
func (s *Server) follow(a *attempt) guard.Verdict {
	for {
		select {
		case <-s.tries.cancelled(a.hop.Attempt):
			return guard.Verdict{
				Status: guard.Running,
			}
		case <-s.cfg.Clock.After(replayStep):
		}
		v := s.begin(a)
		if v.Status != guard.Running || s.cfg.Clock.Now() >= a.deadline {
			return v
		}
	}
}

// endingOf turns a verdict other than Fresh into an ending.
func endingOf(v guard.Verdict) ending {
	switch v.Status {
	case guard.Done:
		if v.Reason == guard.AnswerTooLarge {
			return endedTooLarge()
		}
		return ending{
			state: reply.Done,
			kept:  &v.Answer,
		}
	case guard.NotRun:
		return notRunOf(v.Reason)
	case guard.Running:
		return ending{
			state:   reply.Running,
			problem: refuse.Unknown(fasthttp.StatusConflict, refuse.Duplicate, "The request is running."),
		}
	case guard.Mismatch:
		return lost(fasthttp.StatusUnprocessableEntity, refuse.Ticket, "The ticket was used for a request with other content.")
	default:
		return lost(fasthttp.StatusConflict, refuse.Lost, "The daemon cannot tell whether the request ran: "+v.Reason.String()+".")
	}
}

// endedTooLarge answers for a request that ran and whose answer is gone.
func endedTooLarge() ending {
	p := refuse.Problem{
		Title:   "The request ran; its answer was too large to keep.",
		Status:  fasthttp.StatusGone,
		Reason:  refuse.Large,
		Outcome: header.Done,
	}
	return ending{
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

func notRunOf(reason guard.Reason) ending {
	switch reason {
	case guard.Full:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Full, "The daemon cannot remember another request.")
	case guard.Closed:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Leaving, "The target is leaving.")
	default:
		return *refusal(fasthttp.StatusServiceUnavailable, refuse.Ticket, "The ticket is fenced: "+reason.String()+".")
	}
}

// answerOf copies a target's answer for the guard to keep.
func answerOf(resp *fasthttp.Response) guard.Answer {
	a := guard.Answer{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		if isOfConnection(name) {
			continue
		}
		a.Fields = append(a.Fields, guard.Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return a
}

func isOfConnection(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderDate, fasthttp.HeaderServer, header.Attempt:
		return true
	}
	return false
}
