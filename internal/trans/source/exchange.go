package source

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/head"
	"siskinswitch.example/siskin/pkg/clock"
)

// exchanger makes exchanges with one address, one at a time, on a keep-alive
// connection that is closed when its context ends.
type exchanger struct {
	ctx    context.Context
	client *fasthttp.HostClient
}

// reply is a complete answer, copied out of the HTTP library's buffers.
type reply struct {
	status int
	etag   string
	body   []byte
}

func (c *Client) exchanger(ctx context.Context, addr string) *exchanger {
	return &exchanger{
		ctx: ctx,
		client: &fasthttp.HostClient{
			Addr:     addr,
			MaxConns: 1,
			DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
				return c.dial(ctx, addr, timeout)
			},
			MaxResponseBodySize:      c.cfg.MaxBody,
			NoDefaultUserAgentHeader: true,
			// By default the HTTP library retries a GET by itself.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// dial opens a connection that is closed when ctx ends.
func (c *Client) dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = c.cfg.Timeout.Duration()
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.cfg.Dial(limited, addr)
	if err != nil {
		return nil, err
	}
	return &boundConn{
		Conn:   conn,
		detach: context.AfterFunc(ctx, func() { _ = conn.Close() }),
	}, nil
}

// boundConn is a connection that is closed when a context ends. A malformed head of an
// answer is an error.
type boundConn struct {
	net.Conn
	detach func() bool
	heads  head.Stream
}

// Write begins a request or goes on with it.
func (b *boundConn) Write(p []byte) (int, error) {
	b.heads.Begin()
	return b.Conn.Write(p)
}

// Read reads a part of an answer.
func (b *boundConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if broken := b.heads.Check(p[:n]); broken != nil {
		return 0, broken
	}
	return n, err
}

// Close closes the connection and detaches it from the context.
func (b *boundConn) Close() error {
	b.detach()
	return b.Conn.Close()
}

// get makes one GET request and returns the answer, whatever its status.
func (x *exchanger) get(op, uri string, timeout clock.Milli) (reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + x.client.Addr + uri)
	if err := x.client.DoTimeout(req, resp, timeout.Duration()); err != nil {
		return reply{}, classify(x.ctx, op, err)
	}
	return reply{
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
	}, nil
}

func (x *exchanger) close() { x.client.CloseIdleConnections() }
