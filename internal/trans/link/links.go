package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults of [LinksConfig].
const (
	DefaultClientIdleTimeout = 30 * clock.Second
	DefaultProbeAfter        = 5 * clock.Second
	DefaultProbeTimeout      = 500 * clock.Millisecond
	DefaultMaxInFlight       = 128
	DefaultMaxQueued         = 256
	DefaultWorkers           = 64
	DefaultSendTimeout       = clock.Second
)

const (
	// headerRoom is the part of a frame that is left for its header.
	headerRoom = 256
	// bulkSize is the size in bytes above which a message has a connection of
	// its own.
	bulkSize = 32 << 10
)

// LinksConfig configures [Links].
type LinksConfig struct {
	// Key is the fleet key that this end proves, of at least [MinKeySize]
	// bytes.
	Key []byte
	// IdleTimeout is the time after which an unused connection is closed. It must be
	// less than that of the listeners.
	IdleTimeout clock.Milli
	// ProbeAfter is the time without an answer after which a connection is
	// probed before use, and ProbeTimeout how long the probe may take.
	ProbeAfter   clock.Milli
	ProbeTimeout clock.Milli
	// MaxInFlight bounds the calls that are under way at once.
	MaxInFlight int
	// MaxQueued bounds the messages that wait to be sent, and Workers those that
	// are being sent; a peer that can't be reached holds a worker for SendTimeout.
	// SendTimeout bounds the sending of a small message; a large one gets another
	// second for each 128 kB.
	MaxQueued   int
	Workers     int
	SendTimeout clock.Milli
	// FrameTimeout bounds the reading or writing of a frame.
	FrameTimeout clock.Milli
	// MaxFrameBytes bounds a frame in bytes.
	MaxFrameBytes int
	// Meter counts bytes; nil means a meter of its own.
	Meter *Meter
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnLost is told of each message of [Links.Send] that was not delivered
	// for certain. It runs on the goroutine of a worker.
	OnLost func(addr, method string, err error)
}

func (c LinksConfig) withDefaults() LinksConfig {
	c.IdleTimeout = orElse(c.IdleTimeout, DefaultClientIdleTimeout)
	c.ProbeAfter = orElse(c.ProbeAfter, DefaultProbeAfter)
	c.ProbeTimeout = orElse(c.ProbeTimeout, DefaultProbeTimeout)
	c.MaxInFlight = orElse(c.MaxInFlight, DefaultMaxInFlight)
	c.MaxQueued = orElse(c.MaxQueued, DefaultMaxQueued)
	c.Workers = orElse(c.Workers, DefaultWorkers)
	c.SendTimeout = orElse(c.SendTimeout, DefaultSendTimeout)
	c.FrameTimeout = orElse(c.FrameTimeout, DefaultFrameTimeout)
	c.MaxFrameBytes = orElse(c.MaxFrameBytes, DefaultMaxFrameBytes)
	if c.Meter == nil {
		c.Meter = new(Meter)
	}
	if c.Clock.Now == nil {
		c.Clock = clock.System()
	}
	if c.Dial == nil {
		c.Dial = dial
	}
	if c.OnLost == nil {
		c.OnLost = func(string, string, error) {}
	}
	return c
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Links calls the methods of other daemons. It is safe for concurrent use.
type Links struct {
	cfg   LinksConfig
	calls chan struct{}
	queue chan message
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu     sync.Mutex
	peers  map[route]*peer
	closed bool
}

// route names a connection: a peer and the size of what travels on it.
type route struct {
	addr string
	bulk bool
}

func routeOf(addr string, body wire.Raw) route {
	return route{
		addr: addr,
		bulk: len(body) > bulkSize,
	}
}

// New returns links without a connection.
func New(cfg LinksConfig) (*Links, error) {
	if err := checkKeys([][]byte{cfg.Key}); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	l := &Links{
		cfg:   cfg,
		calls: make(chan struct{}, cfg.MaxInFlight),
		queue: make(chan message, cfg.MaxQueued),
		ctx:   ctx,
		stop:  stop,
		peers: make(map[route]*peer),
	}
	for range cfg.Workers {
		l.wg.Go(l.work)
	}
	l.wg.Go(l.sweep)
	return l, nil
}

// Bytes returns the bytes received and sent so far.
func (l *Links) Bytes() (in, out int64) { return l.cfg.Meter.Bytes() }

// Conns returns the number of open connections.
func (l *Links) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.peers {
		if p.isOpen() {
			n++
		}
	}
	return n
}

// Close closes all connections. Calls under way fail, and messages that wait
// are dropped.
func (l *Links) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.stop()
	for _, p := range l.peers {
		p.drop()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Call calls method of the daemon at addr and waits no longer than wait. args
// are encoded before Call returns, and reply is written to only by Call
// itself, so both may be reused after it. A nil reply drops the answer.
func (l *Links) Call(addr, method string, args, reply any, wait clock.Milli) error {
	const op = "call"
	body, err := l.encode(op, args)
	if err != nil {
		return err
	}
	select {
	case l.calls <- struct{}{}:
	default:
		return newError(op, Full, errManyCalls)
	}
	defer func() { <-l.calls }()
	answer, err := l.exchange(addr, method, body, wait)
	if err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := wire.Unmarshal(answer, reply); err != nil {
		return &Error{
			Op:   op,
			Kind: Format,
			Sent: true,
			Err:  err,
		}
	}
	return nil
}

var (
	errManyCalls = errors.New("too many calls under way")
	errClosed    = errors.New("links are closed")
)

// encode encodes a message that must fit in a frame.
func (l *Links) encode(op string, v any) (wire.Raw, error) {
	body, err := wire.Marshal(v)
	if err != nil {
		return nil, newError(op, Format, err)
	}
	if limit := l.cfg.MaxFrameBytes - headerRoom; len(body) > limit {
		return nil, newError(op, Format, fmt.Errorf("message has %d bytes, limit %d", len(body), limit))
	}
	return body, nil
}

// exchange sends body and returns the answer.
func (l *Links) exchange(addr, method string, body wire.Raw, wait clock.Milli) (wire.Raw, error) {
	ctx, cancel := context.WithTimeout(l.ctx, wait.Duration())
	defer cancel()
	p, err := l.acquire(routeOf(addr, body))
	if err != nil {
		return nil, err
	}
	defer l.release(p)
	s, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, method, body)
}

// acquire returns the peer of a route and keeps it from being forgotten.
func (l *Links) acquire(r route) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, newError("call", Closed, errClosed)
	}
	p := l.peers[r]
	if p == nil {
		p = newPeer(l, r.addr)
		l.peers[r] = p
	}
	p.users++
	return p, nil
}

func (l *Links) release(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.users--
}

// sweep closes idle connections.
func (l *Links) sweep() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.cfg.Clock.After(max(l.cfg.IdleTimeout/4, 1)):
			l.closeIdle(l.cfg.Clock.Now())
		}
	}
}

// closeIdle forgets the peers that nobody has used for a while.
func (l *Links) closeIdle(now clock.Milli) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, p := range l.peers {
		if p.users > 0 || !p.isIdle(now) {
			continue
		}
		p.drop()
		delete(l.peers, r)
	}
}
