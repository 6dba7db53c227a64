// Package outbnd is the outbound side of a daemon: it takes calls from outside
// callers and from the target beside it, chooses a target for each and sends
// it to the daemon that guards that target.
//
// A call is resolved first: who calls, which operation, how much time, how many
// retry units, which importance. A call from outside starts a chain; a call
// with the context token of a request that runs on the target beside this
// daemon continues that request's chain and takes everything from it. Then
// attempts are made until one is done, or until time, units, budget or targets
// run out. The answer states an outcome: done, not-run only if every attempt
// was proved not to have run, otherwise unknown.
//
// An operation that may not be repeated travels on a ticket; tickets.go explains how.
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

// Metrics are the counters of a [Server]. Each function takes one event.
type Metrics struct {
	// Answered counts calls by operation, importance, outcome and reason.
	Answered func(Answered)
	// Attempts counts attempts, Retries and Hedges the extra ones among them.
	Attempts func()
	Retries  func()
	Hedges   func()
	// Resolved counts lost answers by what the guard said about them.
	Resolved func(state string)
}

// Answered describes one answer to a caller or to the target beside.
type Answered struct {
	// Path is "service/operation", empty when none was found.
	Path       string
	Caller     string
	Importance string
	Outcome    string
	// Status is the HTTP status of the answer.
	Status int
	Reason refuse.Reason
	// Root tells a call from outside from a deeper one.
	Root bool
	Took clock.Milli
}

// Config is what a [Server] is made from.
type Config struct {
	// Self is the name of the instance beside the daemon.
	Self  string
	Clock clock.Clock
	// Keys are the fleet's keys; the first seals hops.
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
	// Window is how long guards keep the outcome of a once-only request.
	Window clock.Milli
	// MinQueryDelay is the least time after which the guard is asked about an
	// attempt that has not been answered.
	MinQueryDelay clock.Milli
	// Salt makes the order of root requests unpredictable to callers; all
	// daemons derive it from the fleet key.
	Salt uint64
	// Nonce makes attempt ids unique to this run of the daemon.
	Nonce uint64
}

// Server serves calls. It is safe for concurrent use.
type Server struct {
	keys    *hop.Keys
	cfg     Config
	attempt atomic.Uint64
	busy    atomic.Int64
	router  *router.Router
}

// New returns a server; its Handler must be served on the outbound address.
func New(cfg Config) *Server {
	s := &Server{
		keys: hop.NewKeys(cfg.Keys),
		cfg:  cfg,
	}
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.GET(outcomePath, s.outcome)
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
// unknown, because the part that is missing may hold a ticket on which the
// request ran before. Only where the whole header was read, and shows that
// there is none, did it not run.
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

// isHeaderWhole reports whether the header of a request with too long a body
// was read. The library clears it where the length was not announced.
func isHeaderWhole(ctx *fasthttp.RequestCtx) bool {
	return ctx.Request.Header.ContentLength() > 0
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	start := s.cfg.Clock.Now()
	c, problem := s.resolve(ctx, start)
	if c != nil {
		defer c.end()
	}
	if problem != nil {
		s.refuse(ctx, c, *problem)
		return
	}
	if c.op.AtMostOnce || s.isOnTicket(ctx, c) {
		s.serveOnce(ctx, c)
		return
	}
	s.answer(ctx, c, s.run(c))
}

// isOnTicket reports whether the call was made on a ticket before. It stays
// guarded then, whatever the rules say of its operation now.
func (s *Server) isOnTicket(ctx *fasthttp.RequestCtx, c *call) bool {
	if c.parent != nil {
		return c.key != "" && c.parent.HasCall(c.callKey())
	}
	return len(ctx.Request.Header.Peek(header.Ticket)) > 0
}

// refuse answers a call that this daemon made no attempt for. It speaks for
// the whole request only if no earlier arrival of it can have run.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	if mayHaveRun(ctx, c) {
		p.Outcome = header.Unknown
	}
	s.refuseProved(ctx, c, p)
}

// mayHaveRun reports whether the same request may have run when it was sent
// before: it brings a ticket, or it is a once-only deeper call that this
// daemon made an attempt for or cannot know about.
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

// refuseProved answers with p as it stands.
func (s *Server) refuseProved(ctx *fasthttp.RequestCtx, c *call, p refuse.Problem) {
	if c != nil {
		p = p.WithID(c.id)
	}
	writeProblem(ctx, p)
	s.count(c, p.Outcome, p.Status, p.Reason)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, c *call, r result) {
	c.taken = r.target
	if r.answer == nil {
		p := r.problem
		p.Outcome = r.outcome()
		s.refuseProved(ctx, c, p)
		return
	}
	defer fasthttp.ReleaseResponse(r.answer)
	writeAnswer(ctx, r.answer)
	ctx.Response.Header.Set(header.Outcome, header.Done)
	ctx.Response.Header.Set(header.ID, c.id)
	s.count(c, header.Done, ctx.Response.StatusCode(), "")
}

func (s *Server) count(c *call, outcome string, status int, reason refuse.Reason) {
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
		tries, tried := c.tries()
		s.cfg.RequestLog.Add(reqlog.Entry{
			Time:           s.cfg.Clock.Wall(),
			Root:           c.root,
			ID:             c.id,
			Path:           c.path,
			Caller:         c.caller,
			Importance:     c.importance,
			Direction:      reqlog.Outbound,
			Depth:          c.depth,
			Target:         c.taken,
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
