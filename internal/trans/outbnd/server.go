// Package outbnd is the outbound side of a daemon. It accepts calls from outside
// callers and from the target beside the daemon, chooses a target for each call
// and sends the call to the daemon beside that target, the target's guard.
//
// The server first reads from the request the caller, the operation, the deadline,
// the retry units and the importance. A call from outside is the root of a new
// chain. A downstream call is one that the target beside this daemon makes while
// it serves another request; it carries the context token of that request, its
// parent, and takes caller, importance, deadline and retry units from it.
//
// The server then makes attempts until one is done, or until deadline, retry
// units, retry ratio or targets are exhausted. A late attempt of an idempotent
// operation may be hedged. If an answer is lost or very late, the server queries
// the guard for the outcome of the attempt. The answer to the caller states the
// outcome of the call: done, not-run only if every attempt was proved not to have
// run, otherwise unknown.
//
// A non-idempotent operation is sent on a ticket; tickets.go explains how.
package outbnd

import (
	"sync/atomic"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// Metrics are the counters of a [Server]. Each function counts one event and must
// be safe for concurrent use.
type Metrics struct {
	// Answered counts an answered call.
	Answered func(Answered)
	// Attempts counts all attempts, Retries and Hedges the extra attempts among
	// them.
	Attempts func()
	Retries  func()
	Hedges   func()
	// Resolved counts outcomes that were sought with a query to a guard. The
	// state is the reported one if an answer was lost, "lost" if no outcome was
	// found, "silent" for an attempt whose connection delivered nothing, "asked"
	// for a caller's outcome query, and "heir" if a successor had the outcome.
	Resolved func(state string)
}

// Answered describes one answer to an outside caller or to the target beside the
// daemon.
type Answered struct {
	// Path is "service/operation", empty if the call could not be read.
	Path       string
	Caller     string
	Importance string
	Outcome    string
	// Status is the HTTP status of the answer.
	Status int
	Reason refuse.Reason
	// Root is true for a call from outside, false for a downstream call.
	Root bool
	Took clock.Milli
}

// Config configures a [Server].
type Config struct {
	// Self is the name of the target beside the daemon.
	Self  string
	Clock clock.Clock
	// Keys are the fleet's keys. The first one seals hops.
	Keys [][]byte
	// Tickets seals and opens tickets under the same keys.
	Tickets    *ticket.Keys
	View       *view.Cell
	Routes     *route.Table
	Chains     *chain.Table
	Pool       *pool.Pool
	RequestLog *reqlog.Ring
	Metrics    Metrics
	Log        *zap.Logger
	// Window is how long guards keep the outcome of a non-idempotent request.
	Window clock.Milli
	// MinQueryDelay is the shortest time after which the guard is queried about
	// an unanswered attempt.
	MinQueryDelay clock.Milli
	// Salt makes the shedding rank of root requests unpredictable to callers.
	// All daemons derive the same salt from the fleet key.
	Salt uint64
	// Nonce makes attempt ids unique to this incarnation of the daemon.
	Nonce uint64
}

// Server serves outbound calls. It is safe for concurrent use.
type Server struct {
	keys        *hop.Keys
	cfg         Config
	lastAttempt atomic.Uint64
	busy        atomic.Int64
	router      *router.Router
}

// New returns a server. Its Handler must be served on the daemon's outbound
// address.
func New(cfg Config) *Server {
	s := &Server{
		keys: hop.NewKeys(cfg.Keys),
		cfg:  cfg,
	}
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.GET(outcomePath, s.serveOutcome)
	r.ANY("/{service}/{operation}", s.serve)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		s.refuse(ctx, nil, refuse.NotRun(fasthttp.StatusNotFound, refuse.Absent, "The path is not of the form /service/operation."))
	}
	s.router = r
	return s
}

// Handler serves one HTTP request.
func (s *Server) Handler(ctx *fasthttp.RequestCtx) {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	s.router.Handler(ctx)
}

// Busy returns the number of calls in progress.
func (s *Server) Busy() int64 { return s.busy.Load() }

// Malformed answers a request that could not be read as HTTP. The outcome is
// unknown, because the unread part may hold a ticket on which the request ran
// before. The outcome is not-run only if the whole header was read and holds no
// ticket and no context token.
func Malformed(ctx *fasthttp.RequestCtx, err error) {
	p := refuse.Unknown(fasthttp.StatusBadRequest, refuse.Malformed, "The request could not be read.")
	if isTooLarge(err) {
		p.Status = fasthttp.StatusRequestEntityTooLarge
		p.Reason = refuse.Large
		if isHeaderWhole(ctx) && !mayHaveRun(ctx, nil) {
			p.Outcome = header.NotRun
		}
	}
	ctx.SetConnectionClose()
	writeProblem(ctx, p.WithDetail(err.Error()))
}

// isHeaderWhole reports whether the header of a request whose body is too large
// is available. fasthttp clears the header if the request has no Content-Length.
func isHeaderWhole(ctx *fasthttp.RequestCtx) bool {
	return ctx.Request.Header.ContentLength() > 0
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	start := s.cfg.Clock.Now()
	c, problem := s.readCall(ctx, start)
	if c != nil {
		defer c.returnBudget()
	}
	if problem != nil {
		s.refuse(ctx, c, *problem)
		return
	}
	if c.op.AtMostOnce || s.isOnTicket(ctx, c) {
		s.serveNonIdempotent(ctx, c)
		return
	}
	s.writeResult(ctx, c, s.runIdempotent(c))
}

// isOnTicket reports whether the call has a ticket from before. Such a call keeps
// running at most once, even if the rules now call its operation idempotent.
func (s *Server) isOnTicket(ctx *fasthttp.RequestCtx, c *call) bool {
	if c.parent != nil {
		return c.key != "" && c.parent.HasCall(c.callKey())
	}
	return len(ctx.Request.Header.Peek(header.Ticket)) > 0
}

// refuse answers a call for which this daemon made no attempt. It overrides the
// outcome of p with unknown if the same request may have run when it was sent
// before.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	if mayHaveRun(ctx, c) {
		p.Outcome = header.Unknown
	}
	s.writeRefusal(ctx, c, p)
}

// mayHaveRun reports whether the same request may have run when it was sent
// before: it brings a ticket, or it is a non-idempotent downstream call for which
// this daemon made an attempt or which it cannot identify.
func mayHaveRun(ctx *fasthttp.RequestCtx, c *call) bool {
	if len(ctx.Request.Header.Peek(header.Ticket)) > 0 {
		return true
	}
	if len(ctx.Request.Header.Peek(header.Context)) == 0 {
		return false
	}
	if c == nil || c.op == nil {
		return true
	}
	if c.parent == nil {
		return c.op.AtMostOnce
	}
	return c.parent.HasCall(c.callKey())
}

// writeRefusal answers with p, without changing its outcome, and records the
// answer. The call may be nil.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	if c != nil {
		p = p.WithID(c.id)
	}
	writeProblem(ctx, p)
	s.record(c, p.Outcome, p.Status, p.Reason)
}

func (s *Server) writeResult(ctx *fasthttp.RequestCtx, c *call, r result) {
	c.target = r.target
	if r.answer == nil {
		p := r.problem
		p.Outcome = r.outcome()
		s.writeRefusal(ctx, c, p)
		return
	}
	defer fasthttp.ReleaseResponse(r.answer)
	writeAnswer(ctx, r.answer)
	ctx.Response.Header.Set(header.Outcome, header.Done)
	ctx.Response.Header.Set(header.ID, c.id)
	s.record(c, header.Done, ctx.Response.StatusCode(), "")
}

func (s *Server) record(c *call, outcome string, status int, reason refuse.Reason) {
	a := Answered{
		Outcome: outcome,
		Status:  status,
		Reason:  reason,
	}
	if c != nil {
		a.Took = s.cfg.Clock.Now() - c.start
		a.Path = c.path
		a.Caller = c.caller
		a.Importance = c.importance.String()
		a.Root = c.parent == nil
		tries, tried := c.attemptTargets()
		s.cfg.RequestLog.Add(reqlog.Entry{
			Time:           s.cfg.Clock.Wall(),
			Root:           c.root,
			ID:             c.id,
			Path:           c.path,
			Caller:         c.caller,
			Importance:     c.importance,
			Direction:      reqlog.Outbound,
			Depth:          c.depth,
			Target:         c.target,
			Outcome:        outcome,
			Status:         status,
			Reason:         string(reason),
			Attempts:       tries,
			AttemptTargets: tried,
			Took:           a.Took,
		})
	}
	s.cfg.Metrics.Answered(a)
}
