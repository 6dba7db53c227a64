package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// ClientConfig configures a [Client].
type ClientConfig struct {
	Clock clock.Clock
	// DialTimeout bounds connecting.
	DialTimeout clock.Milli
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout clock.Milli
	// MaxBody bounds the body of an answer in bytes.
	MaxBody int
	// EchoField names the field that an answer copies from its request, so that
	// answers can be matched to requests. Empty means that there is none.
	EchoField string
	// OnOpen is called for each new connection; nil ignores them.
	OnOpen func()
	// OnPanic is called with a panic in an exchange, which then fails; nil
	// ignores them.
	OnPanic func(*rescue.Error)
}

// Client makes exchanges over keep-alive connections, one at a time on each. It
// is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// readHeader parses the header of an answer. Tests replace it.
	readHeader func(h *fasthttp.ResponseHeader, br *bufio.Reader) error

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.OnOpen == nil {
		cfg.OnOpen = func() {}
	}
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(*rescue.Error) {}
	}
	return &Client{
		cfg:        cfg,
		readHeader: (*fasthttp.ResponseHeader).Read,
		idle:       make(map[string][]*conn),
	}
}

// Options modify a single exchange.
type Options struct {
	// Fresh uses a new connection and closes it after the exchange.
	Fresh bool
	// MaxIdle is how long a reused connection may have been idle. 0 means no
	// bound besides the client's own.
	MaxIdle clock.Milli
}

const (
	// maxMismatches is the number of answers to other requests that are read
	// before the client gives the connection up, and maxInterim that of interim
	// answers before each.
	maxMismatches = 4
	maxInterim    = 8
	// recentEchoes is the number of exchanges for which a connection remembers
	// the echo.
	recentEchoes = 8
	// headBytes is the usual size of a request's header.
	headBytes = 1 << 10
)

// Do sends r to addr and returns the complete answer, whose body is taken from
// the hold of ctx. When ctx ends, the connection is closed at once, which the
// other end sees as a client disconnect. Errors are of type [*Error]; the kind
// Unsent guarantees that nothing of the request was sent.
func (c *Client) Do(ctx context.Context, addr string, r *Request, o Options) (guard.Answer, error) {
	echo := c.echoOf(r)
	n, err := c.acquire(ctx, addr, echo, o)
	if err != nil {
		return guard.Answer{}, c.newError(ctx, addr, Unsent, err)
	}
	n.record(echo)
	stop := context.AfterFunc(ctx, n.abort)
	a, reusable, err := c.exchange(ctx, n, r)
	if !stop() {
		reusable = false
	}
	if err != nil || !reusable || o.Fresh {
		n.close()
	} else {
		c.release(addr, n)
	}
	if err != nil {
		return guard.Answer{}, c.newError(ctx, addr, kindOf(err), err)
	}
	return a, nil
}

// echoOf returns the hash of the value that the answer to r echoes, 0 if there is
// none.
func (c *Client) echoOf(r *Request) uint64 {
	if c.cfg.EchoField == "" {
		return 0
	}
	value := r.Get(c.cfg.EchoField)
	if value == "" {
		return 0
	}
	return max(xxhash.Sum64String(value), 1)
}

// exchange makes one exchange on n. A panic meanwhile fails the exchange.
func (c *Client) exchange(ctx context.Context, n *conn, r *Request) (a guard.Answer, reusable bool, err error) {
	panicked := rescue.Run("exchange", func() {
		a, reusable, err = n.exchange(r, reading{
			header:    c.readHeader,
			echoField: c.cfg.EchoField,
			maxBody:   c.cfg.MaxBody,
			hold:      hold.From(ctx),
		})
	})
	if panicked != nil {
		c.cfg.OnPanic(panicked)
		return guard.Answer{}, false, panicked
	}
	return a, reusable, err
}

// Sweep closes the connections that have been idle for too long.
func (c *Client) Sweep() {
	now := c.cfg.Clock.Now()
	var expired []*conn
	c.mu.Lock()
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, n := range conns {
			if now >= n.usableUntil {
				expired = append(expired, n)
				continue
			}
			kept = append(kept, n)
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, n := range expired {
		n.close()
	}
}

// Drop closes the idle connections to addr.
func (c *Client) Drop(addr string) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, n := range conns {
		n.close()
	}
}

// acquire returns a connection for an exchange with the echo. It prefers the
// connection used last, so that surplus connections reach their idle timeout.
func (c *Client) acquire(ctx context.Context, addr string, echo uint64, o Options) (*conn, error) {
	for !o.Fresh {
		n := c.pop(addr, echo)
		if n == nil {
			break
		}
		now := c.cfg.Clock.Now()
		if now >= n.usableUntil || o.MaxIdle > 0 && now-n.idleSince > o.MaxIdle || n.isUnusable() {
			n.close()
			continue
		}
		return n, nil
	}
	raw, err := dial(ctx, addr, c.cfg.DialTimeout.Duration())
	if err != nil {
		return nil, err
	}
	c.cfg.OnOpen()
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Close discards undelivered bytes. Without this, a request could arrive
		// after it was reported as not delivered.
		_ = tcp.SetLinger(0)
	}
	return &conn{
		raw: raw,
		br:  bufio.NewReaderSize(raw, readBufferBytes),
	}, nil
}

// pop removes and returns the connection used last that has not carried the echo
// lately, or nil. On one that has, a late second copy of the earlier answer could
// not be told from the answer to this request.
func (c *Client) pop(addr string, echo uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	for i, n := range slices.Backward(conns) {
		if !n.hasCarried(echo) {
			c.idle[addr] = slices.Delete(conns, i, i+1)
			return n
		}
	}
	return nil
}

func (c *Client) release(addr string, n *conn) {
	n.idleSince = c.cfg.Clock.Now()
	idle := c.cfg.IdleTimeout
	if n.peerIdle > 0 {
		idle = min(idle, n.peerIdle)
	}
	n.usableUntil = n.idleSince + idle
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = append(c.idle[addr], n)
}

func (c *Client) newError(ctx context.Context, addr string, kind Kind, err error) error {
	if kind != Unsent && ctx.Err() != nil {
		kind = Canceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = Timeout
		}
	}
	return &Error{
		Op:   "exchange with " + addr,
		Kind: kind,
		Err:  err,
	}
}

const (
	// readBufferBytes is the size of a read buffer. The header of an answer must
	// fit in it.
	readBufferBytes = 8 << 10
	// keepAliveMargin is subtracted from the idle timeout that the other end
	// announces, so that no request is sent while the other end closes.
	keepAliveMargin = 500 * clock.Millisecond
	// asyncWriteBytes is the size of a body from which the request is written by
	// its own goroutine, so that an early answer can be read meanwhile.
	asyncWriteBytes = 16 << 10
)

// conn is one connection of a client.
type conn struct {
	raw net.Conn
	br  *bufio.Reader
	// idleSince is the end of the last exchange. From usableUntil on, the
	// connection must not be reused.
	idleSince   clock.Milli
	usableUntil clock.Milli
	// peerIdle is the idle timeout that the other end announced, less a margin;
	// 0 if it announced none.
	peerIdle clock.Milli
	// recent holds the echoes of the last exchanges, the next one at position
	// exchanges modulo its length.
	recent    [recentEchoes]uint64
	exchanges int
}

// record remembers the echo of an exchange.
func (n *conn) record(echo uint64) {
	n.recent[n.exchanges%recentEchoes] = echo
	n.exchanges++
}

// hasCarried reports whether one of the last exchanges had the echo.
func (n *conn) hasCarried(echo uint64) bool { return echo != 0 && slices.Contains(n.recent[:], echo) }

var (
	errMismatched = errors.New("received only answers to other requests")
	errInterim    = errors.New("received only interim answers")
)

// reading tells how to read an answer.
type reading struct {
	header    func(h *fasthttp.ResponseHeader, br *bufio.Reader) error
	echoField string
	maxBody   int
	hold      *hold.Hold
}

// exchange sends r and reads its answer. It also reports whether the connection
// may be reused.
func (n *conn) exchange(r *Request, how reading) (guard.Answer, bool, error) {
	wrote := make(chan error, 1)
	if len(r.Body) < asyncWriteBytes {
		head := appendRequest(make([]byte, 0, headBytes+len(r.Body)), r)
		_, err := n.raw.Write(append(head, r.Body...))
		wrote <- err
		if err != nil && isClosedByPeer(err) {
			// The other end may have sent an answer before it closed.
			err = nil
		}
		if err != nil {
			return guard.Answer{}, false, err
		}
	} else {
		go func() {
			bufs := net.Buffers{appendRequest(make([]byte, 0, headBytes), r), r.Body}
			_, err := bufs.WriteTo(n.raw)
			wrote <- err
		}()
	}
	a, reusable, err := n.read(r, how)
	if err != nil {
		return a, false, err
	}
	select {
	case werr := <-wrote:
		reusable = reusable && werr == nil
	default:
		// The answer came before the request was written completely. The rest
		// must not run into the next request on this connection.
		reusable = false
	}
	return a, reusable, nil
}

// read reads answers until one belongs to r. It also reports whether the
// connection may be reused.
func (n *conn) read(r *Request, how reading) (guard.Answer, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	wantEcho := ""
	if how.echoField != "" {
		wantEcho = r.Get(how.echoField)
	}
	reusable := true
	for range maxMismatches {
		body, err := n.readAnswer(resp, r.Method == fasthttp.MethodHead, how)
		if err != nil {
			return guard.Answer{}, false, err
		}
		if wantEcho != "" && string(resp.Header.Peek(how.echoField)) != wantEcho {
			how.hold.Shrink(cap(body))
			reusable = false
			continue
		}
		reusable = reusable && n.isReusable(resp)
		return copyAnswer(resp, body), reusable, nil
	}
	return guard.Answer{}, false, errMismatched
}

// readAnswer reads one final answer. It leaves the header in resp and returns
// the body, which is empty if noBody is set.
func (n *conn) readAnswer(resp *fasthttp.Response, noBody bool, how reading) ([]byte, error) {
	h := &resp.Header
	for range maxInterim {
		resp.Reset()
		if err := how.header(h, n.br); err != nil {
			return nil, err
		}
		if status := h.StatusCode(); status < fasthttp.StatusContinue || status >= fasthttp.StatusOK {
			break
		}
	}
	if !hasBody(h.StatusCode()) {
		if h.StatusCode() < fasthttp.StatusOK {
			return nil, errInterim
		}
		return nil, nil
	}
	if noBody {
		return nil, nil
	}
	length := h.ContentLength()
	body, err := readBody(n.br, length, how.maxBody, how.hold)
	if err != nil {
		return nil, err
	}
	if length == lengthChunked {
		if err := h.ReadTrailer(n.br); err != nil {
			how.hold.Shrink(cap(body))
			return nil, unexpected(err)
		}
	}
	if length == lengthUntilClose {
		h.SetConnectionClose()
	}
	return body, nil
}

// unexpected returns err, or that a message ended too early for the end of a
// connection.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isReusable reports whether the connection may be used after the answer.
func (n *conn) isReusable(resp *fasthttp.Response) bool {
	if resp.ConnectionClose() || n.br.Buffered() > 0 {
		return false
	}
	n.peerIdle = keepAliveTimeout(resp.Header.Peek("Keep-Alive"))
	return true
}

// keepAliveTimeout parses the timeout of a Keep-Alive field and subtracts the
// margin. It returns 0 if there is no valid timeout.
func keepAliveTimeout(value []byte) clock.Milli {
	_, after, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(string(after), ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0
	}
	return max(clock.Milli(seconds)*clock.Second-keepAliveMargin, clock.Millisecond)
}

// isUnusable reports whether the other end has closed the connection or sent
// bytes that belong to no request.
func (n *conn) isUnusable() bool { return sock.Peek(n.raw) != sock.Open }

// abort ends a running exchange from another goroutine.
func (n *conn) abort() { _ = n.raw.Close() }

func (n *conn) close() { _ = n.raw.Close() }

func kindOf(err error) Kind {
	var chunk fasthttp.ErrBrokenChunk
	var head *fasthttp.ErrSmallBuffer
	var panicked *rescue.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout):
		return Timeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errNoMemory), errors.As(err, &head):
		return TooLarge
	case errors.Is(err, errMismatched), errors.Is(err, errInterim), errors.Is(err, errBadBody), errors.As(err, &chunk),
		errors.As(err, &panicked):
		return BadAnswer
	}
	return Interrupted
}

// isClosedByPeer reports whether a write failed because the other end had
// closed the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// WithTimeout returns a context that ends after left.
func WithTimeout(ctx context.Context, left clock.Milli) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, time.Duration(max(left, 0))*time.Millisecond,
		fmt.Errorf("no answer within %d ms", left))
}
