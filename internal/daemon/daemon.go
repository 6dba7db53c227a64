// Package daemon joins the parts of siskind: the inbound and outbound sides,
// the control goroutine, the operator interface and their life from start to a
// graceful stop.
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
	// tickInterval is the time between two ticks of the gate.
	tickInterval = 10 * clock.Millisecond
	// sweepInterval is the time between two sweeps of unused budgets.
	sweepInterval = clock.Minute
	// connIdleTimeout is the time after which an unused connection to another daemon
	// is closed; servers keep theirs longer, so that the client closes first.
	connIdleTimeout   = 20 * clock.Second
	serverIdleTimeout = 60 * clock.Second
	// readTimeout bounds the reading of a request from a slow caller.
	readTimeout  = 10 * clock.Second
	writeTimeout = 10 * clock.Second
	dialTimeout  = clock.Second
	// maxPeerConns bounds the connections to one daemon.
	maxPeerConns = 512
	// maxCallerConns bounds the connections of one caller's address.
	maxCallerConns = 10_000
	// handoverEntryBytes is the room for one handed-over outcome beside its answer.
	handoverEntryBytes = 200
	// incarnationBits is the room for random bits below the wall clock in an
	// incarnation, so that two runs in one millisecond differ.
	incarnationBits = 20
)

// Config is what a [Daemon] is made from.
type Config struct {
	// Settings must be checked.
	Settings Settings
	Clock    clock.Clock
	Log      *zap.Logger
	// Connect opens a TCP connection to "ip:port"; nil takes the host's
	// network.
	Connect func(addr string, wait time.Duration) (net.Conn, error)
}

// Daemon is one siskind. Make it with [New], then call [Daemon.Start] once and
// [Daemon.Stop] once.
type Daemon struct {
	set         Settings
	clock       clock.Clock
	log         *zap.Logger
	connect     func(addr string, wait time.Duration) (net.Conn, error)
	incarnation uint64
	// start is when the daemon was made.
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
	// bytes counts what passes between daemons in both directions.
	bytes   *link.Meter
	control *control

	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	servers   []*fasthttp.Server
	listeners []*accept.Listener
	// leaving is set when a stop has begun.
	leaving atomic.Bool
	peers   *link.Listener
	// handedOver is set when a stop has exported the outcomes.
	handedOver atomic.Bool
}

// New makes a daemon that does not listen yet.
func New(cfg Config) (*Daemon, error) {
	set := cfg.Settings
	keys := set.secrets()
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
		set:         set,
		clock:       cfg.Clock,
		log:         cfg.Log,
		connect:     cfg.Connect,
		incarnation: newIncarnation(cfg.Clock.Wall()),
		start:       now,
		view:        view.NewCell(),
		chains:      chain.NewTable(),
		requestLog:  reqlog.NewRing(set.Trail),
		burn: burn.New(burn.Config{
			Now: now,
		}),
		links:  links,
		bytes:  bytes,
		ctx:    ctx,
		cancel: cancel,
	}
	d.guard = guard.New(guard.Config{
		Entries:     set.Entries,
		Bytes:       set.Answers,
		Window:      set.Window,
		Target:      set.Name,
		Incarnation: d.incarnation,
		Now:         now,
	})
	d.handovers = guard.NewHandoverStore(guard.HandoverStoreConfig{
		// Room for the whole tables of two daemons that stop together.
		Bytes:  2*set.Answers + handoverEntryBytes*set.Entries,
		Window: set.Window,
	})
	d.routes = route.New(route.Config{
		Region:   set.Region,
		Centre:   set.Centre,
		Seed:     d.incarnation,
		LinkRate: set.Link,
	}, now)
	d.metrics = newMetrics(set.Name, set.Region+"/"+set.Centre)
	d.outbound = d.newOutbound(keys, tickets)
	d.inbound = d.newInbound(keys, tickets)
	d.control = newControl(ctx, set, cfg.Clock, cfg.Log, d.view, d.routes, links, d.incarnation)
	return d, nil
}

func (d *Daemon) newOutbound(keys [][]byte, tickets *ticket.Keys) *outbnd.Server {
	return outbnd.New(outbnd.Config{
		Self:    d.set.Name,
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
			MaxBody:     d.set.Body,
			Connect:     d.connect,
		}),
		Trail:    d.requestLog,
		Counts:   d.counts(),
		Log:      d.log,
		Window:   d.set.Window,
		Patience: d.set.Patience,
		Salt:     xxhash.Sum64(keys[0]),
		Nonce:    d.incarnation,
	})
}

func (d *Daemon) newInbound(keys [][]byte, tickets *ticket.Keys) *inbnd.Server {
	return inbnd.New(inbnd.Config{
		Self:    d.set.Name,
		Target:  d.set.Target,
		Clock:   d.clock,
		Keys:    keys,
		Tickets: tickets,
		View:    d.view,
		Guard:   d.guard,
		Shelf:   d.handovers,
		Gate: admit.Config{
			Slots: d.set.Slots,
			Conns: d.set.Conns,
		},
		Chains: d.chains,
		Routes: d.routes,
		Pool: pool.New(pool.Config{
			Conns:       d.set.Conns,
			IdleTimeout: connIdleTimeout,
			DialTimeout: dialTimeout,
			MaxBody:     d.set.Body,
		}),
		Trail: d.requestLog,
		Counts: inbnd.Counts{
			Answered:  d.metrics.onGuarded,
			Cancelled: func() { d.metrics.cancelled.Inc(1) },
		},
		Log: d.log,
	})
}

// Start listens on all four addresses and begins to work. On an error nothing
// is left running.
func (d *Daemon) Start() error {
	peers, err := link.Listen(link.ListenConfig{
		Addr:  d.set.addr(d.set.Control),
		Keys:  d.set.secrets(),
		Meter: d.bytes,
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
	d.peers = peers
	for port, handler := range map[int]fasthttp.RequestHandler{
		d.set.Inbound:  d.inbound.Handler,
		d.set.Outbound: d.outbound.Handler,
		d.set.Operator: d.operator(),
	} {
		if err := d.serve(port, handler); err != nil {
			d.abort()
			return errorx.Decorate(err, "daemon")
		}
	}
	d.goRun(func() { d.control.run(d.ctx) })
	d.goRun(d.tick)
	d.goRun(d.updateGauges)
	event.Info(d.log, event.Started, zap.String("name", d.set.Name), zap.Uint64("incarnation", d.incarnation))
	return nil
}

func (d *Daemon) goRun(f func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		f()
	}()
}

// serve serves HTTP on a port of the daemon's host.
func (d *Daemon) serve(port int, handler fasthttp.RequestHandler) error {
	ln, err := accept.Listen(d.set.addr(port), d.clock)
	if err != nil {
		return err
	}
	s := &fasthttp.Server{
		Handler:               d.closeWhenLeaving(handler),
		ErrorHandler:          outbnd.Malformed,
		ReadTimeout:           readTimeout.Duration(),
		WriteTimeout:          writeTimeout.Duration(),
		IdleTimeout:           serverIdleTimeout.Duration(),
		MaxRequestBodySize:    d.set.Body,
		MaxConnsPerIP:         maxCallerConns,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		// A form must reach the target byte by byte.
		DisablePreParseMultipartForm: true,
		Logger:                       zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	d.servers = append(d.servers, s)
	d.listeners = append(d.listeners, ln)
	// Serve returns when the listener is closed by Shutdown.
	go func() { _ = s.Serve(ln) }()
	return nil
}

// tick drives what depends on time outside the control goroutine.
func (d *Daemon) tick() {
	overloaded := false
	timesFull := uint64(0)
	swept := d.clock.Now()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.clock.After(tickInterval):
		}
		d.inbound.Tick()
		if now := d.clock.Now(); now >= swept+sweepInterval {
			d.routes.Sweep(now)
			swept = now
		}
		overloaded = d.logOverload(overloaded)
		timesFull = d.logTableFull(timesFull)
	}
}

// logOverload logs when the overload of the target begins and ends.
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

func (d *Daemon) logTableFull(before uint64) uint64 {
	st := d.guard.Stats()
	if st.Closings > before {
		event.Warn(d.log, event.GuardFull, zap.Int("entries", st.Entries), zap.Int("bytes", st.Bytes))
	}
	return st.Closings
}

// linkDialer adapts Config.Connect to what links take.
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

// newIncarnation returns a number that no other run of a daemon has: the wall
// clock above random bits. Later runs on a host have higher numbers as long as
// its clock is not set back.
func newIncarnation(wall clock.Milli) uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		// The Go runtime ends the process before this can happen.
		panic("daemon: draw an incarnation: " + err.Error())
	}
	low := binary.LittleEndian.Uint64(random[:]) & (1<<incarnationBits - 1)
	return uint64(wall)<<incarnationBits | low
}
