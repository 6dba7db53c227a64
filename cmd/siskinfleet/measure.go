package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"siskinswitch.example/siskin/internal/procs"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// daemonsPerPair is the maximum number of daemons for each pair of services.
	daemonsPerPair = 78
	centres        = 5
	day            = 24 * clock.Hour
	// startWait bounds the start of a fleet, and settleTime is how long it runs
	// before it is measured.
	startWait  = 2 * clock.Minute
	settleTime = 5 * clock.Second
	// configWait bounds the time until a change is in force at all daemons.
	configWait = 20 * clock.Second
)

var errMemory = errors.New("the daemons use more memory than the limit")

// cost is the mean cost of a daemon during a measurement.
type cost struct {
	// cpu is the fraction of a core.
	cpu float64
	// bytesIn and bytesOut are bytes of control traffic a second, and messages the
	// control messages sent a second.
	bytesIn  float64
	bytesOut float64
	messages float64
	// reads is the rate at the configuration service, in reads a second by all
	// daemons together.
	reads float64
}

// row holds the results for one fleet size.
type row struct {
	n int
	// idle is the cost while nothing happens, which the tables call calm, and
	// changes the cost while the configuration changes.
	idle    cost
	changes cost
	// memory and maxMemory are the mean and the maximum of the resident memory of
	// a daemon, in bytes.
	memory    float64
	maxMemory float64
	// configDelays are the 50th, 99th and 100th percentile of the times from the
	// publication of a change until it is in force at a daemon.
	configDelays [3]clock.Milli
	// restartTime is the time from the restart of all daemons until all are ready,
	// and peakReads the highest number of reads in one second during it.
	restartTime clock.Milli
	peakReads   int64
}

// measure starts n daemons, measures them and kills them.
func measure(ctx context.Context, o options, program, dir string, n int) (row, error) {
	r := row{
		n: n,
	}
	dir = filepath.Join(dir, strconv.Itoa(n))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return r, err
	}
	w, err := procs.NewWorld(procs.WorldConfig{
		Program: program,
		Dir:     dir,
		Size: procs.Size{
			Pairs:     1 + (n-1)/daemonsPerPair,
			Instances: n,
			Centres:   centres,
		},
	})
	if err != nil {
		return r, err
	}
	defer w.Close()
	for _, step := range []func(context.Context, options, *procs.World, *row) error{
		measureIdle, measureChanges, measureRestart,
	} {
		if err := step(ctx, o, w, &r); err != nil {
			return r, fmt.Errorf("%d daemons: %w", n, err)
		}
	}
	return r, nil
}

// measureIdle measures a fleet in which nothing happens.
func measureIdle(ctx context.Context, o options, w *procs.World, r *row) error {
	if err := w.AwaitHealthy(startWait); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	var err error
	r.idle, err = costDuring(w, func() error { return sleep(ctx, o.measureTime) })
	return err
}

// measureChanges publishes changes, at least one, at the rate in o for the
// measuring time, and also measures memory.
func measureChanges(ctx context.Context, o options, w *procs.World, r *row) error {
	interval := day / clock.Milli(o.changesPerDay)
	var allDelays []clock.Milli
	var err error
	r.changes, err = costDuring(w, func() error {
		for remaining := o.measureTime; remaining > 0; remaining -= interval {
			publishedAt := clock.System().Wall()
			w.Publish(func(doc *rules.Document) { doc.RetryBudget = 3 + int(doc.Version%3) })
			if err := sleep(ctx, max(min(interval, remaining), settleTime)); err != nil {
				return err
			}
			delays, err := configDelays(w, publishedAt)
			if err != nil {
				return err
			}
			allDelays = append(allDelays, delays...)
		}
		return nil
	})
	if err != nil {
		return err
	}
	slices.Sort(allDelays)
	last := len(allDelays) - 1
	r.configDelays = [3]clock.Milli{allDelays[last/2], allDelays[(last*99+99)/100], allDelays[last]}
	return r.measureMemory(w)
}

// configDelays returns, for each daemon, the time from the publication of the
// newest configuration until it came into force there.
func configDelays(w *procs.World, publishedAt clock.Milli) ([]clock.Milli, error) {
	if err := w.AwaitConfig(configWait); err != nil {
		return nil, err
	}
	delays := make([]clock.Milli, 0)
	for _, name := range w.Fleet.Names() {
		history, err := w.Fleet.ConfigHistory(name)
		if err != nil {
			return nil, err
		}
		delays = append(delays, history.Periods[len(history.Periods)-1].Start-publishedAt)
	}
	return delays, nil
}

// measureMemory reads the memory of the daemons, and returns errMemory if they
// use more than maxMemory.
func (r *row) measureMemory(w *procs.World) error {
	for _, name := range w.Fleet.Names() {
		u, err := w.Fleet.Process(name).Usage()
		if err != nil {
			return err
		}
		r.memory += float64(u.Memory) / float64(r.n)
		r.maxMemory = max(r.maxMemory, float64(u.Memory))
	}
	if r.memory*float64(r.n) > maxMemory {
		return errMemory
	}
	return nil
}

// measureRestart kills all daemons, starts them again and waits until all are
// ready.
func measureRestart(_ context.Context, o options, w *procs.World, r *row) error {
	if !o.restart {
		return nil
	}
	names := w.Fleet.Names()
	for _, name := range names {
		w.Fleet.Kill(name)
	}
	w.Store.ResetPeak()
	start := time.Now()
	if err := w.Fleet.StartAll(); err != nil {
		return err
	}
	err := w.Fleet.AwaitStatus(names, startWait, func(s admin.Status) bool { return s.Ready })
	r.restartTime = clock.FromDuration(time.Since(start))
	r.peakReads = w.Store.Reads().Peak
	return err
}

// counters holds the sums of the counters of all daemons.
type counters struct {
	at       time.Time
	in, out  int64
	messages uint64
	reads    int64
}

func readCounters(w *procs.World) (counters, error) {
	s := counters{
		at:    time.Now(),
		reads: w.Store.Reads().Total,
	}
	for _, name := range w.Fleet.Names() {
		status, err := w.Fleet.Status(name)
		if err != nil {
			return s, err
		}
		s.in += status.Control.In
		s.out += status.Control.Out
		s.messages += status.Control.Sent
	}
	return s, nil
}

// totalCPU returns the processor time that all daemons together have used.
func totalCPU(w *procs.World) (clock.Milli, error) {
	sum := clock.Milli(0)
	for _, name := range w.Fleet.Names() {
		u, err := w.Fleet.Process(name).Usage()
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// costDuring returns the mean cost of a daemon during activity. The processor
// time excludes the reading of the counters, which costs the daemons some.
func costDuring(w *procs.World, activity func() error) (cost, error) {
	before, err := readCounters(w)
	if err != nil {
		return cost{}, err
	}
	begin := time.Now()
	cpuBefore, err := totalCPU(w)
	if err != nil {
		return cost{}, err
	}
	if err := activity(); err != nil {
		return cost{}, err
	}
	cpuAfter, err := totalCPU(w)
	if err != nil {
		return cost{}, err
	}
	cpuDaemonSeconds := time.Since(begin).Seconds() * float64(len(w.Fleet.Names()))
	after, err := readCounters(w)
	if err != nil {
		return cost{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	daemonSeconds := seconds * float64(len(w.Fleet.Names()))
	return cost{
		cpu:      float64(cpuAfter-cpuBefore) / float64(clock.Second) / cpuDaemonSeconds,
		bytesIn:  float64(after.in-before.in) / daemonSeconds,
		bytesOut: float64(after.out-before.out) / daemonSeconds,
		messages: float64(after.messages-before.messages) / daemonSeconds,
		reads:    float64(after.reads-before.reads) / seconds,
	}, nil
}

// sleep waits for d, or returns the error of ctx when that is cancelled.
func sleep(ctx context.Context, d clock.Milli) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d.Duration()):
		return nil
	}
}
