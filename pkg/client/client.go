// Package client sends requests to the daemons of siskinswitch. It retries them
// such that a request of a non-idempotent operation runs at most once and its
// caller learns the outcome.
//
// [Client.Do] sends a request to a daemon and retries through other daemons until
// an answer states the outcome, or the tries or the deadline are exhausted. For a
// non-idempotent operation, the first answer carries a ticket that names the one
// target on which the request may run. The client follows three rules:
//
//   - It holds one ticket at a time.
//   - It sends every further try with that ticket, so that it gets the outcome of
//     the first try that arrived.
//   - It takes another ticket only if an answer stated not-run for the current
//     one, or if it has never sent the current one.
//
// If the outcome is still unknown after the last try, the client queries it with
// the ticket. The query fences a request that has not run, so that it can never
// run later. The result is therefore done or not-run if the daemon that guards the
// ticket, or one of its successors, can be reached.
//
// If the outcome stays unknown, the result contains the ticket. There are two ways
// to use it later. [Client.Ask] queries the outcome and never runs the request.
// Sending the request again with [Request.Ticket] set, through any daemon, returns
// its outcome, and runs it if it has never run.
package client

import (
	"context"
	"strconv"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// Defaults of a Config.
const (
	DefaultTries      = 4
	DefaultDeadline   = 10 * clock.Second
	DefaultTryWait    = 3 * clock.Second
	DefaultBackoff    = 100 * clock.Millisecond
	DefaultMaxBackoff = 2 * clock.Second
	DefaultAskWait    = 2 * clock.Second
	// DefaultTicketLife is how long an unsent ticket is kept.
	DefaultTicketLife = 5 * clock.Second
)

// Config configures a Client. Numbers that are zero or less take the defaults.
type Config struct {
	// Daemons are the "ip:port" outbound addresses of daemons, the nearest first.
	Daemons []string
	// Secret is the caller's bearer token.
	Secret string
	// Tries bounds the exchanges of one request, without outcome queries.
	Tries int
	// Deadline bounds the time for the tries of a request that sets no deadline of
	// its own.
	Deadline clock.Milli
	// AskWait bounds the time of one outcome query. A request makes at most two
	// after its tries; its deadline does not bound them.
	AskWait clock.Milli
	// TryWait bounds the time of one try.
	TryWait clock.Milli
	// Backoff is the mean wait before the second try. The mean doubles with each
	// further try, up to MaxBackoff.
	Backoff    clock.Milli
	MaxBackoff clock.Milli
	// TicketLife is how long an unsent ticket is kept. After that, the next try
	// gets a new one.
	TicketLife clock.Milli
	// Exchange sends one message and returns its complete answer. nil uses
	// [NewHTTP] with its defaults.
	Exchange func(Message) (Reply, error)
	// Clock reads and waits for time; the zero value uses the system's clock.
	Clock clock.Clock
	// Jitter returns a number in [0, n); nil uses a random number.
	Jitter func(n int64) int64
	// NewKey returns an idempotency key that no other request has; nil uses random
	// keys.
	NewKey func() string
}

// Request is one request of a caller.
type Request struct {
	// Method is the HTTP method; empty means POST.
	Method string
	// Path is "service/operation".
	Path string
	// Fields are additional header fields for the target.
	Fields []Field
	Body   []byte
	// Key is the idempotency key that identifies the request; empty uses
	// Config.NewKey. Two requests must not share a key.
	Key string
	// Ticket is the ticket of an earlier Result of the same request. The client
	// then continues with that ticket.
	Ticket string
	// Deadline bounds the time for the tries of the request; zero or less uses
	// Config.Deadline.
	Deadline clock.Milli
}

// Outcome states whether a request ran.
type Outcome string

// Outcomes.
const (
	// Done: the request ran, and the result contains its complete answer.
	Done Outcome = header.Done
	// NotRun: the request did not run and never will.
	NotRun Outcome = header.NotRun
	// Unknown: the request may have run. Use the ticket of the result, if it has
	// one, to query the outcome later.
	Unknown Outcome = header.Unknown
)

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Reply is the last answer, zero if there was none. If Outcome is Done, it is
	// the target's answer, otherwise a problem document of a daemon. If the request
	// ran in an earlier try and its answer was too large to keep, Outcome is Done
	// and Reply a problem document with status 410.
	Reply Reply
	// Ticket is the ticket of the request if Outcome is Unknown, otherwise empty.
	// It is also empty if no answer offered a ticket.
	Ticket string
	// Tries is the number of exchanges made, without outcome queries.
	Tries int
	// Err is the error of the last try. It is nil if that try got an answer, or if
	// an outcome query afterwards stated done or not-run.
	Err error
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client. It returns an *Error of kind Settings if cfg names no
// daemon.
func New(cfg Config) (*Client, error) {
	if len(cfg.Daemons) == 0 {
		return nil, fail("new", Settings, errNoDaemon)
	}
	return &Client{cfg: cfg.withDefaults()}, nil
}

// Do sends req, retries it and returns its result. It returns an *Error of kind
// Misuse if req has no path; failed exchanges are part of the result instead. When
// ctx ends, Do returns after the exchange in progress.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	if req.Path == "" {
		return Result{}, fail("do", Misuse, errNoPath)
	}
	s := c.newSession(req)
	for s.mayTry(ctx) {
		if s.try() {
			break
		}
		s.pause(ctx)
	}
	s.resolveOutcome(ctx)
	return s.result(), nil
}

func (c *Client) newSession(req Request) *session {
	now := c.cfg.Clock.Now()
	if req.Method == "" {
		req.Method = "POST"
	}
	if req.Key == "" {
		req.Key = c.cfg.NewKey()
	}
	if req.Deadline <= 0 {
		req.Deadline = c.cfg.Deadline
	}
	return &session{
		cfg:      c.cfg,
		req:      req,
		trace:    traceparent(c.cfg.NewKey()),
		deadline: now + req.Deadline,
		held: heldTicket{
			ticket:  req.Ticket,
			sent:    req.Ticket != "",
			arrived: now,
		},
	}
}

// parseSeconds parses a whole number of seconds. It returns 0 if text is not one.
func parseSeconds(text string) clock.Milli {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return clock.Milli(n) * clock.Second
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, c clock.Clock, d clock.Milli) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-c.After(d):
	}
}
