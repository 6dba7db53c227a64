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
	// perPair is the number of daemons for each pair of services.
	perPair = 78
	centres = 5
	day     = 24 * clock.Hour
	// startWait bounds the start of a fleet, and settling is how long it runs
	// before it is measured.
	startWait = 2 * clock.Minute
	settling  = 5 * clock.Second
	// forceWait bounds the time until a change is in force everywhere.
	forceWait = 20 * clock.Second
)

var errMemory = errors.New("the daemons take more memory than allowed")

// cost is what one daemon costs on average over a window.
type cost struct {
	// cpu is the share of a core.
	cpu float64
	// in and out are bytes a second, and messages the messages a second.
	in       float64
	out      float64
	messages float64
	// reads are the reads a second at the configuration service by all.
	reads float64
}

// row is what was measured at one size.
type row struct {
	n       int
	calm    cost
	changes cost
	// memory is the resident memory of a daemon in bytes: mean and largest.
	memory    float64
	maxMemory float64
	// force is the time from a publication until a change is in force at half,
	// 99 and all of 100 daemons.
	force [3]clock.Milli
	// ready is the time from the restart of all until all serve, and peak the
	// most reads in one second meanwhile.
	ready clock.Milli
	peak  int64
}

// measure starts n daemons, measures them and ends them.
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
			Pairs:     1 + (n-1)/perPair,
			Instances: n,
			Centres:   centres,
		},
	})
	if err != nil {
		return r, err
	}
	defer w.Close()
	for _, step := range []func(context.Context, options, *procs.World, *row) error{
		measureCalm, measureChanges, measureRestart,
	} {
		if err := step(ctx, o, w, &r); err != nil {
			return r, fmt.Errorf("%d daemons: %w", n, err)
		}
	}
	return r, nil
}

func measureCalm(ctx context.Context, o options, w *procs.World, r *row) error {
	if err := w.AwaitHealthy(startWait); err != nil {
		return err
	}
	if err := sleep(ctx, settling); err != nil {
		return err
	}
	var err error
	r.calm, err = over(w, func() error { return sleep(ctx, o.window) })
	return err
}

// measureChanges publishes at the given distance for one window, at least once.
func measureChanges(ctx context.Context, o options, w *procs.World, r *row) error {
	distance := day / clock.Milli(o.perDay)
	var times []clock.Milli
	var err error
	r.changes, err = over(w, func() error {
		for left := o.window; left > 0; left -= distance {
			at := clock.System().Wall()
			w.Publish(func(doc *rules.Document) { doc.RetryBudget = 3 + int(doc.Version%3) })
			if err := sleep(ctx, max(min(distance, left), settling)); err != nil {
				return err
			}
			taken, err := forceTimes(w, at)
			if err != nil {
				return err
			}
			times = append(times, taken...)
		}
		return nil
	})
	if err != nil {
		return err
	}
	slices.Sort(times)
	last := len(times) - 1
	r.force = [3]clock.Milli{times[last/2], times[(last*99+99)/100], times[last]}
	return r.weigh(w)
}

// forceTimes returns how long after its publication the newest configuration
// came into force at each daemon.
func forceTimes(w *procs.World, at clock.Milli) ([]clock.Milli, error) {
	if err := w.AwaitConfig(forceWait); err != nil {
		return nil, err
	}
	times := make([]clock.Milli, 0)
	for _, name := range w.Fleet.Names() {
		record, err := w.Fleet.ConfigHistory(name)
		if err != nil {
			return nil, err
		}
		times = append(times, record.Periods[len(record.Periods)-1].Start-at)
	}
	return times, nil
}

// weigh reads the memory of the daemons.
func (r *row) weigh(w *procs.World) error {
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

// measureRestart kills all daemons, starts them again and waits until all
// serve.
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
	r.ready = clock.FromDuration(time.Since(start))
	r.peak = w.Store.Reads().Peak
	return err
}

// sample is the sum of what all daemons have counted so far.
type sample struct {
	at       time.Time
	in, out  int64
	messages uint64
	reads    int64
}

func count(w *procs.World) (sample, error) {
	s := sample{
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

// cpuOf returns the processor time that all daemons have used so far.
func cpuOf(w *procs.World) (clock.Milli, error) {
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

// over measures the mean cost of a daemon while something happens. Counting
// asks the daemons, which the processor time leaves out.
func over(w *procs.World, happens func() error) (cost, error) {
	before, err := count(w)
	if err != nil {
		return cost{}, err
	}
	begin := time.Now()
	cpuBefore, err := cpuOf(w)
	if err != nil {
		return cost{}, err
	}
	if err := happens(); err != nil {
		return cost{}, err
	}
	cpuAfter, err := cpuOf(w)
	if err != nil {
		return cost{}, err
	}
	busy := time.Since(begin).Seconds() * float64(len(w.Fleet.Names()))
	after, err := count(w)
	if err != nil {
		return cost{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	each := seconds * float64(len(w.Fleet.Names()))
	return cost{
		cpu:      float64(cpuAfter-cpuBefore) / float64(clock.Second) / busy,
		in:       float64(after.in-before.in) / each,
		out:      float64(after.out-before.out) / each,
		messages: float64(after.messages-before.messages) / each,
		reads:    float64(after.reads-before.reads) / seconds,
	}, nil
}

func sleep(ctx context.Context, d clock.Milli) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d.Duration()):
		return nil
	}
}
