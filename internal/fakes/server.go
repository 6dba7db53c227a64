package fakes

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	anyAddr     = "127.0.0.1:0"
	idleTimeout = 2 * time.Minute
	stopTimeout = 2 * time.Second
	bodyLimit   = 4 << 20
)

// server is the HTTP server that each fake embeds.
type server struct {
	ln   net.Listener
	http *fasthttp.Server
	quit chan struct{}
	done chan struct{}
}

// serve listens on addr, or on a free loopback port if addr is empty, and
// answers requests with handler. It serves at most conns connections at once;
// zero means the library's limit.
func serve(addr string, conns int, handler fasthttp.RequestHandler) (*server, error) {
	if addr == "" {
		addr = anyAddr
	}
	ln, err := accept.Listen(addr, clock.System())
	if err != nil {
		return nil, &Error{
			Op:   "listen",
			Kind: Listen,
			Err:  err,
		}
	}
	s := &server{
		ln: ln,
		http: &fasthttp.Server{
			Handler:               handler,
			Concurrency:           conns,
			IdleTimeout:           idleTimeout,
			MaxRequestBodySize:    bodyLimit,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			Logger:                discardLogger{},
		},
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln) // It returns when the listener is closed.
	}()
	return s, nil
}

// Addr returns the "ip:port" that the server listens on.
func (s *server) Addr() string { return s.ln.Addr().String() }

// Close stops the server and cancels requests that wait or run. It returns an
// [*Error] of kind [Stop] if connections are still open after two seconds.
func (s *server) Close() error {
	close(s.quit)
	// Shutdown closes only listeners whose Serve has begun.
	_ = s.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	// Shutdown misses the listener if Serve had not begun.
	_ = s.ln.Close()
	if err != nil {
		return &Error{
			Op:   "close",
			Kind: Stop,
			Err:  err,
		}
	}
	<-s.done
	return nil
}

// discardLogger drops the log lines of the HTTP server, which report broken
// connections: fakes break them on purpose.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// closeWithoutAnswer closes the connection of ctx without an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
