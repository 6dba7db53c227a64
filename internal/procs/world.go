package procs

import (
	"math/rand/v2"
	"slices"
	"sync"

	"siskinswitch.example/siskin/internal/daemon"
	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/relay"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/client"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// workTime is the service time of each operation.
	workTime = 4
	// watchInterval is the time between two looks at a daemon.
	watchInterval = 150 * clock.Millisecond
)

// WorldConfig is what a [World] is made from.
type WorldConfig struct {
	// Program is the path of siskind.
	Program string
	// Dir holds settings and logs.
	Dir  string
	Size Size
	// Relayed names instances whose inbound connections pass a [relay.Relay].
	Relayed []string
	// Callers is the number of callers; with 0 nothing is called.
	Callers int
	Seed    uint64
}

// World is a fleet with its surroundings. Its exported methods are for one
// goroutine.
type World struct {
	Fleet  *Fleet
	Store  *fakes.Store
	Roster *fakes.Roster

	cfg     WorldConfig
	clock   clock.Clock
	rng     *rand.Rand
	doc     rules.Document
	paths   []string
	targets map[string]*fakes.Target
	relays  map[string]*relay.Relay
	// http keeps connections; bare belongs to callers that close each one.
	http    *client.HTTP
	bare    *client.HTTP
	callers *callers
	watch   watch

	stops []Stop
	marks []LeavingCheck
}

// NewWorld starts the surroundings and all daemons. After an error nothing is
// left running.
func NewWorld(cfg WorldConfig) (*World, error) {
	w := &World{
		cfg:     cfg,
		clock:   clock.System(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		doc:     Document(cfg.Size),
		targets: make(map[string]*fakes.Target),
		relays:  make(map[string]*relay.Relay),
		http:    client.NewHTTP(client.HTTPConfig{}),
		bare:    client.NewHTTP(client.HTTPConfig{}),
	}
	w.callers = &callers{
		clock: w.clock,
		world: w,
	}
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start() error {
	var err error
	if w.Store, err = fakes.NewStore(fakes.StoreConfig{}); err != nil {
		return err
	}
	if w.Roster, err = fakes.NewRoster(fakes.RosterConfig{}); err != nil {
		return err
	}
	w.Store.Publish(config.Encode(w.doc))
	w.Fleet, err = NewFleet(FleetConfig{
		Program:      w.cfg.Program,
		Dir:          w.cfg.Dir,
		Document:     w.doc,
		Store:        w.Store.Addr(),
		Roster:       w.Roster.Addr(),
		EditSettings: w.change,
	})
	if err != nil {
		return err
	}
	var hosts []fakes.Host
	for _, s := range w.doc.Services {
		for _, op := range s.Operations {
			w.paths = append(w.paths, s.Name+"/"+op.Name)
		}
		for _, i := range s.Instances {
			hosts = append(hosts, fakes.Host{
				Name: i.Name,
				Addr: i.Host,
			})
			if err := w.addInstance(s, i); err != nil {
				return err
			}
		}
	}
	w.Roster.Set(hosts)
	return w.Fleet.StartAll()
}

func (w *World) change(set *daemon.Settings) {
	if slices.Contains(w.cfg.Relayed, set.Name) {
		set.Inbound = innerPort
	}
}

func (w *World) addInstance(s rules.Service, i rules.Instance) error {
	operations := make(map[string]fakes.Operation)
	for _, op := range s.Operations {
		operations[s.Name+"/"+op.Name] = fakes.Operation{
			ServiceTime: workTime,
			Jitter:      0.5,
			Calls:       op.Calls,
			AtMostOnce:  op.AtMostOnce,
		}
	}
	target, err := fakes.NewTarget(fakes.TargetConfig{
		Addr:       addr(i.Host, targetPort),
		Name:       i.Name,
		Slots:      i.Slots,
		Conns:      i.Conns,
		Operations: operations,
		Outbound:   addr(i.Host, outboundPort),
		Seed:       w.cfg.Seed,
	})
	if err != nil {
		return err
	}
	w.targets[i.Name] = target
	if !slices.Contains(w.cfg.Relayed, i.Name) {
		return nil
	}
	w.relays[i.Name], err = relay.New(addr(i.Host, inboundPort), addr(i.Host, innerPort))
	return err
}

// Run starts the callers and the watcher.
func (w *World) Run() {
	w.watch.start(w)
	w.callers.start(w.cfg.Callers, w.cfg.Seed+1)
}

// Finish ends the calls and returns all that was seen.
func (w *World) Finish() Evidence {
	w.callers.finish(w.rng)
	// Work that callers gave up may still run: let it end before it is counted.
	<-w.clock.After(clock.Second)
	w.watch.finish()
	e := Evidence{
		Results:       w.callers.words,
		Runs:          make(map[string]fakes.Run),
		Samples:       w.watch.sights,
		Stops:         w.stops,
		LeavingChecks: w.marks,
	}
	for _, target := range w.targets {
		e.Crossed += target.Counts().Crossed
		for _, path := range w.paths {
			for key, run := range target.Runs(path) {
				sum := e.Runs[key]
				sum.Started += run.Started
				sum.Completed += run.Completed
				e.Runs[key] = sum
			}
		}
	}
	return e
}

// Close ends all that the world started.
func (w *World) Close() {
	if w.callers.stop != nil {
		w.callers.stop()
	}
	w.watch.finish()
	if w.Fleet != nil {
		w.Fleet.Close()
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, t := range w.targets {
		_ = t.Close() // What still waits there is given up.
	}
	if w.Roster != nil {
		_ = w.Roster.Close()
	}
	if w.Store != nil {
		_ = w.Store.Close()
	}
}

// path draws an operation.
func (w *World) path(rng *rand.Rand) string { return w.paths[rng.IntN(len(w.paths))] }

// entries draws n daemons that callers enter at.
func (w *World) entries(rng *rand.Rand, n int) []string {
	names := w.Fleet.Names()
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	list := make([]string, 0, n)
	for _, name := range names[:n] {
		list = append(list, w.Fleet.Outbound(name))
	}
	return list
}

// Publish publishes the document with a change.
func (w *World) Publish(change func(doc *rules.Document)) {
	doc := w.doc.WithVersion(w.doc.Version+1, config.Digest(config.Encode(w.doc)), "procs", "change")
	change(&doc)
	w.doc = doc
	w.Store.Publish(config.Encode(doc))
}

// AwaitHealthy waits until every daemon serves with the newest configuration and
// believes all others to be alive.
func (w *World) AwaitHealthy(wait clock.Milli) error {
	names := w.Fleet.Names()
	return w.Fleet.AwaitStatus(names, wait, func(s admin.Status) bool {
		return s.Ready && !s.Stale && s.ActiveConfig.Version == w.doc.Version && s.MemberCounts.Alive == len(names)-1
	})
}

// AwaitConfig waits until the newest document is in force at every daemon.
func (w *World) AwaitConfig(wait clock.Milli) error {
	return w.Fleet.AwaitStatus(w.Fleet.Names(), wait, func(s admin.Status) bool {
		return s.ActiveConfig.Version == w.doc.Version
	})
}

// watch looks at what each daemon has in force.
type watch struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu     sync.Mutex
	sights []StatusSample
}

func (x *watch) start(w *World) {
	stop := make(chan struct{})
	x.stop = stop
	for _, name := range w.Fleet.Names() {
		x.wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-w.clock.After(watchInterval):
				}
				// A daemon that is down or frozen has nothing to say.
				if s, err := w.Fleet.Status(name); err == nil {
					x.note(s)
				}
			}
		})
	}
}

func (x *watch) note(s admin.Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sights = append(x.sights, StatusSample{
		Name:        s.Name,
		Incarnation: s.Incarnation,
		Ready:       s.Ready,
		Version:     s.ActiveConfig.Version,
	})
}

// finish ends the looks. It may be called again.
func (x *watch) finish() {
	if x.stop == nil {
		return
	}
	close(x.stop)
	x.stop = nil
	x.wg.Wait()
}
