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
	forwardConns = 16
	forwardIdle  = 2 * clock.Second
	forwardDial  = clock.Second
	forwardBody  = 1 << 20
)

// bound is the fixed limit of one target.
type bound struct {
	addr string
	// limit is the most requests at the target, 0 for no limit.
	limit int64
	open  atomic.Int64
}

func (b *bound) enter() bool {
	if b.open.Add(1) <= b.limit || b.limit == 0 {
		return true
	}
	b.open.Add(-1)
	return false
}

func (b *bound) leave() { b.open.Add(-1) }

// forwarder is a baseline: it sends each call to the targets of its service in
// turn and repeats a failed one at the next target. Its time for a try is the
// operation's deadline; nothing is handed on from hop to hop.
type forwarder struct {
	set    *rules.Set
	bounds map[string][]*bound
	next   map[string]*atomic.Uint64
	pool   *pool.Pool
	server *fasthttp.Server
	ln     *accept.Listener
}

func newForwarder(set *rules.Set, bounds map[string][]*bound, dial places, region string) *forwarder {
	f := &forwarder{
		set:    set,
		bounds: bounds,
		next:   make(map[string]*atomic.Uint64),
		pool: pool.New(pool.Config{
			Conns:       forwardConns,
			IdleTimeout: forwardIdle,
			DialTimeout: forwardDial,
			MaxBody:     forwardBody,
			Connect:     dial.connector(region),
		}),
	}
	for service := range bounds {
		f.next[service] = &atomic.Uint64{}
	}
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	return f
}

// listen serves on addr until close.
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
		if f.try(ctx, op, req) {
			return
		}
	}
}

// try makes one attempt at the next target and leaves its answer in ctx.
func (f *forwarder) try(ctx *fasthttp.RequestCtx, op *rules.Op, req *fasthttp.Request) bool {
	targets := f.bounds[op.Service]
	b := targets[f.next[op.Service].Add(1)%uint64(len(targets))]
	if !b.enter() {
		ctx.Error("limit", fasthttp.StatusServiceUnavailable)
		return false
	}
	defer b.leave()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + b.addr + "/" + op.Path)
	if err := f.pool.Do(b.addr, req, resp, op.Deadline); err != nil {
		ctx.Error("no answer", fasthttp.StatusGatewayTimeout)
		return false
	}
	resp.CopyTo(&ctx.Response)
	ctx.Response.Header.Del(fasthttp.HeaderConnection)
	return resp.StatusCode() == fasthttp.StatusOK
}

// quiet drops the log lines of the HTTP server.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}
