package demo

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/pkg/clock"
)

// MinSeconds is the shortest run, in seconds.
const MinSeconds = 3

// Behaviour of the callers.
const (
	// callerConns is the most connections that callers have to one entry
	// point. It keeps a run within the file descriptors of one process.
	callerConns = 100
	// callTimeout is how long a caller waits in all.
	callTimeout = 4 * clock.Second
)

// Shares of a run's length that its phases take, in percent.
const (
	calmPercent  = 30
	crestPercent = 40
)

// Indexes of phases.
const (
	Calm = iota
	Crest
	Recovery
)

// Config says what a run does.
type Config struct {
	Deployments []Deployment
	Systems     []System
	// Length is that of the load under each system.
	Length clock.Milli
	// Scale is a factor on the demand of all plants.
	Scale float64
	Seed  uint64
	// Log takes the daemons' logs.
	Log *zap.Logger
	// OnPhase and OnSecond tell how the run goes on; nil for none. They may
	// be called from several goroutines.
	OnPhase  func(RunStatus)
	OnSecond func(RunStatus)
}

// RunStatus is a glance at one plant under one system.
type RunStatus struct {
	Deployment string
	System     System
	Phase      string
	Progress   load.Progress
}

// Run loads one plant after the other, each under one system after the other.
// A process cannot hold the connections of two plants under overload, so they
// do not run side by side.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if len(cfg.Deployments) == 0 || len(cfg.Systems) == 0 || cfg.Length < MinSeconds*clock.Second || cfg.Scale <= 0 {
		return Result{}, &Error{
			Op:   "run",
			Kind: Unusable,
			Err:  errors.New("a run needs a plant, a system, a scale and some seconds"),
		}
	}
	result := Result{
		Length: cfg.Length,
		Scale:  cfg.Scale,
		Seed:   cfg.Seed,
	}
	for _, p := range cfg.Deployments {
		trials := make([]Trial, 0, len(cfg.Systems))
		for _, system := range cfg.Systems {
			t, err := cfg.trial(ctx, p, system)
			if err != nil {
				return result, err
			}
			trials = append(trials, t)
		}
		result.Deployments = append(result.Deployments, trials)
	}
	return result, nil
}

// trial starts, loads, stops and judges one fleet.
func (cfg Config) trial(ctx context.Context, p Deployment, system System) (Trial, error) {
	f, err := startFleet(p, system, cfg.Seed, cfg.Log)
	if err != nil {
		return Trial{}, err
	}
	meter := startCPUMeter()
	t, err := cfg.load(ctx, f)
	t.Cores = meter.cores()
	// Nothing runs any more once the fleet has stopped.
	f.stop()
	if err == nil {
		err = ctx.Err()
	}
	t.Verdict = judge(f.set, t.Report.Results, f.runs(), int(f.totals().Crossed))
	return t, err
}

// load loads one fleet.
func (cfg Config) load(ctx context.Context, f *fleet) (Trial, error) {
	plan := cfg.plan(f)
	step := func(phase int, progress load.Progress) RunStatus {
		return RunStatus{
			Deployment: f.deployment.Name,
			System:     f.system,
			Phase:      plan.Phases[phase].Name,
			Progress:   progress,
		}
	}
	phases := make(chan int, len(plan.Phases))
	work := f.trackPhases(phases)
	gen := load.Config{
		Plan:        plan,
		Entries:     f.entries(),
		Conns:       callerConns,
		CallTimeout: callTimeout,
		OnPhase: func(phase int) {
			phases <- phase
			if cfg.OnPhase != nil {
				cfg.OnPhase(step(phase, load.Progress{}))
			}
		},
	}
	if cfg.OnSecond != nil {
		gen.OnSecond = func(p load.Progress) { cfg.OnSecond(step(p.Phase, p)) }
	}
	report, err := load.Run(ctx, gen)
	trial := Trial{
		Deployment: f.deployment,
		System:     f.system,
		Calls:      plan.Calls,
		Report:     report,
	}
	close(phases)
	trial.TargetWork = <-work
	return trial, err
}

// trackPhases sets the speed of the slow service as phases begin and, once turns is
// closed, delivers what the targets did in each phase. It works beside the
// generator, which must not wait for busy targets.
func (f *fleet) trackPhases(phases <-chan int) <-chan []Totals {
	done := make(chan []Totals, 1)
	go func() {
		var work []Totals
		before := f.totals()
		for phase := range phases {
			f.setSlow(phase == Crest)
			now := f.totals()
			if phase > 0 {
				work = append(work, now.sub(before))
			}
			before = now
		}
		done <- append(work, f.totals().sub(before))
	}()
	return done
}

// plan returns the phases of a run; it is the same under every system.
func (cfg Config) plan(f *fleet) load.Plan {
	calm := cfg.Length * calmPercent / 100
	crest := cfg.Length * crestPercent / 100
	rate := f.deployment.Rate * cfg.Scale
	return load.Plan{
		Name:  f.deployment.Name,
		Seed:  cfg.Seed,
		Calls: f.deployment.calls(f.set),
		Phases: []load.Phase{
			{
				Name:   "calm",
				Length: calm,
				Rate:   rate,
			},
			{
				Name:   "crest",
				Length: crest,
				Rate:   rate * f.deployment.Surge,
			},
			{
				Name:   "recovery",
				Length: cfg.Length - calm - crest,
				Rate:   rate,
			},
		},
	}
}

// cpuMeter measures the processor time of this process.
type cpuMeter struct {
	at   time.Time
	used time.Duration
}

func startCPUMeter() cpuMeter {
	return cpuMeter{
		at:   time.Now(),
		used: cpuTime(),
	}
}

// cores returns the mean number of cores in use since the start.
func (m cpuMeter) cores() float64 {
	return float64(cpuTime()-m.used) / float64(time.Since(m.at))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Describe returns what the load of the plants takes of their tightest
// services, one line for each plant.
func Describe(deployments []Deployment, scale float64) []string {
	var lines []string
	for _, p := range deployments {
		calm, err := p.SlotUse(scale, 1)
		if err != nil {
			continue
		}
		crest, err := p.SlotUse(scale*p.Surge, slowFactor)
		if err != nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: calm %.0f calls/s (%s), crest %.0f calls/s with %s %d times slower (%s)",
			p.Name, p.Rate*scale, describeBusiest(calm), p.Rate*p.Surge*scale, p.SlowService, slowFactor, describeBusiest(crest)))
	}
	return lines
}

func describeBusiest(shares map[string]float64) string {
	name := ""
	for service, share := range shares {
		if share > shares[name] || share == shares[name] && service < name {
			name = service
		}
	}
	return fmt.Sprintf("%s at %.0f%% of its slots", name, 100*shares[name])
}

// ParseDeployments returns the plants by name, all for an empty name.
func ParseDeployments(name string) ([]Deployment, error) {
	all := []Deployment{Xaalis(), Armor()}
	if name == "" {
		return all, nil
	}
	for _, p := range all {
		if p.Name == name {
			return []Deployment{p}, nil
		}
	}
	return nil, &Error{
		Op:   "parse plants",
		Kind: Unusable,
		Err:  fmt.Errorf("no deployment %q; there are xaalis and armor", name),
	}
}

// ParseSystems returns the systems by name, all for an empty name.
func ParseSystems(name string) ([]System, error) {
	if name == "" {
		return Systems(), nil
	}
	for _, s := range Systems() {
		if s.String() == name {
			return []System{s}, nil
		}
	}
	return nil, &Error{
		Op:   "parse systems",
		Kind: Unusable,
		Err:  fmt.Errorf("no system %q; there are siskinswitch, none and static", name),
	}
}
