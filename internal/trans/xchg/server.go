package xchg

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Reply is what a handler returns.
type Reply struct {
	guard.Answer
	// Close ends the connection behind the answer.
	Close bool
	// Drop ends the connection without an answer.
	Drop bool
}

// ServerLimits bound what a caller may send and how long it may take.
type ServerLimits struct {
	Header int
	Body   int
	Read   clock.Milli
	Idle   clock.Milli
}

// ServerConfig is what a [Server] is made from.
type ServerConfig struct {
	Clock clock.Clock
	// Limits returns the limits in force.
	Limits func() ServerLimits
	// Handle answers one request. Its context ends when the caller hangs up.
	Handle func(ctx context.Context, r *Request) Reply
	// IsParallel reports whether r may be handled while earlier requests of
	// its connection are still without an answer.
	IsParallel func(r *Request) bool
	// Malformed returns the answer to what could not be read as a request.
	Malformed func(status int, err error) guard.Answer
}

// Server serves connections. It is safe for concurrent use.
type Server struct {
	cfg ServerConfig

	stopping atomic.Bool
	busy     atomic.Int64

	mu    sync.Mutex
	conns map[*session]struct{}
}

const (
	// aheadMost is the number of requests of one connection that are read
	// before earlier ones have been answered.
	aheadMost = 64
	// lingerTime is how long a connection that is being closed is still read,
	// so that its last answer is not lost by a reset.
	lingerTime = clock.Second
	// writeTime is how long a caller may take to read one answer.
	writeTime = 20 * clock.Second
	// headerSlack is the room of a read buffer beyond the longest head.
	headerSlack = 1 << 10
	// headerUsual is the size of a read buffer that most heads fit in.
	headerUsual = 4 << 10
)

// NewServer returns a server without connections.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:   cfg,
		conns: make(map[*session]struct{}),
	}
}

// Serve serves the connections that l accepts until it fails, as it does when it
// is closed. [Listen] returns a listener that outlasts passing failures.
func (s *Server) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(s.enter(raw))
	}
}

// Busy returns the number of requests without an answer, those among them that
// have not come whole yet included.
func (s *Server) Busy() int64 { return s.busy.Load() }

// IsQuiet reports whether no request is without an answer and none waits to be
// read.
func (s *Server) IsQuiet() bool {
	if s.Busy() > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if sock.Look(c.raw) == sock.Unread {
			return false
		}
	}
	return true
}

// Stop makes each connection close behind its next answer, and those without
// a request after the usual idle time. New requests are still handled.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no request waits for an answer.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 {
			_ = c.raw.Close()
		}
	}
}

// CloseAll resets all connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closing.Store(true)
		c.drop()
	}
}

// session is one connection of a caller.
type session struct {
	server *Server
	raw    net.Conn
	br     *bufio.Reader
	turns  chan *turn
	// pending counts the requests read and not answered.
	pending atomic.Int64
	// ctx ends with the connection, or when its caller hangs up.
	ctx    context.Context
	cancel context.CancelFunc
	// closing is set before the last answer is written.
	closing atomic.Bool
	// wrote is closed when nothing more will be written.
	wrote chan struct{}
}

// turn is one request with the place for its reply.
type turn struct {
	done chan Reply
	// sent is closed when the reply was written or given up.
	sent chan struct{}
	// close says that the caller wants the connection to end behind it.
	close bool
	// bare says that the answer has no body.
	bare bool
}

func newTurn(r *Request) *turn {
	return &turn{
		done:  make(chan Reply, 1),
		sent:  make(chan struct{}),
		close: r.close,
		bare:  r.Method == fasthttp.MethodHead,
	}
}

// enter takes in a connection. It counts from here on, before its goroutine has
// its first turn.
func (s *Server) enter(raw net.Conn) *session {
	c := &session{
		server: s,
		raw:    raw,
		br:     bufio.NewReaderSize(raw, s.bufferSize()),
		turns:  make(chan *turn, aheadMost),
		wrote:  make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// serve serves a connection until it ends.
func (s *Server) serve(c *session) {
	defer c.cancel()
	go c.write()
	c.read()
	close(c.turns)
	<-c.wrote
	_ = c.raw.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) bufferSize() int {
	return max(headerUsual, s.cfg.Limits().Header+headerSlack)
}

// read takes requests from the connection and starts their handlers. It goes
// on reading while they run, which is how a hang-up is noticed.
func (c *session) read() {
	var last *turn
	for {
		r, err := c.next()
		if err != nil {
			c.endRead(err)
			return
		}
		if last != nil && !c.server.cfg.IsParallel(r) {
			// Requests behind an answer that closes the connection are sent
			// again, so this one must not start before that is decided.
			<-last.sent
		}
		if c.closing.Load() {
			c.server.busy.Add(-1)
			return
		}
		t := newTurn(r)
		last = t
		c.pending.Add(1)
		c.turns <- t
		go func() { t.done <- c.server.cfg.Handle(c.ctx, r) }()
		if r.close {
			c.watchClose()
			return
		}
	}
}

// watchClose waits for the hang-up of a caller that has announced no further
// request. Anything else that it sends is not a request.
func (c *session) watchClose() {
	_ = c.raw.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.br); err != nil || c.pending.Load() > 0 {
		c.cancel()
	}
}

var errIdle = errors.New("no request within the idle time")

// next reads one whole request. The server counts as busy with it from its first
// byte on, unless next returns an error.
func (c *session) next() (*Request, error) {
	if err := c.await(); err != nil {
		return nil, err
	}
	c.server.busy.Add(1)
	r, err := c.readRequest()
	if err != nil {
		c.server.busy.Add(-1)
	}
	return r, err
}

// readRequest reads one whole request of which the first byte has come.
func (c *session) readRequest() (*Request, error) {
	limits := c.server.cfg.Limits()
	c.setReadDeadline(limits.Read)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(c.br); err != nil {
		return nil, err
	}
	arrived := c.server.cfg.Clock.Now()
	if string(req.Header.Peek("Expect")) != "" && c.pending.Load() == 0 {
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if req.Header.ContentLength() != 0 {
		_ = c.raw.SetReadDeadline(time.Time{})
		if err := req.ContinueReadBody(c.br, limits.Body, false); err != nil {
			return nil, err
		}
	}
	r := requestOf(req)
	r.From = c.raw.RemoteAddr().String()
	r.Arrived = arrived
	return r, nil
}

// await waits for the first byte of a request. A connection without requests
// is closed after the idle time that is in force then.
func (c *session) await() error {
	for c.br.Buffered() == 0 {
		began := c.server.cfg.Clock.Now()
		idle := c.server.cfg.Limits().Idle
		c.setReadDeadline(idle)
		_, err := c.br.Peek(1)
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		if c.closing.Load() {
			return errIdle
		}
		passed := c.server.cfg.Clock.Now() - began
		if c.pending.Load() == 0 && passed >= c.server.cfg.Limits().Idle {
			return errIdle
		}
	}
	return nil
}

func (c *session) setReadDeadline(d clock.Milli) {
	if c.closing.Load() {
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(d.Duration()))
}

// endRead deals with the end of what can be read.
func (c *session) endRead(err error) {
	if errors.Is(err, errIdle) || c.closing.Load() {
		return
	}
	status := statusOf(err)
	if status == 0 {
		c.cancel()
		return
	}
	t := newTurn(&Request{
		close: true,
	})
	c.pending.Add(1)
	c.server.busy.Add(1)
	t.done <- Reply{
		Answer: c.server.cfg.Malformed(status, err),
		Close:  true,
	}
	c.turns <- t
}

// statusOf returns the status for what cannot be read as a request, and 0 if
// the connection has ended.
func statusOf(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	var network net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &nothing), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed):
		return 0
	case errors.As(err, &network):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// write sends the replies in the order of their requests.
func (c *session) write() {
	defer close(c.wrote)
	gone := false
	for t := range c.turns {
		reply := <-t.done
		if !gone {
			gone = !c.send(t, reply)
		}
		close(t.sent)
		c.pending.Add(-1)
		c.server.busy.Add(-1)
	}
	if !gone && !c.closing.Load() {
		c.finish()
	}
}

// send writes one reply and reports whether more may follow.
func (c *session) send(t *turn, reply Reply) bool {
	if reply.Drop {
		c.closing.Store(true)
		c.drop()
		return false
	}
	closes := reply.Close || t.close || c.server.stopping.Load()
	if closes {
		c.closing.Store(true)
	}
	buf := appendAnswer(make([]byte, 0, 512+len(reply.Body)), &reply.Answer, closes)
	if hasBody(reply.Status) && !t.bare {
		buf = append(buf, reply.Body...)
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTime.Duration()))
	if _, err := c.raw.Write(buf); err != nil {
		c.closing.Store(true)
		c.drop()
		return false
	}
	if closes {
		c.finish()
		return false
	}
	return true
}

// drop resets the connection and ends the handlers behind it.
func (c *session) drop() {
	c.cancel()
	if l, ok := c.raw.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = c.raw.Close()
}

// finish ends the connection behind its last answer: the caller reads the end,
// and what it still sends is read and dropped for a while, because closing
// with unread bytes would reset the connection and lose the answer.
func (c *session) finish() {
	c.closing.Store(true)
	c.cancel()
	if w, ok := c.raw.(writeCloser); ok {
		_ = w.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime.Duration()))
	go func() {
		<-time.After(lingerTime.Duration())
		_ = c.raw.Close()
	}()
}
