package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// session is a connection accepted by a server.
type session struct {
	server *Server
	raw    net.Conn
	// paced reads from raw, and br from paced.
	paced *pacedReader
	br    *bufio.Reader
	// replies holds the unfinished replies in the order of their requests.
	replies chan *pendingReply
	// unanswered counts the requests that were read and not yet answered.
	unanswered atomic.Int64
	// ctx ends with the connection, or when the client disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// closing is set before the last answer is written.
	closing atomic.Bool
	// readerEnded is set when no more requests are read.
	readerEnded atomic.Bool
	// closesIdle is set when the connection is to close once it is idle.
	closesIdle atomic.Bool
	// mu orders the read deadlines of the reader and of closeWhenIdle. It guards
	// isBusy, which is set while the reader does not wait for a request: it reads
	// one of which the first byte has arrived, or waits for the disconnect.
	mu     sync.Mutex
	isBusy bool
	// lingerEnd closes a connection that was closed for writing only; nil for others.
	// It is valid once writerDone is closed.
	lingerEnd *time.Timer
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
	// request and answers are the memory that the request holds until its reply
	// was written or discarded.
	request *hold.Hold
	answers *hold.Hold
}

func (c *session) newPendingReply(r *Request) *pendingReply {
	return &pendingReply{
		reply:    make(chan Reply, 1),
		finished: make(chan struct{}),
		close:    r.close,
		noBody:   r.Method == fasthttp.MethodHead,
		request:  r.hold,
		answers:  c.server.cfg.Answers.Open(),
	}
}

// finish ends a request whose reply was written or discarded.
func (c *session) finish(p *pendingReply) {
	close(p.finished)
	p.request.Release()
	p.answers.Release()
	c.unanswered.Add(-1)
	c.server.inFlight.Add(-1)
	if c.closesIdle.Load() {
		// The reader may have seen this request as unanswered.
		c.closeWhenIdle()
	}
}

// readLoop reads requests and starts their handlers. It goes on reading while
// they run, because only a read detects that the client disconnects.
func (c *session) readLoop() {
	var last *pendingReply
	for {
		r, err := c.nextRequest()
		if err != nil {
			c.handleReadError(r, err)
			return
		}
		last = c.startHandler(r, last)
		if last == nil {
			return
		}
		if r.close {
			c.awaitDisconnect()
			return
		}
	}
}

// startHandler starts the handler of a request that was read behind the one of
// earlier, which may be nil. It returns nil if the connection is closing.
func (c *session) startHandler(r *Request, earlier *pendingReply) *pendingReply {
	p := c.newPendingReply(r)
	started := false
	defer func() {
		if !started {
			c.server.inFlight.Add(-1)
			p.request.Release()
		}
	}()
	if earlier != nil && !c.server.cfg.MayPipeline(r) {
		// If an earlier answer closes the connection, the client sends the
		// requests behind it again. So this request, which must not run
		// twice, has to wait for that answer.
		<-earlier.finished
	}
	if c.closing.Load() {
		return nil
	}
	started = true
	c.unanswered.Add(1)
	c.replies <- p
	go c.handle(p, r)
	return p
}

// handle runs the handler of a request. A panic resets the connection, which
// promises nothing about the request.
func (c *session) handle(p *pendingReply, r *Request) {
	reply := Reply{
		Drop: true,
	}
	err := rescue.Run("handle a request", func() {
		reply = c.server.cfg.Handle(hold.With(c.ctx, p.answers), r)
	})
	if err != nil {
		c.server.cfg.OnPanic(err)
	}
	p.reply <- reply
}

// awaitDisconnect waits until the client disconnects, and then cancels the
// handlers that still run. The client has announced its last request, so
// whatever else it sends is discarded.
func (c *session) awaitDisconnect() {
	c.setBusy(true)
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
	c.setBusy(true)
	isComplete := false
	defer func() {
		c.setBusy(false)
		if !isComplete {
			c.server.inFlight.Add(-1)
		}
	}()
	r, err := c.readRequest()
	isComplete = err == nil
	return r, err
}

// readRequest reads one complete request whose first byte has arrived. With an
// error it returns what it has read of the request, nil if its header is not
// complete.
func (c *session) readRequest() (*Request, error) {
	limits := c.server.cfg.Limits()
	c.setReadDeadline(limits.ReadTimeout)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h := &req.Header
	h.SetNoDefaultContentType(true)
	if err := h.Read(c.br); err != nil {
		return nil, &headError{
			cause: err,
		}
	}
	r := copyRequest(h)
	r.From = c.raw.RemoteAddr().String()
	r.Arrived = c.server.cfg.Clock.Now()
	if c.hasBodyAhead(h) {
		if reply, ok := c.server.cfg.Precheck(r); ok {
			return r, &earlyReply{
				reply: reply,
			}
		}
	}
	if isBodyHeldBack(h) && c.unanswered.Load() == 0 {
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	return r, c.readBody(r, h, limits)
}

// readBody reads the body of r, whose header is h.
func (c *session) readBody(r *Request, h *fasthttp.RequestHeader, limits ServerLimits) error {
	length := h.ContentLength()
	if length == 0 || length == lengthUntilClose {
		return nil
	}
	left := r.Arrived + c.server.cfg.BodyTime(r) - c.server.cfg.Clock.Now()
	c.paced.beginBody(left, limits.StallTime)
	defer c.paced.endBody()
	r.hold = c.server.cfg.Requests.Open()
	body, err := readBody(c.br, length, limits.MaxBody, r.hold)
	if err != nil {
		return c.bodyError(err)
	}
	if length == lengthChunked {
		if err := h.ReadTrailer(c.br); err != nil {
			r.hold.Release()
			return c.bodyError(err)
		}
	}
	r.Body = body
	return nil
}

// bodyError returns the error of a body, which tells a body that took too long, and one
// that its sender broke off, from a connection that failed.
func (c *session) bodyError(err error) error {
	switch {
	case c.paced.isLate:
		return fmt.Errorf("%w: %w", errLateBody, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: %w", errCutBody, err)
	}
	return err
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
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.closing.Load() || c.isToClose() {
			return errIdle
		}
		passed := c.server.cfg.Clock.Now() - start
		if c.unanswered.Load() == 0 && passed >= c.server.cfg.Limits().IdleTimeout {
			return errIdle
		}
	}
	return nil
}

// closeWhenIdle makes the connection close once it is idle. It wakes a reader
// that waits for a request.
func (c *session) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesIdle.Store(true)
	if !c.isBusy {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

// isToClose reports whether the connection is to close when idle, and is idle.
func (c *session) isToClose() bool {
	return c.closesIdle.Load() && c.unanswered.Load() == 0 && sock.Peek(c.raw) != sock.Readable
}

// setBusy tells closeWhenIdle whether the reader waits for a request.
func (c *session) setBusy(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBusy = isBusy
}

func (c *session) setReadDeadline(d clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() {
		return
	}
	if c.closesIdle.Load() && !c.isBusy && c.unanswered.Load() == 0 {
		d = idleCheckTime
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(d.Duration()))
}

// handleReadError ends the reading side of the connection. Input that is not a
// valid request is answered, with the header in r if that was read; a
// disconnect cancels the running handlers.
func (c *session) handleReadError(r *Request, err error) {
	if errors.Is(err, errIdle) || c.closing.Load() {
		return
	}
	reply, ok := c.replyTo(r, err)
	if !ok {
		c.reportBroken(err)
		c.cancel()
		return
	}
	reply.Close = true
	p := c.newPendingReply(&Request{
		close: true,
	})
	c.unanswered.Add(1)
	c.server.inFlight.Add(1)
	p.reply <- reply
	c.replies <- p
}

// replyTo returns the reply to input that ended with an error, and whether there is one.
// A connection that ended within a body may be open in the other direction, but a client
// that waits for earlier answers has more likely disconnected.
func (c *session) replyTo(r *Request, err error) (Reply, bool) {
	var early *earlyReply
	if errors.As(err, &early) {
		return early.reply, true
	}
	status := statusOf(err)
	if status == 0 || errors.Is(err, errCutBody) && c.unanswered.Load() > 0 {
		return Reply{}, false
	}
	return Reply{
		Answer: c.server.cfg.Malformed(r, status, err),
	}, true
}

// reportBroken reports that the system or a time limit ended the connection. A client
// that closes it, which its end or a reset shows, is an ordinary event.
func (c *session) reportBroken(err error) {
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errSilent) {
		c.server.cfg.OnBroken(c.raw.RemoteAddr().String(), err)
	}
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
	case errors.Is(err, errNoMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, errLateBody):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, errCutBody):
		return fasthttp.StatusBadRequest
	case errors.As(err, &nothing), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed):
		return 0
	case errors.As(err, &network):
		return 0
	}
	return fasthttp.StatusBadRequest
}
