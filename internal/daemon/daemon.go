// Package daemon assembles siskind, the sidecar daemon beside each target.
//
// A [Daemon] listens on four ports. The outbound server takes requests from
// callers and from the target and sends them to other daemons. The inbound
// server takes requests from other daemons, admits them, deduplicates
// non-idempotent ones and forwards them to the target. The control port receives
// membership and configuration messages and handovers of outcomes. The operator
// port serves read-only reports and metrics.
//
// One goroutine, control.run, owns the agent that takes part in membership and
// in spreading the configuration. It publishes an immutable view, and requests
// read that view without waiting for the agent.
//
// [Daemon.Stop] ends a daemon gracefully: it refuses new work, waits for
// in-flight requests, hands the outcomes of non-idempotent requests to other
// daemons and closes.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"siskinswitch.example/siskin/internal/proto/event"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/internal/trans/inbnd"
	"siskinswitch.example/siskin/internal/trans/link"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// tickInterval is the time between two ticks of the admission gate.
	tickInterval = 10 * clock.Millisecond
	// sweepInterval is the time between two removals of unused retry budgets.
	sweepInterval = clock.Minute
	// connIdleTimeout is the time after which an idle connection to another daemon
	// is closed. serverIdleTimeout is longer, so that the client side closes first
	// and sends no request on a connection that the server is closing.
	connIdleTimeout   = 20 * clock.Second
	serverIdleTimeout = 60 * clock.Second
	// readTimeout bounds how long a slow caller may take to send a request.
	readTimeout  = 10 * clock.Second
	writeTimeout = 10 * clock.Second
	dialTimeout  = clock.Second
	// maxPeerConns bounds the connections to one other daemon.
	maxPeerConns = 512
	// maxCallerConns bounds the connections from one IP address.
	maxCallerConns = 10_000
	// handoverEntryBytes is the memory reserved for one handed-over outcome,
	// without its answer.
	handoverEntryBytes = 200
	// incarnationBits is the number of random low bits of an incarnation. They
	// make the incarnations of two starts within one millisecond differ.
	incarnationBits = 20
)

// Config configures a [Daemon].
type Config struct {
	// Settings must have passed [Settings.Check].
	Settings Settings
	Clock    clock.Clock
	Log      *zap.Logger
	// Connect opens a TCP connection to another daemon's "ip:port"; nil uses the
	// network of the host.
	Connect func(addr string, wait time.Duration) (net.Conn, error)
}

// Daemon is one running siskind. Create it with [New], then call [Daemon.Start]
// once and [Daemon.Stop] once.
type Daemon struct {
	settings    Settings
	clock       clock.Clock
	log         *zap.Logger
	connect     func(addr string, wait time.Duration) (net.Conn, error)
	incarnation uint64
	// start is the instant at which New was called.
	start clock.Milli

	view       *view.Cell
	guard      *guard.Table
	handovers  *guard.HandoverStore
	chains     *chain.Table
	routes     *route.Table
	requestLog *reqlog.Ring
	burn       *burn.Table
	totals     totals
	metrics    *metrics
	inbound    *inbnd.Server
	outbound   *outbnd.Server
	links      *link.Links
	// controlBytes counts the bytes of the control connections in both directions.
	controlBytes *link.Meter
	control      *control

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	servers    []*fasthttp.Server
	listeners  []*accept.Listener
	// leaving is set when Stop begins.
	leaving         atomic.Bool
	controlListener *link.Listener
	// handedOver is set when Stop begins to export the outcomes. From then on
	// the daemon accepts no handover.
	handedOver atomic.Bool
}

// New returns a daemon that does not listen yet.
func New(cfg Config) (*Daemon, error) {
	settings := cfg.Settings
	keys := settings.secrets()
	tickets, err := ticket.NewKeys(keys...)
	if err != nil {
		return nil, errorx.Decorate(err, "daemon")
	}
	bytes := new(link.Meter)
	links, err := link.New(link.LinksConfig{
		Key:   keys[0],
		Clock: cfg.Clock,
		Meter: bytes,
		Dial:  linkDialer(cfg.Connect),
	})
	if err != nil {
		return nil, errorx.Decorate(err, "daemon")
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := cfg.Clock.Now()
	d := &Daemon{
		settings:    settings,
		clock:       cfg.Clock,
		log:         cfg.Log,
		connect:     cfg.Connect,
		incarnation: newIncarnation(cfg.Clock.Wall()),
		start:       now,
		view:        view.NewCell(),
		chains:      chain.NewTable(),
		requestLog:  reqlog.NewRing(settings.Trail),
		burn: burn.New(burn.Config{
			Now: now,
		}),
		links:        links,
		controlBytes: bytes,
		ctx:          ctx,
		cancel:       cancel,
	}
	d.guard = guard.New(guard.Config{
		Entries:     settings.Entries,
		Bytes:       settings.Answers,
		Window:      settings.Window,
		Target:      settings.Name,
		Incarnation: d.incarnation,
		Now:         now,
	})
	d.handovers = guard.NewHandoverStore(guard.HandoverStoreConfig{
		// Enough for the full tables of two daemons that stop at the same time.
		Bytes:  2*settings.Answers + handoverEntryBytes*settings.Entries,
		Window: settings.Window,
	})
	d.routes = route.New(route.Config{
		Region:   settings.Region,
		Centre:   settings.Centre,
		Seed:     d.incarnation,
		LinkRate: settings.Link,
	}, now)
	d.metrics = newMetrics(settings.Name, settings.Region+"/"+settings.Centre)
	d.outbound = d.newOutbound(keys, tickets)
	d.inbound = d.newInbound(keys, tickets)
	d.control = newControl(ctx, settings, cfg.Clock, cfg.Log, d.view, d.routes, links, d.incarnation)
	return d, nil
}

func (d *Daemon) newOutbound(keys [][]byte, tickets *ticket.Keys) *outbnd.Server {
	return outbnd.New(outbnd.Config{
		Self:    d.settings.Name,
		Clock:   d.clock,
		Keys:    keys,
		Tickets: tickets,
		View:    d.view,
		Routes:  d.routes,
		Chains:  d.chains,
		Pool: pool.New(pool.Config{
			Conns:       maxPeerConns,
			IdleTimeout: connIdleTimeout,
			DialTimeout: dialTimeout,
			MaxBody:     d.settings.Body,
			Connect:     d.connect,
		}),
		RequestLog:    d.requestLog,
		Metrics:       d.outboundMetrics(),
		Log:           d.log,
		Window:        d.settings.Window,
		MinQueryDelay: d.settings.Patience,
		Salt:          xxhash.Sum64(keys[0]),
		Nonce:         d.incarnation,
	})
}

func (d *Daemon) newInbound(keys [][]byte, tickets *ticket.Keys) *inbnd.Server {
	return inbnd.New(inbnd.Config{
		Self:      d.settings.Name,
		Target:    d.settings.Target,
		Clock:     d.clock,
		Keys:      keys,
		Tickets:   tickets,
		View:      d.view,
		Guard:     d.guard,
		Handovers: d.handovers,
		Gate: admit.Config{
			Slots: d.settings.Slots,
			Conns: d.settings.Conns,
		},
		Chains: d.chains,
		Routes: d.routes,
		Pool: pool.New(pool.Config{
			Conns:       d.settings.Conns,
			IdleTimeout: connIdleTimeout,
			DialTimeout: dialTimeout,
			MaxBody:     d.settings.Body,
		}),
		RequestLog: d.requestLog,
		Metrics: inbnd.Metrics{
			Answered:  d.metrics.onGuarded,
			Cancelled: func() { d.metrics.cancelled.Inc(1) },
		},
		Log: d.log,
	})
}

// Start listens on all four ports and starts the daemon's goroutines. If it
// returns an error, it has closed the listeners and stopped the goroutines.
func (d *Daemon) Start() error {
	peers, err := link.Listen(link.ListenConfig{
		Addr:  d.settings.addr(d.settings.Control),
		Keys:  d.settings.secrets(),
		Meter: d.controlBytes,
		Receivers: map[string]any{
			"Control": &receiver{
				d: d,
			},
		},
		OnRefused: func(peer net.Addr, err error) {
			event.Warn(d.log, event.PeerRefused, zap.Stringer("peer", peer), zap.Error(err))
		},
	})
	if err != nil {
		return errorx.Decorate(err, "daemon")
	}
	d.controlListener = peers
	for port, handler := range map[int]fasthttp.RequestHandler{
		d.settings.Inbound:  d.inbound.Handler,
		d.settings.Outbound: d.outbound.Handler,
		d.settings.Operator: d.operator(),
	} {
		if err := d.serve(port, handler); err != nil {
			d.abort()
			return errorx.Decorate(err, "daemon")
		}
	}
	d.startGoroutine(func() { d.control.run(d.ctx) })
	d.startGoroutine(d.tick)
	d.startGoroutine(d.updateGauges)
	event.Info(d.log, event.Started, zap.String("name", d.settings.Name), zap.Uint64("incarnation", d.incarnation))
	return nil
}

func (d *Daemon) startGoroutine(f func()) {
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		f()
	}()
}

// serve listens on a port of the daemon's host and serves HTTP there.
func (d *Daemon) serve(port int, handler fasthttp.RequestHandler) error {
	ln, err := accept.Listen(d.settings.addr(port), d.clock)
	if err != nil {
		return err
	}
	s := &fasthttp.Server{
		Handler:               d.contained(d.closeWhenLeaving(handler)),
		ErrorHandler:          outbnd.Malformed,
		ReadTimeout:           readTimeout.Duration(),
		WriteTimeout:          writeTimeout.Duration(),
		IdleTimeout:           serverIdleTimeout.Duration(),
		MaxRequestBodySize:    d.settings.Body,
		MaxConnsPerIP:         maxCallerConns,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		// A multipart form must reach the target unchanged.
		DisablePreParseMultipartForm: true,
		Logger:                       zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	d.servers = append(d.servers, s)
	d.listeners = append(d.listeners, ln)
	// Serve returns when Shutdown closes the listener.
	go func() { _ = s.Serve(ln) }()
	return nil
}

// contained returns a handler that closes the connection, without an answer, of a
// request on which handler panics.
func (d *Daemon) contained(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if d.run("serve a request", func() { handler(ctx) }) {
			return
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// run calls f, logs a panic in it and reports whether there was none.
func (d *Daemon) run(op string, f func()) bool {
	err := rescue.Run(op, f)
	if err != nil {
		event.Contained(d.log, err)
	}
	return err == nil
}

// tick runs the periodic work outside the control goroutine: ticks of the
// admission gate, the removal of unused retry budgets, and the log events about
// overload and a full table of non-idempotent requests.
func (d *Daemon) tick() {
	overloaded := false
	timesFull := uint64(0)
	lastSweep := d.clock.Now()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.clock.After(tickInterval):
		}
		d.run("tick", func() {
			d.inbound.Tick()
			if now := d.clock.Now(); now >= lastSweep+sweepInterval {
				d.routes.Sweep(now)
				lastSweep = now
			}
			overloaded = d.logOverload(overloaded)
			timesFull = d.logTableFull(timesFull)
		})
	}
}

// logOverload logs when the target becomes overloaded and when it recovers. It
// returns the current state for the next call.
func (d *Daemon) logOverload(wasOverloaded bool) bool {
	st := d.inbound.Stats()
	overloaded := !st.Threshold.IsOpen()
	if overloaded == wasOverloaded {
		return overloaded
	}
	short, long := st.Lanes[rules.Short], st.Lanes[rules.Long]
	fields := []zap.Field{
		zap.Int("limit", st.Limit),
		zap.Int("running", short.Running+long.Running),
		zap.Int("queued", short.Queued+long.Queued),
		zap.Stringer("threshold", st.Threshold),
	}
	if overloaded {
		event.Warn(d.log, event.Overload, fields...)
	} else {
		event.Info(d.log, event.Recovered, fields...)
	}
	return overloaded
}

// logTableFull logs if the table of non-idempotent requests ran full since the last
// call. It returns the current count for the next call.
func (d *Daemon) logTableFull(before uint64) uint64 {
	st := d.guard.Stats()
	if st.Closings > before {
		event.Warn(d.log, event.GuardFull, zap.Int("entries", st.Entries), zap.Int("bytes", st.Bytes))
	}
	return st.Closings
}

// linkDialer adapts Config.Connect to the dial function of link.LinksConfig. It
// returns nil, which selects the default dialer, if connect is nil.
func linkDialer(connect func(addr string, wait time.Duration) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	if connect == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		wait := dialTimeout.Duration()
		if end, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(end))
		}
		return connect(addr, wait)
	}
}

// newIncarnation returns a number that distinguishes this run from all other runs
// of daemons: the wall clock in the high bits, random bits below. Later runs on a
// host get higher numbers unless its clock is set back.
func newIncarnation(wall clock.Milli) uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		// Unreachable: crypto/rand ends the process when it fails.
		panic("daemon: read random bits for the incarnation: " + err.Error())
	}
	low := binary.LittleEndian.Uint64(random[:]) & (1<<incarnationBits - 1)
	return uint64(wall)<<incarnationBits | low
}
