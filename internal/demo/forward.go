package demo

import (
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	// hopRetries is the number of retries that a baseline makes at each hop.
	hopRetries = 3
	// forwardConns bounds a forwarder's connections to one target.
	forwardConns       = 16
	forwardIdleTimeout = 2 * clock.Second
	forwardDialTimeout = clock.Second
	forwardMaxBody     = 1 << 20
)

// targetLimit is the fixed concurrency limit of one target.
type targetLimit struct {
	addr string
	// max is the maximum number of requests in flight, 0 for no limit.
	max      int64
	inFlight atomic.Int64
}

func (b *targetLimit) acquire() bool {
	if b.inFlight.Add(1) <= b.max || b.max == 0 {
		return true
	}
	b.inFlight.Add(-1)
	return false
}

func (b *targetLimit) release() { b.inFlight.Add(-1) }

// forwarder is a baseline proxy. It sends each call to the targets of its
// service round robin and retries a failed attempt at the next target. The
// timeout of an attempt is the deadline of the operation. It neither forwards
// deadlines nor passes feedback between hops.
type forwarder struct {
	set    *rules.Set
	limits map[string][]*targetLimit
	next   map[string]*atomic.Uint64
	pool   *pool.Pool
	server *fasthttp.Server
	ln     *accept.Listener
}

func newForwarder(set *rules.Set, limits map[string][]*targetLimit, regions hostRegions, region string) *forwarder {
	f := &forwarder{
		set:    set,
		limits: limits,
		next:   make(map[string]*atomic.Uint64),
		pool: pool.New(pool.Config{
			Conns:       forwardConns,
			IdleTimeout: forwardIdleTimeout,
			DialTimeout: forwardDialTimeout,
			MaxBody:     forwardMaxBody,
			Connect:     regions.connector(region),
		}),
	}
	for service := range limits {
		f.next[service] = &atomic.Uint64{}
	}
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	return f
}

// listen serves requests on addr until close.
func (f *forwarder) listen(addr string) error {
	ln, err := accept.Listen(addr, clock.System())
	if err != nil {
		return err
	}
	f.ln = ln
	// Serve returns when the listener is closed.
	go func() { _ = f.server.Serve(ln) }()
	return nil
}

func (f *forwarder) close() {
	if f.ln != nil {
		_ = f.ln.Close()
	}
	_ = f.server.Shutdown()
	f.pool.Close()
}

func (f *forwarder) handle(ctx *fasthttp.RequestCtx) {
	path := strings.TrimPrefix(string(ctx.Path()), "/")
	op, ok := f.set.Op(path)
	if !ok {
		ctx.Error("no such operation", fasthttp.StatusNotFound)
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.Del(fasthttp.HeaderConnection)
	req.Header.Del(header.Deadline)
	for range 1 + hopRetries {
		if f.attempt(ctx, op, req) {
			return
		}
	}
}

// attempt sends the request to the next target, leaves its answer in ctx, and
// reports whether it succeeded.
func (f *forwarder) attempt(ctx *fasthttp.RequestCtx, op *rules.Op, req *fasthttp.Request) bool {
	targets := f.limits[op.Service]
	limit := targets[f.next[op.Service].Add(1)%uint64(len(targets))]
	if !limit.acquire() {
		ctx.Error("limit", fasthttp.StatusServiceUnavailable)
		return false
	}
	defer limit.release()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + limit.addr + "/" + op.Path)
	if err := f.pool.Do(limit.addr, req, resp, op.Deadline); err != nil {
		ctx.Error("no answer", fasthttp.StatusGatewayTimeout)
		return false
	}
	resp.CopyTo(&ctx.Response)
	ctx.Response.Header.Del(fasthttp.HeaderConnection)
	return resp.StatusCode() == fasthttp.StatusOK
}

// discardLogger discards the log lines of the HTTP server.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
