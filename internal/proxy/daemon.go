package proxy

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"math"
	mrand "math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/internal/trans/flow"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

const (
	// tickEvery is the time between two ticks of the control goroutine.
	tickEvery = 50 * clock.Millisecond
	// gaugeEvery is the time between two updates of the gauges.
	gaugeEvery = clock.Second
	// softMemoryPercent is the part of the memory limit, in percent, from which the
	// collector works harder.
	softMemoryPercent = 60
	// gcPercent makes the collector run early: memory costs more here
	// than processor time.
	gcPercent = 50
	// peerIdleTimeout is how long the inbound side keeps an unused connection; the
	// outbound sides close theirs sooner.
	peerIdleTimeout = 30 * clock.Second
	// headTimeout bounds the time in which a head must be complete where the
	// configuration says nothing.
	headTimeout = 5 * clock.Second
	// maxHeadBytes and bodyMost bound messages between daemons, and those of
	// callers while there is no configuration, in bytes.
	maxHeadBytes = 24 << 10
	maxBodyBytes = 64 << 20
	// hopHeadBytes is the size of the fields that daemons add to a head, in bytes.
	hopHeadBytes = 1 << 10
)

// Daemon is the whole process.
type Daemon struct {
	set     Settings
	clock   clock.Clock
	log     *zap.Logger
	meter   *meter
	tracker *viewTracker
	// incarnation identifies this run of the daemon.
	incarnation uint64
	inbound     *flow.Inbound
	outbound    *flow.Outbound

	callers  *http1.Server
	peers    *http1.Server
	stopping atomic.Bool
	// latest is the settings as they were latest last, set those in force.
	latest Settings
	// reloadError is what was wrong with changed settings last, empty if nothing.
	reloadError string
	// storeAnsweredAt is when the store answered last, 0 if it never has.
	storeAnsweredAt atomic.Int64
	cancel          context.CancelFunc
	listeners       []*accept.Listener
}

// New returns a daemon that does nothing yet.
func New(set Settings, c clock.Clock, log *zap.Logger) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	limitMemory(set.Memory)
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("side: draw an incarnation: %w", err)
	}
	d := &Daemon{
		set:    set,
		latest: set,
		clock:  c,
		log:    log,
		meter:  newMeter(),
	}
	d.incarnation = max(binary.LittleEndian.Uint64(random[8:]), 1)
	d.tracker = newViewTracker(log, d.applyView)
	cfg := flow.Config{
		Clock:   c,
		Headers: platform.Headers(),
		Self: flow.Self{
			Host:        set.Address,
			InboundPort: set.inboundPort(),
			Service:     set.Service,
			TargetAddr:  set.Target,
			Region:      set.Region,
			Centre:      set.Centre,
			Centres:     set.Centres,
		},
		View:        d.tracker.view.Load,
		Log:         log,
		Metrics:     d.meter.counts(),
		Seed:        binary.LittleEndian.Uint64(random[:8]),
		Incarnation: d.incarnation,
		RetryRatio:  set.Ratio,
		RetrySlack:  set.Slack,
		RetryWindow: clock.Milli(set.Window) * clock.Second,
		DrainTime:   clock.Milli(set.Drain),
	}
	d.inbound = flow.NewInbound(cfg)
	d.outbound = flow.NewOutbound(cfg, d.inbound)
	d.callers = http1.NewServer(http1.ServerConfig{
		Clock:       c,
		Limits:      d.callerLimits,
		Handle:      d.outbound.Handle,
		MayPipeline: d.outbound.MayPipeline,
		Malformed:   malformed,
	})
	d.peers = http1.NewServer(http1.ServerConfig{
		Clock: c,
		Limits: func() http1.ServerLimits {
			return http1.ServerLimits{
				MaxHeader:   maxHeadBytes + hopHeadBytes,
				MaxBody:     maxBodyBytes,
				ReadTimeout: headTimeout,
				IdleTimeout: peerIdleTimeout,
			}
		},
		Handle:      d.inbound.Handle,
		MayPipeline: func(*http1.Request) bool { return false },
		Malformed:   malformed,
	})
	return d, nil
}

// malformed answers what could not be read as a request.
func malformed(status int, err error) guard.Answer {
	return guard.Answer{
		Status: status,
		Body:   []byte(err.Error() + "\n"),
	}
}

// applyView tells the inbound side what the view says of its target.
func (d *Daemon) applyView(v *model.View) {
	if !v.Fleet.Loaded {
		return
	}
	t, ok := v.Fleet.ByAddr(d.set.Target)
	conns := 0
	if v.Config != nil {
		conns = v.Config.Services[d.set.Service].Conns
	}
	d.inbound.SetTarget(t, ok, conns)
}

func (d *Daemon) callerLimits() http1.ServerLimits {
	v := d.tracker.view.Load()
	if v.Config == nil {
		return http1.ServerLimits{
			MaxHeader:   maxHeadBytes,
			MaxBody:     maxBodyBytes,
			ReadTimeout: headTimeout,
			IdleTimeout: peerIdleTimeout,
		}
	}
	l := v.Config.Limits
	return http1.ServerLimits{
		MaxHeader:   l.MaxHeader,
		MaxBody:     l.MaxBody,
		ReadTimeout: l.ReadTimeout,
		IdleTimeout: l.IdleTimeout,
	}
}

// Start listens and begins to follow the store.
func (d *Daemon) Start() error {
	for _, l := range []struct {
		addr  string
		serve func(net.Listener)
	}{
		{
			addr:  d.set.Ready,
			serve: d.serveReady,
		},
		{
			addr:  net.JoinHostPort(d.set.Address, strconv.Itoa(d.set.Metrics)),
			serve: d.meter.serve,
		},
		{
			addr:  d.set.Inbound,
			serve: d.peers.Serve,
		},
		{
			addr:  d.set.Outbound,
			serve: d.callers.Serve,
		},
	} {
		listener, err := http1.Listen(l.addr, d.clock)
		if err != nil {
			return fmt.Errorf("side: listen on %s: %w", l.addr, err)
		}
		d.listeners = append(d.listeners, listener)
		go l.serve(listener)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.newFollower().Run(ctx)
	go d.tick(ctx)
	event.Info(d.log, event.Started, zap.String("name", d.set.Name), zap.Uint64("incarnation", d.incarnation),
		zap.String("service", d.set.Service), zap.String("centre", d.set.Centre))
	return nil
}

// newFollower returns what keeps the beliefs up to date. One watch over all keys
// is one call where a watch for each kind of key would be two.
func (d *Daemon) newFollower() *watch.Follower {
	return watch.New(watch.Config{
		Clock:   d.clock,
		Source:  newStoreClient(d.set.Store, d.clock).source(),
		Jitter:  func(n clock.Milli) clock.Milli { return clock.Milli(mrand.Int64N(int64(n))) },
		Listed:  d.tracker.applyList,
		Changed: d.tracker.applyChanges,
		Heard:   func(now clock.Milli) { d.storeAnsweredAt.Store(int64(now)) },
		Lost:    func(err error) { event.Warn(d.log, event.StoreDown, zap.Error(err)) },
		Found:   func() { event.Info(d.log, event.StoreUp) },
	})
}

func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	gaugesAt := d.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.clock.Now()
		d.tracker.expireTargets(now)
		d.inbound.Tick()
		d.outbound.Tick()
		if now-gaugesAt >= gaugeEvery {
			gaugesAt = now
			d.updateGauges(now)
		}
	}
}

func (d *Daemon) updateGauges(now clock.Milli) {
	age := clock.Milli(unknownAge)
	if answeredAt := d.storeAnsweredAt.Load(); answeredAt > 0 {
		age = now - clock.Milli(answeredAt)
	}
	d.meter.gauges(d.inbound.Stats(), d.tracker.view.Load(), age)
}

// serveReady answers the platform's readiness check.
func (d *Daemon) serveReady(l net.Listener) {
	r := router.New()
	r.GET(platform.ReadyPath, func(ctx *fasthttp.RequestCtx) {
		v := d.tracker.view.Load()
		if d.stopping.Load() || v.Config == nil || !v.Fleet.Loaded {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusOK)
	})
	server := &fasthttp.Server{
		Handler:               r.Handler,
		NoDefaultServerHeader: true,
		IdleTimeout:           math.MaxInt64,
	}
	if err := server.Serve(l); err != nil && !d.stopping.Load() {
		d.log.Error("readiness check not served", zap.Error(err))
	}
}

// limitMemory makes the collector work harder near the limit of the process.
func limitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(megabytes) << 20 * softMemoryPercent / 100)
}
