package client

import (
	"context"

	"siskinswitch.example/siskin/pkg/header"
)

const (
	// outcomePath is where daemons answer questions about tickets.
	outcomePath = "/outcome"
	// maxQueries bounds the questions at the end of one request.
	maxQueries = 2
)

// Ask asks what became of the request on a ticket that an earlier [Result]
// came with. Asking never runs the request: if it has not run by then, the
// outcome is NotRun and it never will. The error is an *Error of kind Misuse.
func (c *Client) Ask(ctx context.Context, ticket string) (Result, error) {
	if ticket == "" {
		return Result{}, fail("ask", Misuse, errNoTicket)
	}
	s := c.newSession(Request{
		Ticket: ticket,
	})
	s.outcome = Unknown
	s.resolveOutcome(ctx)
	return s.result(), nil
}

// resolveOutcome asks about the ticket when the tries have ended in doubt, so that the
// caller can give up with a trusted answer.
func (s *session) resolveOutcome(ctx context.Context) {
	if s.outcome != Unknown || s.final || s.held.ticket == "" || !s.held.sent {
		return
	}
	for range maxQueries {
		if ctx.Err() != nil || s.queryOutcome() {
			return
		}
		s.daemonIndex++
	}
}

// queryOutcome makes one question and reports whether the answer settles the request.
func (s *session) queryOutcome() bool {
	reply, err := s.cfg.Exchange(s.outcomeQuery())
	if err != nil {
		return false
	}
	switch Outcome(reply.Field(header.Outcome)) {
	case Done:
		s.outcome = Done
	case NotRun:
		s.outcome = NotRun
		s.held = heldTicket{}
	default:
		return false
	}
	s.lastReply = reply
	s.err = nil
	return true
}

func (s *session) outcomeQuery() Message {
	return Message{
		Daemon: s.cfg.Daemons[s.daemonIndex%len(s.cfg.Daemons)],
		Method: "GET",
		Path:   outcomePath,
		Fields: []Field{
			{
				Name:  authorizationField,
				Value: bearer + s.cfg.Secret,
			},
			{
				Name:  header.Ticket,
				Value: s.held.ticket,
			},
		},
		Wait: s.cfg.AskWait,
	}
}
