// Package pool makes HTTP exchanges over keep-alive connections.
//
// Each address has its own bounded set of connections, with one exchange at a
// time on each. A connection whose exchange failed or timed out is closed and
// never reused. The pool does not retry a request once a byte of it was sent;
// the library's own retries are off. A kept connection that its peer has closed
// is detected before use and replaced. Each address also has a second set of
// connections that serve one exchange each, for queries that must not depend on
// a kept connection being alive.
package pool

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/head"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Kind tells how far a failed exchange got.
type Kind uint8

// Kinds of failures.
const (
	// Unsent means that no byte of the request left this process.
	Unsent Kind = iota
	// Timeout means that the answer was not complete in time.
	Timeout
	// Interrupted means that the connection ended before the answer was
	// complete.
	Interrupted
)

// errStale means that the peer closed a kept connection, or sent bytes that belong
// to no request, before any byte of the request was written to it.
var errStale = errors.New("the kept connection can't be used any more")

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("pool: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config configures a [Pool].
type Config struct {
	// Conns bounds the connections of each set of an address.
	Conns int
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout clock.Milli
	// DialTimeout bounds connecting.
	DialTimeout clock.Milli
	// MaxBody bounds the body of an answer in bytes.
	MaxBody int
	// Connect opens connections; nil means TCP. Tests replace it.
	Connect func(addr string, wait time.Duration) (net.Conn, error)
}

// Pool makes exchanges with any number of addresses. It is safe for concurrent
// use.
type Pool struct {
	cfg Config

	mu    sync.RWMutex
	peers map[string]*peer
}

type peer struct {
	kept  *fasthttp.HostClient
	fresh *fasthttp.HostClient
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Connect == nil {
		cfg.Connect = connectTCP
	}
	return &Pool{
		cfg:   cfg,
		peers: make(map[string]*peer),
	}
}

// Do makes one exchange with addr on a kept connection. It returns an [*Error]
// if the answer is not complete within wait.
func (p *Pool) Do(addr string, req *fasthttp.Request, resp *fasthttp.Response, wait clock.Milli) error {
	return exchange(p.peer(addr).kept, req, resp, wait)
}

// DoFresh makes one exchange with addr like Do, but on a new connection that is
// closed afterwards.
func (p *Pool) DoFresh(addr string, req *fasthttp.Request, resp *fasthttp.Response, wait clock.Milli) error {
	req.SetConnectionClose()
	return exchange(p.peer(addr).fresh, req, resp, wait)
}

// CloseIdle closes all kept connections without an exchange, so that the next
// exchanges open new ones.
func (p *Pool) CloseIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, clients := range p.peers {
		clients.kept.CloseIdleConnections()
	}
}

// Close closes the connections of both sets that have no exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range p.peers {
		clients.kept.CloseIdleConnections()
		clients.fresh.CloseIdleConnections()
	}
}

func exchange(c *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, wait clock.Milli) error {
	if wait <= 0 {
		return &Error{
			Op:   "exchange with " + c.Addr,
			Kind: Unsent,
			Err:  fasthttp.ErrTimeout,
		}
	}
	deadline := time.Now().Add(wait.Duration())
	err := c.DoDeadline(req, resp, deadline)
	if errors.Is(err, errStale) {
		// The peer may have closed the other kept connections too. Nothing was
		// sent, so the exchange may be made on a new one.
		c.CloseIdleConnections()
		err = c.DoDeadline(req, resp, deadline)
	}
	if err != nil {
		return &Error{
			Op:   "exchange with " + c.Addr,
			Kind: kindOf(err),
			Err:  err,
		}
	}
	return nil
}

func kindOf(err error) Kind {
	var dial *dialError
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, errStale):
		return Unsent
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, os.ErrDeadlineExceeded):
		return Timeout
	default:
		return Interrupted
	}
}

func (p *Pool) peer(addr string) *peer {
	p.mu.RLock()
	found, ok := p.peers[addr]
	p.mu.RUnlock()
	if ok {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.peers[addr]; ok {
		return found
	}
	found = &peer{
		kept:  p.client(addr),
		fresh: p.client(addr),
	}
	p.peers[addr] = found
	return found
}

func (p *Pool) client(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     addr,
		MaxConns:                 p.cfg.Conns,
		MaxIdleConnDuration:      p.cfg.IdleTimeout.Duration(),
		MaxResponseBodySize:      p.cfg.MaxBody,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// A single attempt, whatever the method and the failure: retries are
		// decided by the caller of the pool, which has the retry budget.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: func(addr string) (net.Conn, error) {
			conn, err := p.cfg.Connect(addr, p.cfg.DialTimeout.Duration())
			if err != nil {
				return nil, &dialError{
					err: err,
				}
			}
			return &strictConn{
				Conn: conn,
			}, nil
		},
	}
}

// strictConn reports the end of the connection within an answer, and a malformed head
// of one, as an error. The library would otherwise accept a body that is delimited only
// by the end of the connection, where a truncated body looks complete. strictConn also
// refuses to begin a request on a connection that the peer has closed or that has unread
// bytes, such as a late second copy of an answer.
type strictConn struct {
	net.Conn
	// answering is set from the first byte of an answer to the next request.
	answering bool
	heads     head.Stream
}

func (c *strictConn) Write(b []byte) (int, error) {
	if c.answering && sock.Peek(c.Conn) != sock.Open {
		return 0, errStale
	}
	c.answering = false
	c.heads.Begin()
	return c.Conn.Write(b)
}

func (c *strictConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.answering = true
	}
	if broken := c.heads.Check(b[:n]); broken != nil {
		return 0, broken
	}
	if errors.Is(err, io.EOF) && c.answering {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// dialError marks a failure to connect, before any byte was sent.
type dialError struct {
	err error
}

func (e *dialError) Error() string { return e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// connectTCP opens a connection that discards undelivered bytes when it is
// closed. The system would otherwise try for minutes to deliver an abandoned
// request, long after it was reported as not run.
func connectTCP(addr string, wait time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}
