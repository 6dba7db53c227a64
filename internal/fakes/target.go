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

const hangUpCheck = 20 * clock.Millisecond

// Operation is how a [Target] serves one operation.
type Operation struct {
	// ServiceTime is the time that the work takes at normal speed.
	ServiceTime clock.Milli `json:"service"`
	// Jitter spreads the service time evenly by this share to both sides.
	Jitter float64 `json:"jitter,omitempty"`
	// Calls lists the deeper calls, one after the other, as "service/operation".
	Calls []string `json:"calls,omitempty"`
	// AtMostOnce makes the target count the runs of each Idempotency-Key.
	AtMostOnce bool `json:"once,omitempty"`
}

// ColdStart is the slowness of a target that has just started.
type ColdStart struct {
	// Length is the time after the start until the target is at full speed.
	Length clock.Milli `json:"length"`
	// Factor multiplies the service time at the start and falls evenly to 1.
	Factor float64 `json:"factor"`
}

// TargetConfig configures a [Target].
type TargetConfig struct {
	// Addr is "ip:port"; empty means a free port on loopback.
	Addr string
	// Name is repeated in answers.
	Name string
	// Slots is the number of requests served at once.
	Slots int
	// Conns is the number of connections served; more are closed. Requests
	// beyond the slots wait, one to a connection.
	Conns int
	// Operations are the operations served, by "service/operation".
	Operations map[string]Operation
	// Outbound is the "ip:port" that deeper calls go to.
	Outbound string
	// Route chooses the "ip:port" for a deeper call; nil means Outbound.
	Route func(path string) string
	// Retries is the number of times that a failed deeper call is repeated.
	Retries int
	// CallTimeout bounds a deeper call of a request without a deadline; zero
	// means [DefaultCallTimeout].
	CallTimeout clock.Milli
	// IgnoreDisconnect makes the target go on when its caller has gone, and
	// IgnoreDeadline when the deadline has passed.
	IgnoreDisconnect bool
	IgnoreDeadline   bool
	Cold             ColdStart
	// ReportLag is the age of what GET /load tells.
	ReportLag clock.Milli
	// AdjustLoad changes what GET /load tells; nil leaves it as it is.
	AdjustLoad func(Load) Load
	// Seed makes the jitter repeatable.
	Seed uint64
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
}

// Target stands in for a back end. It serves POST and GET on
// /service/operation, GET /health, GET /load, POST /drain and
// DELETE /attempts/ATTEMPT, which cancels an attempt.
type Target struct {
	*server
	cfg    TargetConfig
	slots  *slots
	deeper *deeper
	ledger ledger
	born   clock.Milli

	draining atomic.Bool
	running  atomic.Int64
	report   report

	mu     sync.Mutex
	rng    *rand.Rand
	speed  float64
	faults Faults
	// lastConn is the newest connection seen, and silent the newest silent one.
	lastConn uint64
	silent   uint64
	work     map[string]*work
}

// NewTarget starts a target.
func NewTarget(cfg TargetConfig) (*Target, error) {
	if cfg.Slots <= 0 || cfg.Conns < cfg.Slots {
		return nil, &Error{
			Op:   "new target",
			Kind: Config,
			Err:  errors.New("slots must be positive and no more than conns"),
		}
	}
	cfg = cfg.withDefaults()
	t := &Target{
		cfg: cfg,
		slots: &slots{
			free:  cfg.Slots,
			queue: cfg.Conns,
		},
		deeper: newDeeper(cfg),
		ledger: ledger{
			runs: make(map[runKey]Run),
		},
		born:  cfg.Clock.Now(),
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		speed: 1,
		work:  make(map[string]*work),
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

// Close stops the target and its deeper calls.
func (t *Target) Close() error {
	err := t.server.Close()
	t.deeper.close()
	return err
}

// SetSpeed divides the service times from now on: 0.1 is ten times slower.
func (t *Target) SetSpeed(speed float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed = speed
}

// SetFaults switches faults on or, with the zero value, off.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// BlackholeOpen makes every connection that is open now silent for good, while new
// ones work.
func (t *Target) BlackholeOpen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = t.lastConn
}

// Drain makes t refuse new work, or take it again.
func (t *Target) Drain(on bool) { t.draining.Store(on) }

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	path := strings.TrimPrefix(string(ctx.Path()), "/")
	if t.isSilent(ctx.ConnID()) {
		t.fall(ctx)
		return
	}
	switch {
	case path == "health":
		t.health(ctx)
	case path == "load":
		writeJSON(ctx, t.cfg.AdjustLoad(t.report.read(t.cfg.Clock.Now(), t.cfg.ReportLag, t.load())))
	case path == "drain" && ctx.IsPost():
		t.Drain(true)
	case strings.HasPrefix("/"+path, header.CancelPath) && ctx.IsDelete():
		t.cancel(ctx, strings.TrimPrefix("/"+path, header.CancelPath))
	default:
		t.serveWork(ctx, path)
	}
}

// isSilent notes the newest connection and reports whether this one is silent.
func (t *Target) isSilent(conn uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConn = max(t.lastConn, conn)
	return conn <= t.silent
}

// draw returns the service time of op now and the fault that it meets.
func (t *Target) draw(op Operation) (clock.Milli, Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := (1 + op.Jitter*(2*t.rng.Float64()-1)) / t.speed * t.cold()
	faults := t.faults
	if faults.Fault != NoFault && t.rng.Float64() >= faults.Share {
		faults = Faults{}
	}
	return clock.Milli(float64(op.ServiceTime)*factor + 0.5), faults
}

// cold returns the factor of the cold start now.
func (t *Target) cold() float64 {
	age := t.cfg.Clock.Now() - t.born
	if age >= t.cfg.Cold.Length {
		return 1
	}
	rest := 1 - float64(age)/float64(t.cfg.Cold.Length)
	return 1 + (t.cfg.Cold.Factor-1)*rest
}
