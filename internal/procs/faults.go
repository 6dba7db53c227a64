package procs

import (
	"slices"
	"syscall"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of faults.
const (
	// downTime is how long a killed daemon stays away, and frozenTime how long a
	// stopped one sleeps: longer than its peers wait before they call it dead.
	downTime   = clock.Second
	frozenTime = 4 * clock.Second
	// brokenTime is how long other faults last.
	brokenTime = 2 * clock.Second
	// stopWait bounds a planned stop, its grace included.
	stopWait = 20 * clock.Second
	// leaveTime is the time in which a leaving target may get new work, and
	// leaveMargin what a busy machine adds to it.
	leaveTime   = 2 * clock.Second
	leaveMargin = clock.Second
	// ConfigWait bounds the time until a configuration is in force everywhere:
	// three times the 5 s of the target.
	ConfigWait = 15 * clock.Second
	// HealthyWait bounds the time until the fleet is whole again.
	HealthyWait = 30 * clock.Second
	// requestsBegin is the time in which requests begin that are under way at a
	// stop.
	requestsBegin = 100 * clock.Millisecond
)

// Faults returns all faults by name. Each breaks something, mends it and
// returns; the caller waits for calm before the next one.
func Faults() map[string]func(w *World) error {
	return map[string]func(w *World) error{
		"two daemons are killed":                    killed,
		"a daemon freezes and wakes late":           frozen,
		"a frozen daemon misses a change":           frozenOverChange,
		"a daemon freezes while another is killed":  frozenAndKilled,
		"a daemon stops as planned":                 stopped,
		"connections go silent":                     silenced,
		"a target cuts its answers":                 cutAnswers,
		"the configuration changes":                 changed,
		"a target leaves by rule":                   left,
		"the configuration service is down":         serviceDown,
		"the configuration service is stale":        serviceStale,
		"the configuration service replays a value": serviceReplays,
	}
}

// sleep lets a time pass while the callers go on.
func (w *World) sleep(d clock.Milli) { <-w.clock.After(d) }

// victims draws n instances.
func (w *World) victims(n int) []string {
	names := w.Fleet.Names()
	w.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:n]
}

func killed(w *World) error {
	names := w.victims(2)
	for _, name := range names {
		w.Fleet.Kill(name)
	}
	w.sleep(downTime)
	return w.startAgain(names)
}

func (w *World) startAgain(names []string) error {
	for _, name := range names {
		if err := w.Fleet.Start(name); err != nil {
			return err
		}
	}
	return nil
}

func frozen(w *World) error {
	return w.freeze(w.victims(1)[0], func() error { return nil })
}

func frozenOverChange(w *World) error {
	return w.freeze(w.victims(1)[0], func() error { return changed(w) })
}

func frozenAndKilled(w *World) error {
	names := w.victims(2)
	return w.freeze(names[0], func() error {
		w.Fleet.Kill(names[1])
		w.sleep(downTime)
		return w.startAgain(names[1:])
	})
}

// freeze stops a daemon with SIGSTOP, does something meanwhile and lets it go
// on.
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

// stopped stops a daemon as planned and starts it again. Relayed ones are spared: a relay accepts
// connections that its daemon would have refused.
func stopped(w *World) error {
	names := slices.DeleteFunc(w.victims(len(w.targets)), func(name string) bool {
		return w.relays[name] != nil
	})
	name := names[0]
	calm := w.clock.Now()
	// Some requests are under way when the stop begins.
	w.sleep(requestsBegin)
	start := w.clock.Now()
	if err := w.Fleet.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	w.sleep(leaveTime + leaveMargin)
	before := w.targets[name].Counts().Arrivals
	code, err := w.Fleet.Process(name).Await(stopWait)
	if err != nil {
		return err
	}
	if code != 0 {
		return fail("stop "+name, Start, errExitCode)
	}
	w.sleep(downTime)
	w.marks = append(w.marks, LeavingCheck{
		Target:      name,
		NewRequests: w.targets[name].Counts().Arrivals - before,
	})
	if err := w.Fleet.Start(name); err != nil {
		return err
	}
	err = w.AwaitHealthy(HealthyWait)
	w.stops = append(w.stops, Stop{
		Name:         name,
		HealthySince: calm,
		Interval: Interval{
			Start: start,
			End:   w.clock.Now(),
		},
	})
	// Let requests end that met the stop, before the next fault harms them.
	w.sleep(clock.Second)
	return err
}

func silenced(w *World) error {
	for range 2 {
		for _, r := range w.relays {
			r.BlackholeOpen()
		}
		w.sleep(brokenTime)
	}
	return nil
}

func cutAnswers(w *World) error {
	target := w.targets[w.victims(1)[0]]
	target.SetFaults(fakes.Faults{
		Fault: fakes.Interrupted,
		Share: 0.5,
	})
	w.sleep(brokenTime)
	target.SetFaults(fakes.Faults{})
	return nil
}

func changed(w *World) error {
	w.Publish(func(doc *rules.Document) { doc.RetryBudget = 3 + int(doc.Version%3) })
	return nil
}

// left withdraws a target by a rule, and brings it back.
func left(w *World) error {
	name := w.victims(1)[0]
	w.Publish(func(doc *rules.Document) { doc.Leaving = []string{name} })
	if err := w.AwaitConfig(ConfigWait); err != nil {
		return err
	}
	w.sleep(leaveTime + leaveMargin)
	before := w.targets[name].Counts().Arrivals
	w.sleep(leaveTime)
	w.marks = append(w.marks, LeavingCheck{
		Target:      name,
		NewRequests: w.targets[name].Counts().Arrivals - before,
	})
	w.Publish(func(doc *rules.Document) { doc.Leaving = nil })
	return nil
}

// serviceDown restarts a daemon while only its peers can tell it what is in
// force.
func serviceDown(w *World) error { return w.restartIn(fakes.Down) }

// serviceStale publishes a change that the service does not show for a while.
func serviceStale(w *World) error {
	w.Store.SetMode(fakes.Stale)
	defer w.Store.SetMode(fakes.Up)
	if err := changed(w); err != nil {
		return err
	}
	w.sleep(brokenTime)
	return nil
}

// serviceReplays restarts a daemon while the service shows the value before
// the newest.
func serviceReplays(w *World) error {
	if err := changed(w); err != nil {
		return err
	}
	if err := w.AwaitConfig(ConfigWait); err != nil {
		return err
	}
	return w.restartIn(fakes.Replay)
}

// restartIn kills a daemon and starts it again in a mode of the service, and
// waits until it serves with what is in force.
func (w *World) restartIn(mode fakes.Mode) error {
	w.Store.SetMode(mode)
	defer w.Store.SetMode(fakes.Up)
	names := w.victims(1)
	w.Fleet.Kill(names[0])
	w.sleep(downTime)
	if err := w.startAgain(names); err != nil {
		return err
	}
	return w.Fleet.AwaitStatus(names, HealthyWait, func(s admin.Status) bool {
		return s.Ready && s.ActiveConfig.Version == w.doc.Version
	})
}
