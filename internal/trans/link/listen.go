package link

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults of [ListenConfig].
const (
	DefaultMaxConns          = 2048
	DefaultMaxHandshakes     = 64
	DefaultMaxHostHandshakes = 32
	DefaultMaxConnCalls      = 32
	DefaultHandshakeTimeout  = 2 * clock.Second
	DefaultFrameTimeout      = 5 * clock.Second
	DefaultServerIdleTimeout = 2 * clock.Minute
	DefaultMaxFrameBytes     = wire.DefaultLimit
)

// ListenConfig configures a [Listener]. A bound or timeout that is zero stands
// for its default.
type ListenConfig struct {
	// Addr is the "ip:port" to listen on.
	Addr string
	// Keys are the fleet keys that a peer may use, each of at least
	// [MinKeyBytes] bytes. There is more than one only while the key is being
	// replaced.
	Keys [][]byte
	// Receivers are the objects whose methods may be called. The map key is
	// the service name, which precedes the dot in the method of a call; see
	// [rpc.Server.RegisterName].
	Receivers map[string]any
	// MaxConns bounds the connections, MaxHandshakes the connections whose
	// handshake has not ended, and MaxHostHandshakes such connections from one
	// address, so that a single host can't exhaust MaxHandshakes. A connection
	// that exceeds a bound is closed at once.
	MaxConns          int
	MaxHandshakes     int
	MaxHostHandshakes int
	// MaxConnCalls bounds the calls that run concurrently for one connection.
	// At the bound, no further request is read from the connection until a call
	// ends.
	MaxConnCalls int
	// HandshakeTimeout bounds the handshake, FrameTimeout the reading or
	// writing of a frame, and IdleTimeout the wait for the next frame.
	HandshakeTimeout clock.Milli
	FrameTimeout     clock.Milli
	IdleTimeout      clock.Milli
	// MaxFrameBytes bounds the size of a frame.
	MaxFrameBytes int
	// Meter counts the bytes of all connections. If it is nil, a new meter is
	// used.
	Meter *Meter
	// OnRefused is called for each connection that exceeded a bound or whose
	// handshake failed. It must be safe for concurrent use.
	OnRefused func(peer net.Addr, err error)
}

func (c ListenConfig) withDefaults() ListenConfig {
	c.MaxConns = orDefault(c.MaxConns, DefaultMaxConns)
	c.MaxHandshakes = orDefault(c.MaxHandshakes, DefaultMaxHandshakes)
	c.MaxHostHandshakes = orDefault(c.MaxHostHandshakes, DefaultMaxHostHandshakes)
	c.MaxConnCalls = orDefault(c.MaxConnCalls, DefaultMaxConnCalls)
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.FrameTimeout = orDefault(c.FrameTimeout, DefaultFrameTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultServerIdleTimeout)
	c.MaxFrameBytes = orDefault(c.MaxFrameBytes, DefaultMaxFrameBytes)
	if c.Meter == nil {
		c.Meter = new(Meter)
	}
	if c.OnRefused == nil {
		c.OnRefused = func(net.Addr, error) {}
	}
	return c
}

func orDefault[T int | clock.Milli](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Listener serves calls from other daemons.
type Listener struct {
	cfg ListenConfig
	ln  net.Listener
	rpc *rpc.Server
	wg  sync.WaitGroup

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	handshakes handshakeLimit
	closed     bool
}

// Listen returns a listener that serves on cfg.Addr. The listener must be closed.
func Listen(cfg ListenConfig) (*Listener, error) {
	const op = "listen"
	if err := checkKeys(cfg.Keys); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	server := rpc.NewServer()
	if err := server.RegisterName(pingService, pingReceiver{}); err != nil {
		return nil, newError(op, Config, err)
	}
	for name, r := range cfg.Receivers {
		if err := server.RegisterName(name, r); err != nil {
			return nil, newError(op, Config, err)
		}
	}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, newError(op, Unreachable, err)
	}
	l := &Listener{
		cfg:   cfg,
		ln:    ln,
		rpc:   server,
		conns: make(map[net.Conn]struct{}),
		handshakes: handshakeLimit{
			max:        cfg.MaxHandshakes,
			maxPerHost: cfg.MaxHostHandshakes,
			byHost:     make(map[string]int),
		},
	}
	l.wg.Go(l.accept)
	return l, nil
}

// Addr returns the address that l listens on.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Bytes returns the number of bytes that the meter has counted as received and
// sent so far.
func (l *Listener) Bytes() (in, out int64) { return l.cfg.Meter.Bytes() }

// Close stops listening, closes all connections and waits until the running
// methods have returned.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	err := l.ln.Close()
	l.wg.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return newError("close", Closed, err)
	}
	return nil
}

func (l *Listener) accept() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Most likely the process is out of file descriptors. New
			// connections wait in the accept queue of the kernel meanwhile.
			<-clock.System().After(acceptRetryDelay)
			continue
		}
		if err := l.admit(c); err != nil {
			_ = c.Close()
			l.cfg.OnRefused(c.RemoteAddr(), err)
			continue
		}
		l.wg.Go(func() { l.serve(c) })
	}
}

const acceptRetryDelay = 100 * clock.Millisecond

var (
	errTooManyConns      = errors.New("too many connections")
	errTooManyHandshakes = errors.New("too many connections in the handshake")
)

// admit counts a new connection and its handshake. It returns an error instead
// if a bound is reached. serve removes the connection from the counts.
func (l *Listener) admit(c net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return newError("accept", Closed, net.ErrClosed)
	}
	if len(l.conns) >= l.cfg.MaxConns {
		return newError("accept", Full, errTooManyConns)
	}
	if !l.handshakes.begin(c.RemoteAddr()) {
		return newError("accept", Full, errTooManyHandshakes)
	}
	l.conns[c] = struct{}{}
	return nil
}

func (l *Listener) release(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// serve performs the handshake on a connection and serves the calls on it until
// the connection ends.
func (l *Listener) serve(nc net.Conn) {
	defer l.release(nc)
	c := &conn{
		Conn:  nc,
		meter: l.cfg.Meter,
	}
	c.setTimeout(l.cfg.HandshakeTimeout)
	var key []byte
	var err error
	if panicked := rescue.Run("handshake", func() { key, err = serverHandshake(c, l.cfg.Keys) }); panicked != nil {
		err = panicked
	}
	l.mu.Lock()
	l.handshakes.end(nc.RemoteAddr())
	l.mu.Unlock()
	if err != nil {
		l.cfg.OnRefused(nc.RemoteAddr(), err)
		return
	}
	panicked := rescue.Run("serve calls", func() { l.serveCalls(c, key) })
	if panicked != nil {
		l.cfg.OnRefused(nc.RemoteAddr(), panicked)
	}
}

// serveCalls serves the calls on an accepted connection until it ends.
func (l *Listener) serveCalls(c *conn, key []byte) {
	l.rpc.ServeCodec(&limitedCodec{
		Server: wire.NewServer(wire.Config{
			Conn:         c,
			Limit:        l.cfg.MaxFrameBytes,
			Key:          key,
			BeforeWait:   func() { c.setReadTimeout(l.cfg.IdleTimeout) },
			FrameStarted: func() { c.setReadTimeout(l.cfg.FrameTimeout) },
			BeforeWrite:  func() { c.setWriteTimeout(l.cfg.FrameTimeout) },
		}),
		inFlight: make(chan struct{}, l.cfg.MaxConnCalls),
	})
}

// limitedCodec bounds the calls that run concurrently for one connection. It
// relies on net/rpc to write exactly one response for each request header read.
type limitedCodec struct {
	*wire.Server
	inFlight chan struct{}
}

// ReadRequestHeader reads the next request header, once fewer calls run than the
// bound allows.
func (b *limitedCodec) ReadRequestHeader(r *rpc.Request) error {
	b.inFlight <- struct{}{}
	err := b.Server.ReadRequestHeader(r)
	if err != nil {
		<-b.inFlight
	}
	return err
}

// WriteResponse writes the response of a call, which thereby ends.
func (b *limitedCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-b.inFlight }()
	return b.Server.WriteResponse(r, body)
}

const (
	pingService = "Link"
	pingMethod  = pingService + ".Ping"
)

// pingReceiver is the service that answers the probes of idle connections.
type pingReceiver struct{}

// Ping does nothing.
func (pingReceiver) Ping(struct{}, *struct{}) error { return nil }
