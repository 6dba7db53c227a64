package fleet

import (
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// clockStart is added to the simulated time to form incarnations, so that they
// have as many digits as those made from a wall clock in milliseconds.
const clockStart = 1_790_000_000_000

// Centre is a data centre of the fleet with its number of hosts.
type Centre struct {
	Place
	Hosts int
}

// Config describes a fleet.
type Config struct {
	Centres []Centre
	Seed    uint64
	// Loss is the share of messages that the network loses, from 0 to 1.
	Loss float64
	// Size is the length in bytes of the first configuration value.
	Size int
	// OnEvent, if set, is called with each event that the agent of a host
	// reports.
	OnEvent func(host int, e agent.Event)
}

// FiveCentres divides n hosts evenly among five data centres in two regions.
func FiveCentres(n int) []Centre {
	places := []Place{
		{
			Region: "dakar",
			Centre: "plateau",
		},
		{
			Region: "dakar",
			Centre: "medina",
		},
		{
			Region: "dakar",
			Centre: "almadies",
		},
		{
			Region: "thies",
			Centre: "nord",
		},
		{
			Region: "thies",
			Centre: "sud",
		},
	}
	list := make([]Centre, len(places))
	for i, p := range places {
		list[i] = Centre{
			Place: p,
			Hosts: n*(i+1)/len(places) - n*i/len(places),
		}
	}
	return list
}

// Host is a host of the fleet and the agent of its latest process.
type Host struct {
	Peer  member.Peer
	Agent *agent.Agent
	// Up reports that the process exists. Paused reports that the process
	// exists but does not execute.
	Up     bool
	Paused bool
	// generation counts the processes started on this host.
	generation int
	// deferred holds the deliveries that wait for a paused process to resume.
	deferred []func()
}

// Fleet is a set of agents on one network. It is not safe for concurrent use.
type Fleet struct {
	Net    *Net
	Source *Source
	Hosts  []*Host

	cfg    Config
	byName map[string]int
	// clockSkew is the error of the wall clock of processes started from now on.
	clockSkew clock.Milli
	rand      *rand.Rand
}

// New returns a fleet whose first configuration value is published. Its agents
// are not started.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:    cfg,
		byName: make(map[string]int),
		rand:   rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	var places []Place
	var peers []member.Peer
	for i, c := range cfg.Centres {
		for j := range c.Hosts {
			p := member.Peer{
				Host:   fmt.Sprintf("10.%d.%d.%d:7004", i, j/250, j%250+1),
				Region: c.Region,
				Centre: c.Centre,
			}
			f.byName[p.Host] = len(f.Hosts)
			f.Hosts = append(f.Hosts, &Host{
				Peer: p,
			})
			places = append(places, c.Place)
			peers = append(peers, p)
		}
	}
	f.Net = NewNet(cfg.Seed, places)
	f.Net.Loss = cfg.Loss
	f.Source = newSource(f.Net, peers)
	f.Source.Publish(cfg.Size)
	return f
}

// Index returns the index in Hosts of the host with the given name, or 0 if
// there is none.
func (f *Fleet) Index(name string) int { return f.byName[name] }

// Start starts a process with a new incarnation on host i and replaces the
// previous process, if there is one.
func (f *Fleet) Start(i int) {
	h := f.Hosts[i]
	h.Up = true
	h.Paused = false
	h.generation++
	generation := h.generation
	h.Agent = agent.New(agent.Config{
		Self:        h.Peer,
		Incarnation: uint64(f.Net.Now() + f.clockSkew + clockStart),
		Peers:       f.Source.peers,
		Seed:        f.rand.Uint64(),
		Send:        func(to string, m agent.Message) { f.send(i, to, m) },
		Report: func(e agent.Event) {
			if f.cfg.OnEvent != nil {
				f.cfg.OnEvent(i, e)
			}
		},
		Check: f.Source.Check,
		Diff:  diff,
		Apply: apply,
		Read: func(kind spread.ReadKind, after uint64) {
			f.Source.read(i, kind, after, func(data []byte, err error) {
				f.runOn(i, generation, func() { h.Agent.ReadDone(f.Net.Now(), kind, data, err) })
			})
		},
	})
}

// StartAll starts a process on every host.
func (f *Fleet) StartAll() {
	for i := range f.Hosts {
		f.Start(i)
	}
}

// Stop ends the process on host i abruptly, as a crash does. Deliveries that
// wait for it are dropped.
func (f *Fleet) Stop(i int) {
	f.Hosts[i].Up = false
	f.Hosts[i].deferred = nil
}

// Pause suspends the process on host i. Messages sent to it wait until
// [Fleet.Resume].
func (f *Fleet) Pause(i int) { f.Hosts[i].Paused = true }

// Resume continues a paused process. Messages that waited are delivered before
// its next tick, as they would be from its socket buffers.
func (f *Fleet) Resume(i int) {
	h := f.Hosts[i]
	h.Paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// runOn calls do for host i, or defers the call while the process is paused. It
// does nothing if the process of that generation no longer exists.
func (f *Fleet) runOn(i, generation int, do func()) {
	h := f.Hosts[i]
	switch {
	case !h.Up || h.generation != generation:
	case h.Paused:
		h.deferred = append(h.deferred, do)
	default:
		do()
	}
}

func (f *Fleet) send(from int, to string, m agent.Message) {
	i, ok := f.byName[to]
	if !ok {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	name := f.Hosts[from].Peer.Host
	f.Net.Send(from, i, len(data), func() {
		h := f.Hosts[i]
		f.runOn(i, h.generation, func() { h.Agent.Receive(f.Net.Now(), name, m) })
	})
}

// Run advances the simulation by d.
func (f *Fleet) Run(d clock.Milli) {
	for end := f.Net.Now() + d; f.Net.Now() < end; {
		f.Net.Step()
		now := f.Net.Now()
		if now%agent.TickInterval == 0 {
			f.Source.expireWatches()
		}
		// Ticks are staggered over the interval, so that hosts do not tick all
		// at once.
		for i := int(now % agent.TickInterval); i < len(f.Hosts); i += int(agent.TickInterval) {
			if h := f.Hosts[i]; h.Up && !h.Paused {
				h.Agent.Tick(now)
			}
		}
	}
}

// RunUntil advances the simulation until done returns true. It returns the
// simulated time that this took, or limit and false if done was still false
// then.
func (f *Fleet) RunUntil(limit clock.Milli, done func() bool) (clock.Milli, bool) {
	start := f.Net.Now()
	for f.Net.Now()-start < limit {
		if done() {
			return f.Net.Now() - start, true
		}
		f.Run(agent.TickInterval / 5)
	}
	return limit, done()
}

// Count returns the number of running hosts, paused ones included, for which is
// returns true.
func (f *Fleet) Count(is func(a *agent.Agent) bool) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Up && is(h.Agent) {
			n++
		}
	}
	return n
}
