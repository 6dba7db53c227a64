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

// clockStart makes incarnations as long as wall clocks make them.
const clockStart = 1_790_000_000_000

// Centre is a data centre of the fleet and the number of its hosts.
type Centre struct {
	Place
	Hosts int
}

// Config describes a fleet.
type Config struct {
	Centres []Centre
	Seed    uint64
	Loss    float64
	// Size is the length of the first value, in bytes.
	Size int
	// OnEvent, if set, is told of each event of each host.
	OnEvent func(host int, e agent.Event)
}

// FiveCentres returns five data centres in two regions that share n hosts.
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

// Host is one host of the fleet with the agent on it.
type Host struct {
	Peer  member.Peer
	Agent *agent.Agent
	// Up says that the process runs, Paused that it stands still meanwhile.
	Up     bool
	Paused bool
	// generation counts the processes that ran here.
	generation int
	deferred   []func()
}

// Fleet is a number of agents on one network.
type Fleet struct {
	Net    *Net
	Source *Source
	Hosts  []*Host

	cfg    Config
	byName map[string]int
	// clockSkew is what the wall clocks of processes yet to start are wrong by.
	clockSkew clock.Milli
	rand      *rand.Rand
}

// New returns a fleet whose first value is published and whose agents have yet
// to start.
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

// Index returns the number of a host.
func (f *Fleet) Index(name string) int { return f.byName[name] }

// Start starts a process on a host that has none, with a new incarnation.
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

// Stop ends the process on a host without warning.
func (f *Fleet) Stop(i int) {
	f.Hosts[i].Up = false
	f.Hosts[i].deferred = nil
}

// Pause makes a process stand still. What is sent to it waits.
func (f *Fleet) Pause(i int) { f.Hosts[i].Paused = true }

// Resume lets a paused process run on. What waited arrives first, as it would
// from the buffers of its sockets.
func (f *Fleet) Resume(i int) {
	h := f.Hosts[i]
	h.Paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// runOn does something on a host, if that process still runs there.
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

// Run lets time pass.
func (f *Fleet) Run(d clock.Milli) {
	for end := f.Net.Now() + d; f.Net.Now() < end; {
		f.Net.Step()
		now := f.Net.Now()
		if now%agent.TickInterval == 0 {
			f.Source.expireWatches()
		}
		// Hosts tick in turn, spread over the step.
		for i := int(now % agent.TickInterval); i < len(f.Hosts); i += int(agent.TickInterval) {
			if h := f.Hosts[i]; h.Up && !h.Paused {
				h.Agent.Tick(now)
			}
		}
	}
}

// RunUntil lets time pass until a condition holds, and returns how long that
// took, or false if it does not hold within the limit.
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

// Count returns how many running hosts meet a condition.
func (f *Fleet) Count(is func(a *agent.Agent) bool) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Up && is(h.Agent) {
			n++
		}
	}
	return n
}
