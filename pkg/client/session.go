package client

import (
	"context"
	"strconv"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// HTTP statuses that decide whether another try can succeed.
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
	// sent is set when the ticket may have reached a daemon.
	sent bool
	// arrived is the instant at which the client received the ticket.
	arrived clock.Milli
}

// session is the state of one request during its tries.
type session struct {
	cfg      Config
	req      Request
	trace    string
	deadline clock.Milli
	held     heldTicket

	tries int
	// daemonIndex, modulo their number, selects the daemon for the next exchange.
	daemonIndex int
	// outcome is the last outcome of the held ticket, or of the request if no ticket
	// is held. It is empty before the first try.
	outcome Outcome
	// final is set when another try cannot change the outcome.
	final     bool
	lastReply Reply
	err       error
	// retryAfter is the minimum wait that the last answer asked for.
	retryAfter clock.Milli
}

// mayTry reports whether the context, the number of tries and the deadline allow
// another try.
func (s *session) mayTry(ctx context.Context) bool {
	return ctx.Err() == nil && s.tries < s.cfg.Tries && s.cfg.Clock.Now() < s.deadline
}

// try makes one exchange and reports whether the result is final.
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

// dropStaleTicket discards a ticket that has not been sent within TicketLife. The
// daemon that guards the ticket may no longer exist, and a ticket that was never
// sent cannot have run anything.
func (s *session) dropStaleTicket() {
	if s.held.ticket != "" && !s.held.sent && s.cfg.Clock.Now()-s.held.arrived >= s.cfg.TicketLife {
		s.held = heldTicket{}
	}
}

// message returns the message of the next try.
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

// takeReply updates the outcome from an answer and reports whether it is final.
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

// replaceTicket holds the ticket of a not-run answer, which may be empty, instead
// of the current one.
func (s *session) replaceTicket(ticket string) {
	s.held = heldTicket{
		ticket:  ticket,
		arrived: s.cfg.Clock.Now(),
	}
}

// markUnknown records that the last try may have run, and selects the next daemon.
// This also holds for a try without a ticket, which is simply repeated: it cannot
// have run a non-idempotent operation, and an idempotent one may run again.
func (s *session) markUnknown() {
	s.outcome = Unknown
	s.daemonIndex++
}

// isFinal reports whether every further try would get the same answer because the
// request itself is at fault.
func isFinal(status int) bool {
	switch status {
	case statusConflict, statusNeedsTicket, statusTooMany, statusTimeout:
		return false
	}
	return status >= firstClientError && status < firstServerError
}

// pause waits with backoff and jitter before the next try. It does not wait if the
// last answer asked for the ticket that it carries: the ticket is best sent while the
// daemon that guards it is known to be up.
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

// maxDoublings keeps the doubled backoff from overflowing.
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
