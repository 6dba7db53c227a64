package fakes

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// disconnectCheck is the interval of checks whether the client has disconnected.
const disconnectCheck = 20 * clock.Millisecond

// Operation describes how a [Target] serves an operation.
type Operation struct {
	// ServiceTime is the time that a request holds a slot at normal speed, without
	// its downstream calls.
	ServiceTime clock.Milli `json:"service"`
	// Jitter varies the service time evenly by up to this fraction of it, both ways.
	Jitter float64 `json:"jitter,omitempty"`
	// Calls lists the downstream calls in order, each as "service/operation".
	Calls []string `json:"calls,omitempty"`
	// AtMostOnce marks a non-idempotent operation: the target counts the runs of
	// each Idempotency-Key.
	AtMostOnce bool `json:"once,omitempty"`
}

// ColdStart makes a target slow after its start, as one with empty caches is.
type ColdStart struct {
	// Length is the time from the start until the target has its full speed.
	Length clock.Milli `json:"length"`
	// Factor multiplies the service time at the start and falls linearly to 1.
	Factor float64 `json:"factor"`
}

// TargetConfig configures a [Target].
type TargetConfig struct {
	// Addr is "ip:port"; empty means a free port on loopback.
	Addr string
	// Name is the name of the target in its answers.
	Name string
	// Slots is the number of requests served at once.
	Slots int
	// Conns is the number of connections served; further ones are closed. Requests
	// beyond the slots wait in a queue, at most one of each connection.
	Conns int
	// Operations maps "service/operation" to the operations served.
	Operations map[string]Operation
	// Outbound is the "ip:port" that downstream calls are sent to.
	Outbound string
	// Route returns the "ip:port" for a downstream call; nil means Outbound.
	Route func(path string) string
	// Retries is the maximum number of retries of a failed downstream call.
	Retries int
	// CallTimeout bounds a downstream call of a request without a deadline; zero
	// means [DefaultCallTimeout].
	CallTimeout clock.Milli
	// IgnoreDisconnect makes the target continue a request when its client has
	// disconnected, and IgnoreDeadline when its deadline has passed.
	IgnoreDisconnect bool
	IgnoreDeadline   bool
	Cold             ColdStart
	// ReportLag is the age that the answer to GET /load reaches before it is
	// updated.
	ReportLag clock.Milli
	// AdjustLoad changes the load that GET /load returns; nil leaves it unchanged.
	AdjustLoad func(Load) Load
	// Seed seeds the jitter and the choice of requests with a fault.
	Seed uint64
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
}

// Target is a fake back end. It serves POST and GET on /service/operation,
// GET /health, GET /load, POST /drain and DELETE /attempts/ATTEMPT, which
// cancels an attempt.
type Target struct {
	*server
	cfg        TargetConfig
	slots      *slots
	downstream *downstream
	stats      stats
	startedAt  clock.Milli

	draining   atomic.Bool
	running    atomic.Int64
	loadReport loadReport

	mu     sync.Mutex
	rng    *rand.Rand
	speed  float64
	faults Faults
	// lastConn is the newest connection seen, and lastBlackholed the newest one
	// that is black-holed, as are all before it.
	lastConn       uint64
	lastBlackholed uint64
	requests       map[string]*request
}

// NewTarget starts a target. Slots must be positive, and Conns at least Slots.
func NewTarget(cfg TargetConfig) (*Target, error) {
	if cfg.Slots <= 0 || cfg.Conns < cfg.Slots {
		return nil, &Error{
			Op:   "new target",
			Kind: Config,
			Err:  errors.New("the number of slots must be positive and at most that of connections"),
		}
	}
	cfg = cfg.withDefaults()
	t := &Target{
		cfg: cfg,
		slots: &slots{
			free:  cfg.Slots,
			queue: cfg.Conns,
		},
		downstream: newDownstream(cfg),
		stats: stats{
			runs: make(map[runKey]Run),
		},
		startedAt: cfg.Clock.Now(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		speed:     1,
		requests:  make(map[string]*request),
	}
	srv, err := serve(cfg.Addr, cfg.Conns, t.handle)
	if err != nil {
		return nil, err
	}
	t.server = srv
	return t, nil
}

func (c TargetConfig) withDefaults() TargetConfig {
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Route == nil {
		outbound := c.Outbound
		c.Route = func(string) string { return outbound }
	}
	if c.AdjustLoad == nil {
		c.AdjustLoad = func(l Load) Load { return l }
	}
	if c.Clock.Now == nil {
		c.Clock = clock.System()
	}
	return c
}

// Close stops the target and closes its idle connections to other services.
func (t *Target) Close() error {
	err := t.server.Close()
	t.downstream.close()
	return err
}

// SetSpeed divides the service times of new requests by speed: with 0.1 they
// take ten times as long.
func (t *Target) SetSpeed(speed float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed = speed
}

// SetFaults injects a fault into new requests. The zero value ends it.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// BlackholeOpen leaves requests on the connections that are open now without an
// answer for good. New connections work.
func (t *Target) BlackholeOpen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastBlackholed = t.lastConn
}

// Drain makes t refuse new requests while on is set.
func (t *Target) Drain(on bool) { t.draining.Store(on) }

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	path := strings.TrimPrefix(string(ctx.Path()), "/")
	if t.isBlackholed(ctx.ConnID()) {
		t.holdUntilClosed(ctx)
		return
	}
	switch {
	case path == "health":
		t.health(ctx)
	case path == "load":
		writeJSON(ctx, t.cfg.AdjustLoad(t.loadReport.read(t.cfg.Clock.Now(), t.cfg.ReportLag, t.currentLoad())))
	case path == "drain" && ctx.IsPost():
		t.Drain(true)
	case strings.HasPrefix("/"+path, header.CancelPath) && ctx.IsDelete():
		t.cancel(ctx, strings.TrimPrefix("/"+path, header.CancelPath))
	default:
		t.serveOperation(ctx, path)
	}
}

// isBlackholed records the connection and reports whether it is black-holed.
func (t *Target) isBlackholed(conn uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConn = max(t.lastConn, conn)
	return conn <= t.lastBlackholed
}

// draw returns the service time and the fault of a request of op that arrives
// now.
func (t *Target) draw(op Operation) (clock.Milli, Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := (1 + op.Jitter*(2*t.rng.Float64()-1)) / t.speed * t.coldFactor()
	faults := t.faults
	if faults.Fault != NoFault && t.rng.Float64() >= faults.Share {
		faults = Faults{}
	}
	return clock.Milli(float64(op.ServiceTime)*factor + 0.5), faults
}

// coldFactor returns the current factor of the cold start on service times.
func (t *Target) coldFactor() float64 {
	age := t.cfg.Clock.Now() - t.startedAt
	if age >= t.cfg.Cold.Length {
		return 1
	}
	rest := 1 - float64(age)/float64(t.cfg.Cold.Length)
	return 1 + (t.cfg.Cold.Factor-1)*rest
}
