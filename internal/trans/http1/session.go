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

// session is a connection accepted by a server.
type session struct {
	server *Server
	raw    net.Conn
	br     *bufio.Reader
	// replies holds the unfinished replies in the order of their requests.
	replies chan *pendingReply
	// unanswered counts the requests that were read and not yet answered.
	unanswered atomic.Int64
	// ctx ends with the connection, or when the client disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// closing is set before the last answer is written.
	closing atomic.Bool
	// writerDone is closed when nothing more will be written.
	writerDone chan struct{}
}

// pendingReply is the place for the reply to one request.
type pendingReply struct {
	reply chan Reply
	// finished is closed when the reply was written or discarded.
	finished chan struct{}
	// close reports that the client wants the connection closed after the
	// reply.
	close bool
	// noBody omits the body of the answer, as HEAD requires.
	noBody bool
}

func newPendingReply(r *Request) *pendingReply {
	return &pendingReply{
		reply:    make(chan Reply, 1),
		finished: make(chan struct{}),
		close:    r.close,
		noBody:   r.Method == fasthttp.MethodHead,
	}
}

// readLoop reads requests and starts their handlers. It goes on reading while
// they run, because only a read detects that the client disconnects.
func (c *session) readLoop() {
	var last *pendingReply
	for {
		r, err := c.nextRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if last != nil && !c.server.cfg.MayPipeline(r) {
			// If an earlier answer closes the connection, the client sends the
			// requests behind it again. So this request, which must not run
			// twice, has to wait for that answer.
			<-last.finished
		}
		if c.closing.Load() {
			c.server.inFlight.Add(-1)
			return
		}
		p := newPendingReply(r)
		last = p
		c.unanswered.Add(1)
		c.replies <- p
		go func() { p.reply <- c.server.cfg.Handle(c.ctx, r) }()
		if r.close {
			c.awaitDisconnect()
			return
		}
	}
}

// awaitDisconnect waits until the client disconnects, and then cancels the
// handlers that still run. The client has announced its last request, so
// whatever else it sends is discarded.
func (c *session) awaitDisconnect() {
	_ = c.raw.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.br); err != nil || c.unanswered.Load() > 0 {
		c.cancel()
	}
}

var errIdle = errors.New("no request within the idle time")

// nextRequest reads one complete request. The request counts as in flight from
// its first byte on, and no longer if nextRequest returns an error.
func (c *session) nextRequest() (*Request, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	c.server.inFlight.Add(1)
	r, err := c.readRequest()
	if err != nil {
		c.server.inFlight.Add(-1)
	}
	return r, err
}

// readRequest reads one complete request whose first byte has arrived.
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
	if string(req.Header.Peek("Expect")) != "" && c.unanswered.Load() == 0 {
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
	r := copyRequest(req)
	r.From = c.raw.RemoteAddr().String()
	r.Arrived = arrived
	return r, nil
}

// awaitRequest waits for the first byte of a request. It returns errIdle if the
// connection has no unanswered request for the idle timeout that is then in
// force.
func (c *session) awaitRequest() error {
	for c.br.Buffered() == 0 {
		start := c.server.cfg.Clock.Now()
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
		passed := c.server.cfg.Clock.Now() - start
		if c.unanswered.Load() == 0 && passed >= c.server.cfg.Limits().IdleTimeout {
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

// handleReadError ends the reading side of the connection. Input that is not a
// valid request is answered; a disconnect cancels the running handlers.
func (c *session) handleReadError(err error) {
	if errors.Is(err, errIdle) || c.closing.Load() {
		return
	}
	status := statusOf(err)
	if status == 0 {
		c.cancel()
		return
	}
	p := newPendingReply(&Request{
		close: true,
	})
	c.unanswered.Add(1)
	c.server.inFlight.Add(1)
	p.reply <- Reply{
		Answer: c.server.cfg.Malformed(status, err),
		Close:  true,
	}
	c.replies <- p
}

// statusOf returns the HTTP status for input that is not a valid request, or 0
// if the connection has ended.
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

// writeLoop writes the replies in the order of their requests.
func (c *session) writeLoop() {
	defer close(c.writerDone)
	closed := false
	for p := range c.replies {
		reply := <-p.reply
		if !closed {
			closed = !c.writeReply(p, reply)
		}
		close(p.finished)
		c.unanswered.Add(-1)
		c.server.inFlight.Add(-1)
	}
	if !closed && !c.closing.Load() {
		c.closeGracefully()
	}
}

// writeReply writes one reply and reports whether further replies may follow.
func (c *session) writeReply(p *pendingReply, reply Reply) bool {
	if reply.Drop {
		c.closing.Store(true)
		c.reset()
		return false
	}
	closes := reply.Close || p.close || c.server.stopping.Load()
	if closes {
		c.closing.Store(true)
	}
	buf := appendAnswer(make([]byte, 0, 512+len(reply.Body)), &reply.Answer, closes)
	if hasBody(reply.Status) && !p.noBody {
		buf = append(buf, reply.Body...)
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if _, err := c.raw.Write(buf); err != nil {
		c.closing.Store(true)
		c.reset()
		return false
	}
	if closes {
		c.closeGracefully()
		return false
	}
	return true
}

// reset resets the connection and cancels its handlers.
func (c *session) reset() {
	c.cancel()
	if l, ok := c.raw.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = c.raw.Close()
}

// closeGracefully closes the connection after its last answer. It closes the
// writing direction and discards input for lingerTime, because closing with
// unread bytes would reset the connection and lose the answer.
func (c *session) closeGracefully() {
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
