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

// MinSeconds is the minimum length of a run in seconds.
const MinSeconds = 3

// Behaviour of the callers.
const (
	// callerConns bounds the connections of callers to one entry point. It keeps
	// a run within the file descriptors of one process.
	callerConns = 100
	// callTimeout is how long a caller tries a call before it gives up.
	callTimeout = 4 * clock.Second
)

// Shares of the phases in the length of a run, in percent. Recovery takes the
// rest.
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

// Config configures a [Run].
type Config struct {
	Deployments []Deployment
	Systems     []System
	// Length is the duration of the load under each system.
	Length clock.Milli
	// Scale is a factor on the demand of all deployments.
	Scale float64
	Seed  uint64
	// Log receives the logs of the daemons.
	Log *zap.Logger
	// OnPhase is called when a phase begins, and OnSecond about once per second;
	// either may be nil. They may be called from several goroutines.
	OnPhase  func(RunStatus)
	OnSecond func(RunStatus)
}

// RunStatus is a snapshot of a trial in progress.
type RunStatus struct {
	Deployment string
	System     System
	Phase      string
	Progress   load.Progress
}

// Run runs the deployments one after the other, each under one system after the
// other. They do not run concurrently because a process cannot hold the
// connections of two deployments under overload.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if len(cfg.Deployments) == 0 || len(cfg.Systems) == 0 || cfg.Length < MinSeconds*clock.Second || cfg.Scale <= 0 {
		return Result{}, &Error{
			Op:   "run",
			Kind: Unusable,
			Err:  errors.New("a run needs a deployment, a system, a positive scale and a length of at least 3 s"),
		}
	}
	result := Result{
		Length: cfg.Length,
		Scale:  cfg.Scale,
		Seed:   cfg.Seed,
	}
	for _, d := range cfg.Deployments {
		trials := make([]Trial, 0, len(cfg.Systems))
		for _, system := range cfg.Systems {
			t, err := cfg.trial(ctx, d, system)
			if err != nil {
				return result, err
			}
			trials = append(trials, t)
		}
		result.Deployments = append(result.Deployments, trials)
	}
	return result, nil
}

// trial starts a fleet, applies the load, stops the fleet and checks the
// invariants.
func (cfg Config) trial(ctx context.Context, d Deployment, system System) (Trial, error) {
	f, err := startFleet(d, system, cfg.Seed, cfg.Log)
	if err != nil {
		return Trial{}, err
	}
	meter := startCPUMeter()
	t, err := cfg.load(ctx, f)
	t.Cores = meter.cores()
	// The counters are final only after the fleet has stopped.
	f.stop()
	if err == nil {
		err = ctx.Err()
	}
	t.Verdict = judge(f.set, t.Report.Results, f.runs(), int(f.totals().Crossed))
	return t, err
}

// load applies the load to a fleet and measures the results.
func (cfg Config) load(ctx context.Context, f *fleet) (Trial, error) {
	plan := cfg.plan(f)
	status := func(phase int, progress load.Progress) RunStatus {
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
				cfg.OnPhase(status(phase, load.Progress{}))
			}
		},
	}
	if cfg.OnSecond != nil {
		gen.OnSecond = func(p load.Progress) { cfg.OnSecond(status(p.Phase, p)) }
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

// trackPhases sets the speed of the slow service when a phase begins. After
// phases is closed, it sends the work of the targets by phase. It runs in a
// goroutine of its own because the generator must not wait for busy targets.
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

// plan returns the load plan, which is the same under every system.
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

// cpuMeter measures the CPU time of this process.
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

// cores returns the mean number of cores used since the start of the meter.
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

// Describe returns one line per deployment on its demand and on how much of its
// busiest service the demand uses, in the calm phase and during the crest.
func Describe(deployments []Deployment, scale float64) []string {
	var lines []string
	for _, d := range deployments {
		calm, err := d.SlotUse(scale, 1)
		if err != nil {
			continue
		}
		crest, err := d.SlotUse(scale*d.Surge, slowFactor)
		if err != nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: calm %.0f calls/s (%s), crest %.0f calls/s with %s %d times slower (%s)",
			d.Name, d.Rate*scale, describeBusiest(calm), d.Rate*d.Surge*scale, d.SlowService, slowFactor, describeBusiest(crest)))
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

// ParseDeployments returns the deployment with the given name, or all for an
// empty name.
func ParseDeployments(name string) ([]Deployment, error) {
	all := []Deployment{Xaalis(), Armor()}
	if name == "" {
		return all, nil
	}
	for _, d := range all {
		if d.Name == name {
			return []Deployment{d}, nil
		}
	}
	return nil, &Error{
		Op:   "parse deployments",
		Kind: Unusable,
		Err:  fmt.Errorf("no deployment %q; there are xaalis and armor", name),
	}
}

// ParseSystems returns the system with the given name, or all for an empty name.
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
