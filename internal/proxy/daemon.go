// Package proxy is the daemon as a sidecar on the users' platform, started with
// "siskind side".
//
// A [Daemon] runs beside one target. It follows the records in the platform's
// store and derives from them an immutable view: the configuration and the
// known targets. Its data path has two sides. The outbound side takes requests
// from callers on the host, chooses a target and sends each request to the
// daemon of that target's host. The inbound side takes requests from other
// daemons, admits or sheds them and passes them to the host's own target. This
// package connects the view, both sides, the readiness check and the metrics,
// and handles start, reload of settings and stop.
package proxy

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"math"
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
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/internal/trans/flow"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/platform"
)

const (
	// tickEvery is the interval of the daemon's periodic work.
	tickEvery = 50 * clock.Millisecond
	// gaugeEvery is the interval at which the gauges are updated.
	gaugeEvery       = clock.Second
	bytesPerMegabyte = 1 << 20
	// pausedAfter is the time without periodic work from which on the process counts
	// as paused.
	pausedAfter = 500 * clock.Millisecond
	// softMemoryPercent is the share of the process's memory limit at which the
	// Go runtime's soft limit is set. Near it the garbage collector works
	// harder.
	softMemoryPercent = 60
	// gcPercent starts garbage collections early, because memory is scarcer
	// here than processor time.
	gcPercent = 50
	// peerIdleTimeout is how long the inbound side keeps an idle connection.
	// The outbound sides close theirs sooner.
	peerIdleTimeout = 30 * clock.Second
	// headTimeout limits the time for reading a request header where no
	// configuration sets it.
	headTimeout = 5 * clock.Second
	// maxHeadBytes and maxBodyBytes limit messages between daemons, and those
	// of callers as long as there is no configuration.
	maxHeadBytes = 24 << 10
	maxBodyBytes = 64 << 20
	// messageMemoryPercent is the share of the process's memory limit for the
	// bodies of requests in progress, and the same again for those of answers.
	messageMemoryPercent = 12
	// malformedRetryAfter is the Retry-After of a request that there was no
	// memory for.
	malformedRetryAfter = 500 * clock.Millisecond
	// hopHeadBytes is the room for the header fields that daemons add to a
	// request.
	hopHeadBytes = 2 << 10
)

// Daemon is the whole process. It is created by [New], runs from [Daemon.Start]
// and ends with [Daemon.Stop] or [Daemon.Kill].
type Daemon struct {
	// settings are those in force.
	settings    Settings
	clock       clock.Clock
	log         *zap.Logger
	meter       *meter
	viewTracker *viewTracker
	follower    *watch.Follower
	store       *storeClient
	freshness   *freshness
	// incarnation identifies this run of the daemon.
	incarnation uint64
	inbound     *flow.Inbound
	outbound    *flow.Outbound

	// callers serves the callers on the host, peers the other daemons.
	callers *http1.Server
	peers   *http1.Server
	// requests and answers are the memory for bodies in progress.
	requests *hold.Pool
	answers  *hold.Pool
	stopping atomic.Bool
	// latest are the settings as last read. They differ from settings while a
	// changed field waits for a restart.
	latest Settings
	// reloadError is the text of the last logged reload error, empty once a
	// reload succeeds.
	reloadError string
	// storeAnsweredAt is when the store last answered, 0 if it never has.
	storeAnsweredAt atomic.Int64
	// hasLearned says whether the daemon was learning about its target when the gauges
	// were set last.
	hasLearned bool
	cancel     context.CancelFunc
	listeners  []*accept.Listener
}

// New returns a daemon that neither listens nor follows the store yet. It also
// tunes the garbage collector of the process.
func New(set Settings, c clock.Clock, log *zap.Logger) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	limitMemory(set.Memory)
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("proxy: draw a random incarnation: %w", err)
	}
	d := &Daemon{
		settings: set,
		latest:   set,
		clock:    c,
		log:      log,
		meter:    newMeter(),
		requests: hold.NewPool(messageMemory(set.Memory)),
		answers:  hold.NewPool(messageMemory(set.Memory)),
	}
	d.incarnation = max(binary.LittleEndian.Uint64(random[8:]), 1)
	d.viewTracker = newViewTracker(log, d.applyView)
	d.viewTracker.onPanic = d.contain
	d.viewTracker.onUnreadable = func(kind string) { d.meter.count("records_unreadable", "kind", kind) }
	d.freshness = d.newFreshness()
	d.follower = d.newFollower()
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
		View:        d.viewTracker.view.Load,
		Seen:        d.follower.Seen,
		OnSeen:      d.follower.Hear,
		Proof:       d.freshness.proof,
		OnProof:     d.freshness.onProof,
		IsTrusted:   d.freshness.isTrusted,
		IsBehind:    d.follower.IsBehind,
		Statement:   platform.DecodeLoad,
		Log:         log,
		Metrics:     d.meter.flowMetrics(),
		OnPanic:     d.contain,
		Seed:        binary.LittleEndian.Uint64(random[:8]),
		Incarnation: d.incarnation,
		RetryRatio:  set.Ratio,
		RetrySlack:  int(set.Slack),
		RetryWindow: set.windowTime(),
		DrainTime:   set.drainTime(),
		Quota:       set.quotaBounds(),
	}
	d.inbound = flow.NewInbound(cfg)
	d.outbound = flow.NewOutbound(cfg, d.inbound)
	d.callers = http1.NewServer(http1.ServerConfig{
		Clock:       c,
		Limits:      d.callerLimits,
		Handle:      d.outbound.Handle,
		MayPipeline: d.outbound.MayPipeline,
		BodyTime:    d.outbound.BodyTime,
		Precheck:    d.outbound.Precheck,
		Malformed:   d.malformed,
		Requests:    d.requests,
		Answers:     d.answers,
		OnPanic:     d.contain,
		OnBroken:    d.connBroken,
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
		BodyTime:    d.inbound.BodyTime,
		Precheck:    d.inbound.Precheck,
		Malformed: func(r *http1.Request, status int, err error) guard.Answer {
			return d.inbound.Unread(r, d.malformed(r, status, err))
		},
		Requests: d.requests,
		Answers:  d.answers,
		OnPanic:  d.contain,
		OnBroken: d.connBroken,
	})
	return d, nil
}

// messageMemory returns the bytes of a pool for a process limit in megabytes.
func messageMemory(megabytes float64) int {
	return int(megabytes*bytesPerMegabyte) / 100 * messageMemoryPercent
}

// run calls f and contains a panic in it.
func (d *Daemon) run(op string, f func()) {
	if err := rescue.Run(op, f); err != nil {
		d.contain(err)
	}
}

// contain logs and counts a panic that was contained.
func (d *Daemon) contain(err *rescue.Error) {
	d.meter.count("panics", "op", err.Op)
	event.Contained(d.log, err)
}

// connBroken logs a connection that broke under an answer.
func (d *Daemon) connBroken(from string, err error) {
	event.Warn(d.log, event.ConnBroken, zap.String("from", from), zap.Error(err))
}

// malformed returns the answer to a message that can't be parsed as a request or
// exceeds a bound. r has the header of the request, or is nil.
func (d *Daemon) malformed(r *http1.Request, status int, err error) guard.Answer {
	a := guard.Answer{
		Status: status,
		Body:   []byte(err.Error() + "\n"),
	}
	id := ""
	if r != nil {
		id = r.Get(platform.HeaderID)
		a.Fields = http1.WithField(a.Fields, platform.HeaderID, id)
	}
	if status == fasthttp.StatusServiceUnavailable {
		seconds := float64(malformedRetryAfter) / float64(clock.Second)
		a.Fields = http1.WithField(a.Fields, platform.HeaderRetry, strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	d.meter.count("malformed", "status", strconv.Itoa(status))
	event.Warn(d.log, event.Malformed, zap.String("id", id), zap.Int("status", status), zap.Error(err))
	return a
}

// applyView configures the inbound side for the host's own target as the view
// describes it. It does nothing before the first list of the store, when no
// target is known.
func (d *Daemon) applyView(v *model.View) {
	if !v.Fleet.Loaded {
		return
	}
	t, ok := v.TargetAt(d.settings.Target, d.settings.Service)
	u := flow.TargetUpdate{
		Target:    t,
		HasRecord: ok,
		IsLate:    v.IsLate,
		Learn:     d.settings.isLearning(v.Config),
	}
	if v.Config != nil {
		u.Conns = v.Config.Services[d.settings.Service].Conns
	}
	d.inbound.SetTarget(u)
}

// callerLimits returns the limits for the callers' requests: those of the
// configuration, or the package's own before there is one.
func (d *Daemon) callerLimits() http1.ServerLimits {
	v := d.viewTracker.view.Load()
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

// Start opens the listeners and begins to follow the store. If one listener
// fails, it closes the earlier ones.
func (d *Daemon) Start() error {
	for _, l := range []struct {
		addr  string
		serve func(net.Listener)
	}{
		{
			addr:  d.settings.Ready,
			serve: d.serveReady,
		},
		{
			addr:  net.JoinHostPort(d.settings.Address, strconv.Itoa(int(d.settings.Metrics))),
			serve: d.meter.serve,
		},
		{
			addr:  d.settings.Inbound,
			serve: d.peers.Serve,
		},
		{
			addr:  d.settings.Outbound,
			serve: d.callers.Serve,
		},
	} {
		listener, err := http1.Listen(l.addr, d.clock)
		if err != nil {
			for _, opened := range d.listeners {
				opened.CloseAll()
			}
			return fmt.Errorf("proxy: listen on %s: %w", l.addr, err)
		}
		d.listeners = append(d.listeners, listener)
		go l.serve(listener)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.follower.Run(ctx)
	go d.tick(ctx)
	event.Info(d.log, event.Started, zap.String("name", d.settings.Name), zap.Uint64("incarnation", d.incarnation),
		zap.String("service", d.settings.Service), zap.String("centre", d.settings.Centre))
	return nil
}

// tick does the periodic work until ctx is cancelled.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	gaugesAt := d.clock.Now()
	tickedAt := gaugesAt
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.clock.Now()
		d.logPause(now - tickedAt)
		tickedAt = now
		isGaugeTime := now-gaugesAt >= gaugeEvery
		if isGaugeTime {
			gaugesAt = now
		}
		d.run("tick", func() { d.tickOnce(now, isGaugeTime) })
	}
}

// logPause logs that the process was paused if the time since the last periodic work
// shows it.
func (d *Daemon) logPause(gap clock.Milli) {
	if gap >= pausedAfter {
		event.Warn(d.log, event.Resumed, zap.String("detail", fmt.Sprintf("did not run for %d ms", gap)))
	}
}

// tickOnce does the periodic work that is due at now.
func (d *Daemon) tickOnce(now clock.Milli, isGaugeTime bool) {
	d.viewTracker.expireTargets(now)
	d.follower.Tick()
	d.freshness.tick(now)
	d.store.client.Sweep()
	d.inbound.Tick()
	d.outbound.Tick()
	if isGaugeTime {
		d.updateGauges(now)
	}
}

// updateGauges sets the gauges to the state at now.
func (d *Daemon) updateGauges(now clock.Milli) {
	age := clock.Milli(unknownAge)
	if answeredAt := d.storeAnsweredAt.Load(); answeredAt > 0 {
		age = now - clock.Milli(answeredAt)
	}
	st := d.inbound.Stats()
	if st.IsLearning || d.hasLearned {
		d.meter.learned(st.Learned)
	}
	d.hasLearned = st.IsLearning
	d.meter.gauges(st, d.viewTracker.view.Load(), age)
	if d.freshness.isNeeded() {
		proofAge, _ := d.freshness.Age(d.clock.Boot())
		d.meter.proofAge(proofAge)
	}
	d.meter.memory("requests", d.requests.Stats())
	d.meter.memory("answers", d.answers.Stats())
}

// serveReady answers the platform's readiness check. The daemon is ready once
// it knows the configuration and the targets, until it stops.
func (d *Daemon) serveReady(l net.Listener) {
	r := router.New()
	r.GET(platform.ReadyPath, func(ctx *fasthttp.RequestCtx) {
		v := d.viewTracker.view.Load()
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
		d.log.Error("readiness check is no longer served", zap.Error(err))
	}
}

// limitMemory sets the Go runtime's soft memory limit for a process limit of
// the given size.
func limitMemory(megabytes float64) {
	debug.SetMemoryLimit(int64(megabytes*bytesPerMegabyte) * softMemoryPercent / 100)
}
