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
	// DefaultMaxOpen is the most calls that are open at once.
	DefaultMaxOpen = 20_000
	// DefaultConns bounds the connections to one entry point.
	DefaultConns = 8_192
)

// Config says how a [Plan] is carried out.
type Config struct {
	Plan Plan
	// Entries are the "ip:port" addresses that calls may enter at.
	Entries []string
	// MaxTries is the most tries at one call, the first included.
	MaxTries int
	// RetryDelay is the wait before another try.
	RetryDelay clock.Milli
	// CallTimeout is how long after its intended start a call is given up.
	CallTimeout clock.Milli
	// MaxCalls bounds the calls of the whole run; zero means no bound.
	MaxCalls int
	// MaxOpen bounds the calls that are open at once.
	MaxOpen int
	// Conns bounds the connections to one entry point.
	Conns int
	// OnPhase is called as each phase begins; nil for none. It must not block.
	OnPhase func(phase int)
	// OnSecond is called about once in a second; nil for none.
	OnSecond func(Progress)
}

// Progress is a glance at a run.
type Progress struct {
	Elapsed clock.Milli
	Phase   int
	// Counts are the counts so far of the calls meant to start in the phase.
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

// Run carries out a plan and returns once all its calls have ended. If ctx ends
// early, no more calls start and the report holds those made until then.
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

// dispatch starts each call at its instant.
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

// start lets one call run by itself.
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

// reportProgress reports progress every second until ctx ends.
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

// sleepUntil reports false if ctx ends first.
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
