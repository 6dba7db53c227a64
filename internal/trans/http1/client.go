package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
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
	// busy holds the connections with an exchange in progress. observedAt is when
	// they were last observed.
	busy       map[*conn]struct{}
	observedAt clock.Milli
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
		readHeader: readHead,
		idle:       make(map[string][]*conn),
		busy:       make(map[*conn]struct{}),
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
	c.begin(n)
	stop := context.AfterFunc(ctx, n.abort)
	a, reusable, err := c.exchange(ctx, n, r)
	if c.end(n) && err != nil {
		err = errSilent
	}
	if !stop() || !n.recordAnswer(echo, a.Status) {
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

// begin registers an exchange that begins on n.
func (c *Client) begin(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.beganAt = c.cfg.Clock.Now()
	n.silence = sock.Silence{}
	c.busy[n] = struct{}{}
}

// end ends the exchange on n and reports whether the other end had fallen silent.
func (c *Client) end(n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, n)
	return n.isSilent
}

// observeBusy aborts the exchanges whose other end has fallen silent.
func (c *Client) observeBusy(now clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.observedAt < observeEvery {
		return
	}
	c.observedAt = now
	for n := range c.busy {
		if now-n.beganAt < observeEvery {
			continue
		}
		d, ok := sock.ReadDelivery(n.raw)
		if ok && n.silence.Observe(now, d, silenceLimit) {
			n.isSilent = true
			n.abort()
		}
	}
}

// Sweep closes the connections that have been idle for too long, and those in use
// whose other end has fallen silent. It must be called at least twice a second.
func (c *Client) Sweep() {
	now := c.cfg.Clock.Now()
	c.observeBusy(now)
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

// pop removes and returns the connection used last that has not carried the echo,
// or nil. On one that has, a late second copy of the earlier answer could not be told
// from the answer to this request.
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

// WithTimeout returns a context that ends after left.
func WithTimeout(ctx context.Context, left clock.Milli) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, time.Duration(max(left, 0))*time.Millisecond,
		fmt.Errorf("no answer within %d ms", left))
}
