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
	// serviceTime is the service time of each operation, in milliseconds.
	serviceTime = 4
	// statusInterval is the time between two reads of a daemon's status.
	statusInterval = 150 * clock.Millisecond
)

// WorldConfig configures a [World].
type WorldConfig struct {
	// Program is the path of siskind.
	Program string
	// Dir is the directory for settings and logs. It must exist.
	Dir  string
	Size Size
	// Relayed lists instances whose inbound connections pass through a
	// [relay.Relay].
	Relayed []string
	// Callers is the number of callers, which may be 0.
	Callers int
	Seed    uint64
}

// World is a fleet with fakes of its surroundings, callers and a watcher. Its
// exported methods must be called from one goroutine.
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
	// pooledHTTP keeps connections open. freshHTTP serves callers that close each
	// one.
	pooledHTTP *client.HTTP
	freshHTTP  *client.HTTP
	callers    *callers
	watcher    watcher

	stops         []Stop
	leavingChecks []LeavingCheck
}

// NewWorld starts the fakes and all daemons, but no callers. After an error
// nothing is left running.
func NewWorld(cfg WorldConfig) (*World, error) {
	w := &World{
		cfg:        cfg,
		clock:      clock.System(),
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0)),
		doc:        Document(cfg.Size),
		targets:    make(map[string]*fakes.Target),
		relays:     make(map[string]*relay.Relay),
		pooledHTTP: client.NewHTTP(client.HTTPConfig{}),
		freshHTTP:  client.NewHTTP(client.HTTPConfig{}),
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
		EditSettings: w.moveBehindRelay,
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

// moveBehindRelay makes the daemon of a relayed instance listen on relayedPort.
func (w *World) moveBehindRelay(settings *daemon.Settings) {
	if slices.Contains(w.cfg.Relayed, settings.Name) {
		settings.Inbound = relayedPort
	}
}

// addInstance starts the target of an instance and, if it is relayed, its relay.
func (w *World) addInstance(s rules.Service, i rules.Instance) error {
	operations := make(map[string]fakes.Operation)
	for _, op := range s.Operations {
		operations[s.Name+"/"+op.Name] = fakes.Operation{
			ServiceTime: serviceTime,
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
	w.relays[i.Name], err = relay.New(addr(i.Host, inboundPort), addr(i.Host, relayedPort))
	return err
}

// Run starts the callers and the watcher in the background.
func (w *World) Run() {
	w.watcher.start(w)
	w.callers.start(w.cfg.Callers, w.cfg.Seed+1)
}

// Finish stops the callers and the watcher and returns all that they recorded.
func (w *World) Finish() Evidence {
	w.callers.finish(w.rng)
	// Targets may still run requests whose callers have stopped waiting. Let them
	// end before the runs are counted.
	<-w.clock.After(clock.Second)
	w.watcher.finish()
	e := Evidence{
		Results:       w.callers.results,
		Runs:          make(map[string]fakes.Run),
		Samples:       w.watcher.samples,
		Stops:         w.stops,
		LeavingChecks: w.leavingChecks,
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

// Close stops everything that the world started.
func (w *World) Close() {
	if w.callers.stop != nil {
		w.callers.stop()
	}
	w.watcher.finish()
	if w.Fleet != nil {
		w.Fleet.Close()
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, t := range w.targets {
		_ = t.Close() // Requests that still wait are cancelled.
	}
	if w.Roster != nil {
		_ = w.Roster.Close()
	}
	if w.Store != nil {
		_ = w.Store.Close()
	}
}

// randomPath returns "service/operation" of a random operation.
func (w *World) randomPath(rng *rand.Rand) string { return w.paths[rng.IntN(len(w.paths))] }

// entryAddrs returns the outbound "ip:port" of n distinct daemons, chosen at
// random.
func (w *World) entryAddrs(rng *rand.Rand, n int) []string {
	names := w.Fleet.Names()
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	list := make([]string, 0, n)
	for _, name := range names[:n] {
		list = append(list, w.Fleet.Outbound(name))
	}
	return list
}

// Publish publishes the document with a change, as its next version.
func (w *World) Publish(change func(doc *rules.Document)) {
	doc := w.doc.WithVersion(w.doc.Version+1, config.Digest(config.Encode(w.doc)), "procs", "change")
	change(&doc)
	w.doc = doc
	w.Store.Publish(config.Encode(doc))
}

// AwaitHealthy waits until every daemon is ready with the newest configuration and
// sees all others as alive.
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

// watcher records which configuration each daemon has in force.
type watcher struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	samples []StatusSample
}

func (w *watcher) start(world *World) {
	stop := make(chan struct{})
	w.stop = stop
	for _, name := range world.Fleet.Names() {
		w.wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-world.clock.After(statusInterval):
				}
				// A daemon that is down or frozen does not answer.
				if s, err := world.Fleet.Status(name); err == nil {
					w.record(s)
				}
			}
		})
	}
}

func (w *watcher) record(s admin.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = append(w.samples, StatusSample{
		Name:        s.Name,
		Incarnation: s.Incarnation,
		Ready:       s.Ready,
		Version:     s.ActiveConfig.Version,
	})
}

// finish stops the watcher. It may be called again.
func (w *watcher) finish() {
	if w.stop == nil {
		return
	}
	close(w.stop)
	w.stop = nil
	w.wg.Wait()
}
