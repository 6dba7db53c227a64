package faults

import (
	"math/rand/v2"
	"strconv"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of a schedule. Faults end at quietAt, callers give up at giveUpAt,
// and messages that were delayed for long still arrive after that.
const (
	window   = 40 * clock.Second
	startBy  = 45 * clock.Second
	quietAt  = 60 * clock.Second
	giveUpAt = 4 * clock.Minute
)

// Sizes of the models.
const (
	hostCount   = 4
	callerCount = 12
	outCount    = 2
)

// conditions are the faults of one schedule. Chances are in percent.
type conditions struct {
	loss      int
	double    int
	slow      int
	late      int
	cut       int
	shed      int
	refuse    int
	nap       int
	bothSides int
	pauses    int
	crashes   int
	zombies   int
	stops     int
	splits    int
	changes   int
	// careless says that callers send tickets that they have left lying.
	careless bool
	table    guard.Config
}

// pick returns one of the choices.
func pick(rng *rand.Rand, choices ...int) int { return choices[rng.IntN(len(choices))] }

func drawConditions(rng *rand.Rand) conditions {
	return conditions{
		loss:      pick(rng, 0, 2, 10, 30),
		double:    pick(rng, 0, 5, 25),
		slow:      pick(rng, 0, 5, 25),
		late:      pick(rng, 0, 0, 1, 4),
		cut:       pick(rng, 0, 0, 5, 20),
		shed:      pick(rng, 0, 10),
		refuse:    pick(rng, 0, 5, 30),
		nap:       pick(rng, 0, 0, 20),
		bothSides: pick(rng, 0, 30),
		pauses:    pick(rng, 0, 0, 2, 4),
		crashes:   pick(rng, 0, 0, 1, 3),
		zombies:   pick(rng, 0, 0, 1),
		stops:     pick(rng, 0, 0, 1, 3),
		splits:    pick(rng, 0, 0, 1, 2),
		changes:   pick(rng, 0, 2),
		careless:  pick(rng, 0, 1) == 1,
		table: guard.Config{
			Entries:        pick(rng, 2, 8, 64),
			Bytes:          pick(rng, 1<<10, 1<<16),
			MaxAnswerBytes: pick(rng, 400, 1000),
		},
	}
}

// newWorld builds the schedule of a seed.
func newWorld(seed uint64, opts Options) *world {
	rng := rand.New(rand.NewPCG(seed, 0))
	w := &world{
		rng:   rng,
		cfg:   drawConditions(rng),
		plant: opts.Defect,
		check: newChecker(),
	}
	if opts.Calm {
		w.cfg = conditions{}
	}
	for i := range outCount {
		w.outs = append(w.outs, &outbound{
			w:         w,
			side:      i % 2,
			proc:      &proc{},
			book:      ticket.NewStampCache(ticket.StampCacheConfig{}),
			withdrawn: make(map[*host]bool),
		})
	}
	for i := range hostCount {
		h := &host{
			name: "target-" + strconv.Itoa(i),
			side: i % 2,
		}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	for i := range callerCount {
		c := &caller{
			w:      w,
			number: i,
			side:   i % 2,
		}
		w.callers = append(w.callers, c)
		w.after(w.between(usual, startBy), nil, c.attempt)
	}
	w.schedule()
	return w
}

// schedule places the faults that happen to processes, the network and the
// configuration.
func (w *world) schedule() {
	w.repeat(w.cfg.pauses, w.pause)
	w.repeat(w.cfg.crashes, w.crash)
	w.repeat(w.cfg.zombies, w.zombie)
	w.repeat(w.cfg.stops, func() { w.anyHost().daemon.stop() })
	w.repeat(w.cfg.splits, w.part)
	w.repeat(w.cfg.changes, w.change)
}

func (w *world) repeat(n int, fault func()) {
	for range n {
		w.after(w.between(clock.Second, quietAt), nil, fault)
	}
}

func (w *world) anyHost() *host { return w.hosts[w.rng.IntN(len(w.hosts))] }

func (w *world) host(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// pause stops a guarding or an outbound daemon for a while.
func (w *world) pause() {
	p := w.anyHost().daemon.proc
	if w.chance(30) {
		p = w.outs[w.rng.IntN(len(w.outs))].proc
	}
	w.report.Faults.Pauses++
	p.resume = w.now + w.between(clock.Second, 20*clock.Second)
}

// crash ends a guarding daemon without notice; a new one takes its place.
func (w *world) crash() {
	d := w.anyHost().daemon
	if d.proc.dead {
		return
	}
	w.report.Faults.Crashes++
	d.exit()
}

// zombie pauses a guarding daemon and replaces it while it still lives. It
// wakes up later and goes on with what it held.
func (w *world) zombie() {
	h := w.anyHost()
	if h.daemon.proc.dead {
		return
	}
	w.report.Faults.Zombies++
	h.daemon.proc.resume = w.now + w.between(clock.Second, 20*clock.Second)
	w.boot(h)
}

// part splits the sides, in one direction or in both.
func (w *world) part() {
	w.report.Faults.Splits++
	until := w.now + w.between(clock.Second, 30*clock.Second)
	if w.chance(70) {
		w.split = [2]clock.Milli{until, until}
		return
	}
	w.split[w.rng.IntN(2)] = until
}

// change withdraws a target from the inventory of one outbound daemon, or
// brings it back, and toggles whether the rules mark the operation.
func (w *world) change() {
	w.report.Faults.Changes++
	o, h := w.outs[w.rng.IntN(len(w.outs))], w.anyHost()
	o.withdrawn[h] = !o.withdrawn[h]
	w.unmarked = !w.unmarked
}

// isMarked reports whether the rules now mark the operation as one that may
// not be repeated. A request on a ticket is guarded whatever they say.
func (w *world) isMarked() bool { return !w.unmarked }
