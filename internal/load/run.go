package load

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults of a [Config].
const (
	DefaultMaxTries    = 4
	DefaultRetryDelay  = 20 * clock.Millisecond
	DefaultCallTimeout = 5 * clock.Second
	// DefaultMaxOpen bounds the calls in flight.
	DefaultMaxOpen = 20_000
	// DefaultConns bounds the connections to one entry point.
	DefaultConns = 8_192
)

// Config configures a [Run]. Zero fields other than Plan, Entries and MaxCalls
// take the defaults.
type Config struct {
	Plan Plan
	// Entries are the "ip:port" addresses of the entry points.
	Entries []string
	// MaxTries is the maximum number of tries per call, including the first.
	MaxTries int
	// RetryDelay is the delay before the next try.
	RetryDelay clock.Milli
	// CallTimeout is the time from the intended start of a call until the
	// caller gives up.
	CallTimeout clock.Milli
	// MaxCalls bounds the calls of the whole run; zero means no bound.
	MaxCalls int
	// MaxOpen bounds the calls in flight; further calls are skipped.
	MaxOpen int
	// Conns bounds the connections to one entry point.
	Conns int
	// OnPhase is called when a phase begins, with its index; may be nil. It must
	// not block.
	OnPhase func(phase int)
	// OnSecond is called about once per second; may be nil.
	OnSecond func(Progress)
}

// Progress is a snapshot of a run.
type Progress struct {
	Elapsed clock.Milli
	Phase   int
	// Counts holds the results so far of the calls that were due in the phase.
	Counts Counts
	Open   int64
}

type generator struct {
	cfg    Config
	client *client
	record *recorder
	open   atomic.Int64
	phase  atomic.Int64
	wg     sync.WaitGroup
}

// Run carries out a plan and returns after all its calls have ended. If ctx
// ends early, no more calls start, and the report covers those that did.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Plan.Check(); err != nil {
		return Report{}, err
	}
	if len(cfg.Entries) == 0 {
		return Report{}, &Error{
			Op:   "run",
			Kind: Unusable,
			Err:  errors.New("no entry points"),
		}
	}
	g := &generator{
		cfg:    cfg,
		client: newClient(cfg.Conns),
		record: newRecorder(cfg.Plan),
	}
	defer g.client.close()
	ctx, cancel := context.WithCancel(ctx)
	progressDone := g.reportProgress(ctx)
	g.dispatch(ctx)
	g.wg.Wait()
	cancel()
	<-progressDone
	return g.record.report, nil
}

func (c Config) withDefaults() Config {
	c.MaxTries = orDefault(c.MaxTries, DefaultMaxTries)
	c.RetryDelay = orDefault(c.RetryDelay, DefaultRetryDelay)
	c.CallTimeout = orDefault(c.CallTimeout, DefaultCallTimeout)
	c.MaxOpen = orDefault(c.MaxOpen, DefaultMaxOpen)
	c.Conns = orDefault(c.Conns, DefaultConns)
	if c.OnPhase == nil {
		c.OnPhase = func(int) {}
	}
	return c
}

func orDefault[T int | clock.Milli](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// dispatch starts each call at its intended time.
func (g *generator) dispatch(ctx context.Context) {
	begin := time.Now()
	arrivals := g.cfg.Plan.Arrivals()
	phase := -1
	for n := 0; ; n++ {
		a, ok := arrivals.Next()
		if !ok || g.cfg.MaxCalls > 0 && n >= g.cfg.MaxCalls || !sleepUntil(ctx, begin.Add(a.At)) {
			return
		}
		for phase < a.Phase {
			phase++
			g.phase.Store(int64(phase))
			g.cfg.OnPhase(phase)
		}
		g.start(a, begin.Add(a.At))
	}
}

// start runs one call in a goroutine of its own, or skips it if too many calls
// are in flight.
func (g *generator) start(a Arrival, due time.Time) {
	if g.open.Load() >= int64(g.cfg.MaxOpen) {
		g.record.skipped(a.Phase)
		return
	}
	g.open.Add(1)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer g.open.Add(-1)
		g.record.started(a.Phase, time.Since(due))
		c := &callState{
			arrival: a,
			call:    &g.cfg.Plan.Calls[a.Call],
			due:     due,
		}
		g.makeTries(c)
		g.record.ended(c)
	}()
}

// reportProgress calls OnSecond every second until ctx ends. The channel that it
// returns is closed afterwards.
func (g *generator) reportProgress(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	begin := time.Now()
	go func() {
		defer close(done)
		if g.cfg.OnSecond == nil {
			return
		}
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			phase := int(g.phase.Load())
			g.cfg.OnSecond(Progress{
				Elapsed: clock.FromDuration(time.Since(begin)),
				Phase:   phase,
				Counts:  g.record.progress(phase),
				Open:    g.open.Load(),
			})
		}
	}()
	return done
}

// sleepUntil waits until at and returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
