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
	// headerBytes is the part of a frame that is left for its header.
	headerBytes = 256
	// bulkBytes is the size in bytes above which a message has a connection of
	// its own.
	bulkBytes = 32 << 10
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
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultClientIdleTimeout)
	c.ProbeAfter = orDefault(c.ProbeAfter, DefaultProbeAfter)
	c.ProbeTimeout = orDefault(c.ProbeTimeout, DefaultProbeTimeout)
	c.MaxInFlight = orDefault(c.MaxInFlight, DefaultMaxInFlight)
	c.MaxQueued = orDefault(c.MaxQueued, DefaultMaxQueued)
	c.Workers = orDefault(c.Workers, DefaultWorkers)
	c.SendTimeout = orDefault(c.SendTimeout, DefaultSendTimeout)
	c.FrameTimeout = orDefault(c.FrameTimeout, DefaultFrameTimeout)
	c.MaxFrameBytes = orDefault(c.MaxFrameBytes, DefaultMaxFrameBytes)
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
	cfg      LinksConfig
	inFlight chan struct{}
	queue    chan queuedMessage
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	peers  map[connKey]*peer
	closed bool
}

// connKey names a connection: a peer and the size of what travels on it.
type connKey struct {
	addr string
	bulk bool
}

func connKeyFor(addr string, body wire.Raw) connKey {
	return connKey{
		addr: addr,
		bulk: len(body) > bulkBytes,
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
		cfg:      cfg,
		inFlight: make(chan struct{}, cfg.MaxInFlight),
		queue:    make(chan queuedMessage, cfg.MaxQueued),
		ctx:      ctx,
		stop:     stop,
		peers:    make(map[connKey]*peer),
	}
	for range cfg.Workers {
		l.wg.Go(l.sendQueued)
	}
	l.wg.Go(l.closeIdlePeriodically)
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
		p.close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Call calls method of the daemon at addr and waits no longer than wait. args
// are encoded before Call returns, and reply is written to only by Call
// itself, so both may be reused after it. A nil reply drops the answer.
func (l *Links) Call(addr, method string, args, reply any, timeout clock.Milli) error {
	const op = "call"
	body, err := l.encode(op, args)
	if err != nil {
		return err
	}
	select {
	case l.inFlight <- struct{}{}:
	default:
		return newError(op, Full, errTooManyCalls)
	}
	defer func() { <-l.inFlight }()
	answer, err := l.exchange(addr, method, body, timeout)
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
	errTooManyCalls = errors.New("too many calls under way")
	errClosed       = errors.New("links are closed")
)

// encode encodes a message that must fit in a frame.
func (l *Links) encode(op string, v any) (wire.Raw, error) {
	body, err := wire.Marshal(v)
	if err != nil {
		return nil, newError(op, Format, err)
	}
	if limit := l.cfg.MaxFrameBytes - headerBytes; len(body) > limit {
		return nil, newError(op, Format, fmt.Errorf("message has %d bytes, limit %d", len(body), limit))
	}
	return body, nil
}

// exchange sends body and returns the answer.
func (l *Links) exchange(addr, method string, body wire.Raw, timeout clock.Milli) (wire.Raw, error) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout.Duration())
	defer cancel()
	p, err := l.acquire(connKeyFor(addr, body))
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
func (l *Links) acquire(key connKey) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, newError("call", Closed, errClosed)
	}
	p := l.peers[key]
	if p == nil {
		p = newPeer(l, key.addr)
		l.peers[key] = p
	}
	p.activeCalls++
	return p, nil
}

func (l *Links) release(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.activeCalls--
}

// closeIdlePeriodically closes idle connections.
func (l *Links) closeIdlePeriodically() {
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
	for key, p := range l.peers {
		if p.activeCalls > 0 || !p.isIdle(now) {
			continue
		}
		p.close()
		delete(l.peers, key)
	}
}
