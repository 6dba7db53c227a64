// Package client sends requests to the daemons of siskinswitch the way that
// keeps their promises: a request that may not be repeated runs at most once,
// and its caller learns what became of it.
//
// [Client.Do] sends a request to one of the daemons, and tries again through
// others until an answer says what became of it or the attempts or the time
// run out. For an operation that may not be repeated the first answer carries
// a ticket. The client keeps to three rules. It holds one ticket at a time. It
// sends each further try on that ticket, so that it gets the outcome of the
// first. It takes another ticket only when an answer said not-run of the last
// one, or when it has never sent it.
//
// When the tries end in doubt, the client asks what became of the ticket. The
// answer fences a request that has not run, so giving up ends with done or
// not-run wherever the guard of the ticket, or its heir, can be reached.
//
// A request whose outcome is unknown even so comes back with its ticket. Later
// there are two ways. [Client.Ask] learns the outcome and never runs the
// request. Sending it again with [Request.Ticket] set, through any daemon, runs
// it if it has never run.
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
	// DefaultTicketLife is how long an unsent ticket is worth sending.
	DefaultTicketLife = 5 * clock.Second
)

// Config configures a Client. Zero values of numbers take the defaults.
type Config struct {
	// Daemons are the "ip:port" outbound addresses of daemons, the nearest first.
	Daemons []string
	// Secret is the caller's bearer token.
	Secret string
	// Tries bounds the exchanges of one request.
	Tries int
	// Deadline bounds the tries of one request, if the request sets no other.
	Deadline clock.Milli
	// AskWait bounds one question about a ticket after the tries. At most two
	// are asked.
	AskWait clock.Milli
	// TryWait bounds one exchange.
	TryWait clock.Milli
	// Backoff is the mean wait before the second try. It doubles with each
	// further one up to MaxBackoff.
	Backoff    clock.Milli
	MaxBackoff clock.Milli
	// TicketLife is how long after its arrival an unsent ticket is still sent.
	TicketLife clock.Milli
	// Exchange makes one exchange; nil takes [NewHTTP] with its defaults.
	Exchange func(Message) (Reply, error)
	// Clock is the time; the zero value takes the system's.
	Clock clock.Clock
	// Jitter returns a number in [0, n); nil takes a random one.
	Jitter func(n int64) int64
	// NewKey returns an idempotency key that no other request has; nil takes a
	// random one.
	NewKey func() string
}

// Request is one request of the caller.
type Request struct {
	// Method is the HTTP method, POST if empty.
	Method string
	// Path is "service/operation".
	Path string
	// Fields are header fields for the target.
	Fields []Field
	Body   []byte
	// Key is the caller's own id of the request; empty takes a new one. The
	// same key must not be used for two requests.
	Key string
	// Ticket is that of an earlier Result, to learn what became of the same
	// request.
	Ticket string
	// Deadline bounds the tries of the request.
	Deadline clock.Milli
}

// Outcome is what became of a request.
type Outcome string

// Outcomes.
const (
	// Done: the request ran, and the result is its whole answer.
	Done Outcome = header.Done
	// NotRun: the request did not run and will not.
	NotRun Outcome = header.NotRun
	// Unknown: nobody could tell. Ask again with the result's ticket.
	Unknown Outcome = header.Unknown
)

// Result is the end of a request as the caller sees it.
type Result struct {
	Outcome Outcome
	// Reply is the last answer, zero if there was none. It is the target's if
	// the outcome is Done, otherwise a problem of a daemon. An answer that was
	// too long to keep for a later try is Done with a problem of status 410.
	Reply Reply
	// Ticket is set when the outcome is Unknown and the request travelled on a
	// ticket.
	Ticket string
	// Tries is the number of exchanges made, without questions.
	Tries int
	// Err is the last exchange's failure, if it failed.
	Err error
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client. It returns an *Error of kind Settings when there is no
// daemon to send to.
func New(cfg Config) (*Client, error) {
	if len(cfg.Daemons) == 0 {
		return nil, fail("new", Settings, errNoDaemon)
	}
	return &Client{cfg: cfg.withDefaults()}, nil
}

// Do sends req and returns what became of it. The error is an *Error about
// the request itself; failures on the way are part of the result. When ctx
// ends, Do returns after the exchange in progress.
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

// parseSeconds reads a number of seconds, 0 if text is none.
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
