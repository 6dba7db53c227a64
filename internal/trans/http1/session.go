package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

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
		if last != nil && !c.server.cfg.MayPipeline(r) {
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
	c.setReadDeadline(limits.ReadTimeout)
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
		if err := req.ContinueReadBody(c.br, limits.MaxBody, false); err != nil {
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
		idle := c.server.cfg.Limits().IdleTimeout
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
		if c.pending.Load() == 0 && passed >= c.server.cfg.Limits().IdleTimeout {
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
