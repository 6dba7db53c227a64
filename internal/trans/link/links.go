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
	// headerBytes is the part of a frame that is reserved for its header.
	headerBytes = 256
	// bulkBytes is the size above which a message uses the peer's connection
	// for large messages.
	bulkBytes = 32 << 10
)

// LinksConfig configures [Links]. Every field but Key has a default, which the
// zero value stands for.
type LinksConfig struct {
	// Key is the fleet key under which this end authenticates itself. It has at
	// least [MinKeyBytes] bytes.
	Key []byte
	// IdleTimeout is the time without an answer after which an unused
	// connection is closed. It must be less than the [ListenConfig] IdleTimeout
	// of the peers.
	IdleTimeout clock.Milli
	// ProbeAfter is the time without an answer after which a connection is
	// probed before its next use. ProbeTimeout bounds the probe.
	ProbeAfter   clock.Milli
	ProbeTimeout clock.Milli
	// MaxInFlight bounds the concurrent calls made by [Links.Call].
	MaxInFlight int
	// MaxQueued bounds the messages of [Links.Send] that wait to be sent, and
	// Workers the messages that are sent concurrently. A message to an
	// unreachable peer occupies a worker for SendTimeout.
	//
	// SendTimeout bounds the sending of a message. A large message gets one
	// more second for each 128 kB.
	MaxQueued   int
	Workers     int
	SendTimeout clock.Milli
	// FrameTimeout bounds the reading of a frame that has begun, and the
	// writing of a frame.
	FrameTimeout clock.Milli
	// MaxFrameBytes bounds the size of a frame.
	MaxFrameBytes int
	// Meter counts the bytes of all connections. If it is nil, a new meter is
	// used.
	Meter *Meter
	// Clock measures the idle times. The zero value stands for the clock of the
	// host.
	Clock clock.Clock
	// Dial opens a connection. If it is nil, connections are plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnLost is called for each message of [Links.Send] that may not have been
	// delivered. It runs on a worker's goroutine.
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

// connKey identifies a connection by the address of the peer and by whether it
// carries the large messages.
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

// New returns [Links] that have no connection yet. They must be closed.
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

// Bytes returns the number of bytes that the meter has counted as received and
// sent so far.
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

// Close closes all connections. Calls in flight fail, and queued messages are
// dropped.
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

// Call calls a method of the daemon at addr and waits for the answer for at
// most timeout. It may open or probe the connection before, within the same
// time. Call does not use args and reply after it has returned. If reply is nil,
// the answer is discarded.
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
	errTooManyCalls = errors.New("too many calls in flight")
	errClosed       = errors.New("links are closed")
)

// encode encodes a message. It returns an error if the message does not fit in
// a frame.
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

// exchange calls a method with an encoded message and returns the encoded
// answer.
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

// acquire returns the peer for key. The peer is not closed as idle until it is
// released.
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

// closeIdlePeriodically closes idle connections until the links are closed.
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

// closeIdle closes and removes the peers that are idle at the time now.
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
