package faults

import (
	"math/rand/v2"
	"strconv"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Times of a schedule. Callers begin before lastStartAt, faults end at
// faultsEndAt, and callers give up at giveUpAt. Messages that were delayed for
// long may arrive even later. The window is that of tickets and guard tables.
const (
	window      = 40 * clock.Second
	lastStartAt = 45 * clock.Second
	faultsEndAt = 60 * clock.Second
	giveUpAt    = 4 * clock.Minute
)

// Numbers of simulated processes.
const (
	hostCount     = 4
	callerCount   = 12
	outboundCount = 2
)

// conditions are the parameters of one schedule. The fields up to bothSides are
// probabilities in percent, those from pauses to changes are numbers of faults.
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
	// careless makes callers send tickets that were idle for long, instead of
	// dropping them.
	careless bool
	table    guard.Config
}

// pick returns one of the choices at random. Repeating a choice raises its
// probability.
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

// newWorld builds the simulation of a seed.
func newWorld(seed uint64, opts Options) *world {
	rng := rand.New(rand.NewPCG(seed, 0))
	w := &world{
		rng:     rng,
		cfg:     drawConditions(rng),
		defect:  opts.Defect,
		checker: newChecker(),
	}
	if opts.Calm {
		w.cfg = conditions{}
	}
	for i := range outboundCount {
		w.outbounds = append(w.outbounds, &outbound{
			w:         w,
			side:      i % 2,
			proc:      &proc{},
			stamps:    ticket.NewStampCache(ticket.StampCacheConfig{}),
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
		w.after(w.between(usualDelay, lastStartAt), nil, c.attempt)
	}
	w.scheduleFaults()
	return w
}

// scheduleFaults queues the faults of processes, of the network and of the
// configuration at random times.
func (w *world) scheduleFaults() {
	w.repeat(w.cfg.pauses, w.pause)
	w.repeat(w.cfg.crashes, w.crash)
	w.repeat(w.cfg.zombies, w.zombie)
	w.repeat(w.cfg.stops, func() { w.anyHost().daemon.stop() })
	w.repeat(w.cfg.splits, w.partition)
	w.repeat(w.cfg.changes, w.changeConfig)
}

func (w *world) repeat(n int, fault func()) {
	for range n {
		w.after(w.between(clock.Second, faultsEndAt), nil, fault)
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

// pause suspends the process of a guarding or an outbound daemon for a while.
func (w *world) pause() {
	p := w.anyHost().daemon.proc
	if w.chance(30) {
		p = w.outbounds[w.rng.IntN(len(w.outbounds))].proc
	}
	w.report.Faults.Pauses++
	p.resume = w.now + w.between(clock.Second, 20*clock.Second)
}

// crash ends a guarding daemon without a handover. A new process replaces it.
func (w *world) crash() {
	d := w.anyHost().daemon
	if d.proc.dead {
		return
	}
	w.report.Faults.Crashes++
	d.exit()
}

// zombie pauses a guarding daemon and replaces it while it is still alive. The
// old process resumes later and continues with the requests that it held.
func (w *world) zombie() {
	h := w.anyHost()
	if h.daemon.proc.dead {
		return
	}
	w.report.Faults.Zombies++
	h.daemon.proc.resume = w.now + w.between(clock.Second, 20*clock.Second)
	w.boot(h)
}

// partition blocks messages between the two sides of the network for a while, in
// one direction or in both.
func (w *world) partition() {
	w.report.Faults.Splits++
	until := w.now + w.between(clock.Second, 30*clock.Second)
	if w.chance(70) {
		w.partitionedUntil = [2]clock.Milli{until, until}
		return
	}
	w.partitionedUntil[w.rng.IntN(2)] = until
}

// changeConfig removes a target from the inventory of one outbound daemon, or
// adds it again, and toggles whether the rules mark the operation as
// non-idempotent.
func (w *world) changeConfig() {
	w.report.Faults.Changes++
	o, h := w.outbounds[w.rng.IntN(len(w.outbounds))], w.anyHost()
	o.withdrawn[h] = !o.withdrawn[h]
	w.unmarked = !w.unmarked
}

// isMarked reports whether the rules mark the operation as non-idempotent at
// present. A request with a ticket must be guarded in either case.
func (w *world) isMarked() bool { return !w.unmarked }
