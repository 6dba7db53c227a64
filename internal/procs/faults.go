package procs

import (
	"slices"
	"syscall"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Durations of faults, and bounds of what follows them.
const (
	// downTime is the time from the end of a daemon to its restart, and frozenTime
	// the duration of a freeze, which is longer than peers wait before they declare
	// a daemon dead.
	downTime   = clock.Second
	frozenTime = 4 * clock.Second
	// faultTime is the duration of other faults.
	faultTime = 2 * clock.Second
	// stopWait bounds a planned stop, including its grace period.
	stopWait = 20 * clock.Second
	// leaveGrace is the time after which a leaving target must not get new requests,
	// and leaveMargin a tolerance for a busy machine.
	leaveGrace  = 2 * clock.Second
	leaveMargin = clock.Second
	// ConfigWait bounds the time until a configuration is in force at all daemons:
	// three times the required 5 s.
	ConfigWait = 15 * clock.Second
	// HealthyWait bounds the time until the fleet is healthy again.
	HealthyWait = 30 * clock.Second
	// requestLeadTime is the time before a planned stop in which requests start, so
	// that some are in flight when it begins.
	requestLeadTime = 100 * clock.Millisecond
)

// Faults returns all faults by name. Each injects a fault, ends it and returns.
// Call [World.AwaitHealthy] before the next one.
func Faults() map[string]func(w *World) error {
	return map[string]func(w *World) error{
		"two daemons are killed":                    killTwo,
		"a daemon freezes and wakes late":           freezeOne,
		"a frozen daemon misses a change":           freezeOverChange,
		"a daemon freezes while another is killed":  freezeAndKill,
		"a daemon stops as planned":                 stopAsPlanned,
		"connections go silent":                     blackholeConnections,
		"a target cuts its answers":                 interruptAnswers,
		"the configuration changes":                 changeConfig,
		"a target leaves by rule":                   leaveByRule,
		"the configuration service is down":         serviceDown,
		"the configuration service is stale":        serviceStale,
		"the configuration service replays a value": serviceReplays,
	}
}

// sleep waits for d while the callers continue.
func (w *World) sleep(d clock.Milli) { <-w.clock.After(d) }

// randomInstances returns the names of n distinct instances, chosen at random.
func (w *World) randomInstances(n int) []string {
	names := w.Fleet.Names()
	w.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:n]
}

func killTwo(w *World) error {
	names := w.randomInstances(2)
	for _, name := range names {
		w.Fleet.Kill(name)
	}
	w.sleep(downTime)
	return w.restart(names)
}

func (w *World) restart(names []string) error {
	for _, name := range names {
		if err := w.Fleet.Start(name); err != nil {
			return err
		}
	}
	return nil
}

func freezeOne(w *World) error {
	return w.freeze(w.randomInstances(1)[0], func() error { return nil })
}

func freezeOverChange(w *World) error {
	return w.freeze(w.randomInstances(1)[0], func() error { return changeConfig(w) })
}

func freezeAndKill(w *World) error {
	names := w.randomInstances(2)
	return w.freeze(names[0], func() error {
		w.Fleet.Kill(names[1])
		w.sleep(downTime)
		return w.restart(names[1:])
	})
}

// freeze stops a daemon with SIGSTOP, calls meanwhile, and continues the daemon
// with SIGCONT after frozenTime. If meanwhile fails, the daemon stays frozen.
func (w *World) freeze(name string, meanwhile func() error) error {
	if err := w.Fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	err := meanwhile()
	w.sleep(frozenTime)
	if err != nil {
		return err
	}
	return w.Fleet.Signal(name, syscall.SIGCONT)
}

// stopAsPlanned stops a daemon with SIGTERM and starts it again. It leaves out
// daemons behind a relay, because the relay accepts connections that the stopped
// daemon would refuse.
func stopAsPlanned(w *World) error {
	names := slices.DeleteFunc(w.randomInstances(len(w.targets)), func(name string) bool {
		return w.relays[name] != nil
	})
	name := names[0]
	healthySince := w.clock.Now()
	// Let some requests be in flight when the stop begins.
	w.sleep(requestLeadTime)
	start := w.clock.Now()
	if err := w.Fleet.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	w.sleep(leaveGrace + leaveMargin)
	before := w.targets[name].Counts().Arrivals
	code, err := w.Fleet.Process(name).Await(stopWait)
	if err != nil {
		return err
	}
	if code != 0 {
		return fail("stop "+name, Start, errExitCode)
	}
	w.sleep(downTime)
	w.leavingChecks = append(w.leavingChecks, LeavingCheck{
		Target:      name,
		NewRequests: w.targets[name].Counts().Arrivals - before,
	})
	if err := w.Fleet.Start(name); err != nil {
		return err
	}
	err = w.AwaitHealthy(HealthyWait)
	w.stops = append(w.stops, Stop{
		Name:         name,
		HealthySince: healthySince,
		Interval: Interval{
			Start: start,
			End:   w.clock.Now(),
		},
	})
	// Let requests that overlap with the stop end before the next fault can harm
	// them.
	w.sleep(clock.Second)
	return err
}

func blackholeConnections(w *World) error {
	for range 2 {
		for _, r := range w.relays {
			r.BlackholeOpen()
		}
		w.sleep(faultTime)
	}
	return nil
}

func interruptAnswers(w *World) error {
	target := w.targets[w.randomInstances(1)[0]]
	target.SetFaults(fakes.Faults{
		Fault: fakes.Interrupted,
		Share: 0.5,
	})
	w.sleep(faultTime)
	target.SetFaults(fakes.Faults{})
	return nil
}

func changeConfig(w *World) error {
	w.Publish(func(doc *rules.Document) { doc.RetryBudget = 3 + int(doc.Version%3) })
	return nil
}

// leaveByRule publishes a document that marks a target as leaving, and then one
// that does not.
func leaveByRule(w *World) error {
	name := w.randomInstances(1)[0]
	w.Publish(func(doc *rules.Document) { doc.Leaving = []string{name} })
	if err := w.AwaitConfig(ConfigWait); err != nil {
		return err
	}
	w.sleep(leaveGrace + leaveMargin)
	before := w.targets[name].Counts().Arrivals
	w.sleep(leaveGrace)
	w.leavingChecks = append(w.leavingChecks, LeavingCheck{
		Target:      name,
		NewRequests: w.targets[name].Counts().Arrivals - before,
	})
	w.Publish(func(doc *rules.Document) { doc.Leaving = nil })
	return nil
}

// serviceDown restarts a daemon while the configuration service is down, so that
// the daemon can learn the configuration from its peers only.
func serviceDown(w *World) error { return w.restartInMode(fakes.Down) }

// serviceStale publishes a change while readers of the configuration service
// still get the old value.
func serviceStale(w *World) error {
	w.Store.SetMode(fakes.Stale)
	defer w.Store.SetMode(fakes.Up)
	if err := changeConfig(w); err != nil {
		return err
	}
	w.sleep(faultTime)
	return nil
}

// serviceReplays restarts a daemon while the configuration service returns the
// previous value as the newest.
func serviceReplays(w *World) error {
	if err := changeConfig(w); err != nil {
		return err
	}
	if err := w.AwaitConfig(ConfigWait); err != nil {
		return err
	}
	return w.restartInMode(fakes.Replay)
}

// restartInMode kills a daemon, starts it again while the configuration service is
// in a mode, and waits until the daemon is ready with the newest configuration.
func (w *World) restartInMode(mode fakes.Mode) error {
	w.Store.SetMode(mode)
	defer w.Store.SetMode(fakes.Up)
	names := w.randomInstances(1)
	w.Fleet.Kill(names[0])
	w.sleep(downTime)
	if err := w.restart(names); err != nil {
		return err
	}
	return w.Fleet.AwaitStatus(names, HealthyWait, func(s admin.Status) bool {
		return s.Ready && s.ActiveConfig.Version == w.doc.Version
	})
}
