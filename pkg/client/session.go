package client

import (
	"context"
	"strconv"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// HTTP statuses that tell more than the outcome does.
const (
	statusConflict     = 409
	statusNeedsTicket  = 428
	statusTooMany      = 429
	firstClientError   = 400
	firstServerError   = 500
	statusTimeout      = 408
	authorizationField = "Authorization"
	bearer             = "Bearer "
)

// heldTicket is the one ticket that a session holds.
type heldTicket struct {
	ticket string
	// sent says that the ticket may have reached a daemon.
	sent bool
	// arrived is when it arrived.
	arrived clock.Milli
}

// session is one request on its way.
type session struct {
	cfg      Config
	req      Request
	trace    string
	deadline clock.Milli
	held     heldTicket

	tries int
	// daemonIndex counts the daemons that were given up on.
	daemonIndex int
	// outcome is the last word on the held ticket, or on the bare request.
	outcome   Outcome
	final     bool
	lastReply Reply
	err       error
	// retryAfter is the wait that the last answer asked for.
	retryAfter clock.Milli
}

// mayTry reports whether there is another try.
func (s *session) mayTry(ctx context.Context) bool {
	return ctx.Err() == nil && s.tries < s.cfg.Tries && s.cfg.Clock.Now() < s.deadline
}

// try makes one exchange and reports whether it settles the request.
func (s *session) try() bool {
	s.dropStaleTicket()
	m := s.message()
	s.tries++
	if s.held.ticket != "" {
		s.held.sent = true
	}
	reply, err := s.cfg.Exchange(m)
	s.retryAfter = 0
	s.err = err
	if err != nil {
		s.markUnknown()
		return false
	}
	s.lastReply = reply
	s.retryAfter = parseSeconds(reply.Field(header.RetryAfter))
	return s.takeReply(reply)
}

// dropStaleTicket gives up a ticket that has lain unsent for too long: its guard may
// be gone, and a ticket that was never sent needs no proof of not-run.
func (s *session) dropStaleTicket() {
	if s.held.ticket != "" && !s.held.sent && s.cfg.Clock.Now()-s.held.arrived >= s.cfg.TicketLife {
		s.held = heldTicket{}
	}
}

func (s *session) message() Message {
	remaining := s.deadline - s.cfg.Clock.Now()
	fields := append([]Field(nil), s.req.Fields...)
	set := func(name, value string) {
		fields = append(fields, Field{
			Name:  name,
			Value: value,
		})
	}
	set(authorizationField, bearer+s.cfg.Secret)
	set(header.IdempotencyKey, s.req.Key)
	set(header.Traceparent, s.trace)
	set(header.Deadline, strconv.FormatInt(int64(remaining), 10))
	if s.held.ticket != "" {
		set(header.Ticket, s.held.ticket)
	}
	return Message{
		Daemon: s.cfg.Daemons[s.daemonIndex%len(s.cfg.Daemons)],
		Method: s.req.Method,
		Path:   "/" + s.req.Path,
		Fields: fields,
		Body:   s.req.Body,
		Wait:   min(remaining, s.cfg.TryWait),
	}
}

// takeReply takes an answer in and reports whether it settles the request.
func (s *session) takeReply(reply Reply) bool {
	switch Outcome(reply.Field(header.Outcome)) {
	case Done:
		s.outcome = Done
		s.final = true
	case NotRun:
		s.outcome = NotRun
		s.replaceTicket(reply.Field(header.Ticket))
		s.final = isFinal(reply.Status)
	default:
		s.markUnknown()
		s.final = s.outcome == Unknown && isFinal(reply.Status)
	}
	return s.final
}

// replaceTicket puts the ticket of a not-run answer in the place of the present one.
func (s *session) replaceTicket(ticket string) {
	s.held = heldTicket{
		ticket:  ticket,
		arrived: s.cfg.Clock.Now(),
	}
}

// markUnknown notes that the last try may have run, and turns to the next daemon. A
// bare try of an operation that may not be repeated has not, and any other may
// be repeated, so a bare request is simply sent again.
func (s *session) markUnknown() {
	s.outcome = Unknown
	s.daemonIndex++
}

// isFinal reports whether an answer without an outcome of its own would be the
// same again: the request itself is at fault.
func isFinal(status int) bool {
	switch status {
	case statusConflict, statusNeedsTicket, statusTooMany, statusTimeout:
		return false
	}
	return status >= firstClientError && status < firstServerError
}

// pause waits before the next try. A ticket that has just arrived is sent at
// once, while its guard is sure to be there.
func (s *session) pause(ctx context.Context) {
	isTicketFresh := s.lastReply.Status == statusNeedsTicket && s.err == nil && s.held.ticket != "" && !s.held.sent
	if isTicketFresh || !s.mayTry(ctx) {
		return
	}
	mean := min(s.cfg.Backoff<<min(s.tries-1, maxDoublings), s.cfg.MaxBackoff)
	d := mean/2 + clock.Milli(s.cfg.Jitter(int64(mean)+1))
	d = max(d, s.retryAfter)
	wait(ctx, s.cfg.Clock, min(d, s.deadline-s.cfg.Clock.Now()))
}

// maxDoublings keeps the doubling of the backoff within range.
const maxDoublings = 16

func (s *session) result() Result {
	r := Result{
		Outcome: s.outcome,
		Reply:   s.lastReply,
		Tries:   s.tries,
		Err:     s.err,
	}
	if s.outcome == "" {
		r.Outcome = NotRun
		if s.held.sent {
			r.Outcome = Unknown
		}
	}
	if r.Outcome == Unknown {
		r.Ticket = s.held.ticket
	}
	return r
}
