package client

import (
	"context"

	"siskinswitch.example/siskin/pkg/header"
)

const (
	// outcomePath is the path at which daemons answer outcome queries.
	outcomePath = "/outcome"
	// maxQueries bounds the outcome queries of one request.
	maxQueries = 2
)

// Ask queries the outcome of the request whose ticket an earlier [Result] contains.
// It never runs the request: if the request has not run yet, the outcome is NotRun
// and the request can never run with that ticket. The outcome is Unknown if no
// daemon that knows it answers, or while the request runs. Ask returns an *Error of
// kind Misuse if ticket is empty.
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

// resolveOutcome queries the outcome if the tries have left it unknown, so that the
// caller can give up knowing whether the request ran.
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

// queryOutcome makes one outcome query and reports whether the answer states done or
// not-run.
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

// outcomeQuery returns the message that queries the outcome of the held ticket.
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
