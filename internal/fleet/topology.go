package fleet

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// Sizes of the messages of a [Topology], in bytes, before the [Overhead].
const (
	// beatSize is a heartbeat: host, incarnation, version and digest.
	beatSize = 110
	// entrySize is a host's entry in a table: number, counter and state.
	entrySize = 8
	// wantSize is a request for a value, deltaSize its answer.
	wantSize  = 80
	deltaSize = 400
)

const (
	// pushFanout is the number of random hosts that gossip pushes to.
	pushFanout = 3
	// parents is the number of parents of a data centre.
	parents = 2
	// TopologyReaders is the number of hosts of a data centre that get a value
	// from the service by themselves.
	TopologyReaders = 2
)

// Topology is a way to arrange who talks to whom, reduced to its traffic. It is
// for comparison with the agents.
type Topology struct {
	// Partners returns whom a host sends a heartbeat each second.
	Partners func(host int) []int
	// Size returns the size of that heartbeat.
	Size int
	// Push returns whom a host sends a value as soon as it has it; first says
	// that it came from the service.
	Push func(host int, first bool) []int
}

// Mesh has everyone send a heartbeat to everyone.
func Mesh(hosts int) Topology {
	others := func(host int) []int {
		list := make([]int, 0, hosts)
		for i := range hosts {
			if i != host {
				list = append(list, i)
			}
		}
		return list
	}
	return Topology{
		Partners: others,
		Size:     beatSize,
		Push: func(host int, first bool) []int {
			if !first {
				return nil
			}
			return others(host)
		},
	}
}

// Gossip has everyone send a table of all heartbeat counters to one random
// host, whatever its place.
func Gossip(hosts int, r *rand.Rand) Topology {
	return Topology{
		Partners: func(int) []int { return []int{r.IntN(hosts)} },
		Size:     beatSize + hosts*entrySize,
		Push: func(int, bool) []int {
			list := make([]int, pushFanout)
			for i := range list {
				list[i] = r.IntN(hosts)
			}
			return list
		},
	}
}

// Tree has two levels: the children of a data centre talk to one of its
// parents each, parents to their children and to all other parents.
func Tree(centres []Centre) Topology {
	partners := make(map[int][]int)
	var top []int
	start := 0
	for _, c := range centres {
		for i := range c.Hosts {
			parent := start + i%parents
			if i < parents {
				top = append(top, start+i)
				continue
			}
			partners[start+i] = []int{parent}
			partners[parent] = append(partners[parent], start+i)
		}
		start += c.Hosts
	}
	for _, p := range top {
		for _, q := range top {
			if p != q {
				partners[p] = append(partners[p], q)
			}
		}
	}
	return Topology{
		Partners: func(host int) []int { return partners[host] },
		Size:     beatSize,
		Push: func(host int, _ bool) []int {
			if len(partners[host]) == 1 {
				return nil
			}
			return partners[host]
		},
	}
}

// TopologyRun is a run of a [Topology].
type TopologyRun struct {
	Net *Net
	// AdoptionTimes holds when each host got the value, in order.
	AdoptionTimes []clock.Milli

	form  Topology
	has   []bool
	start clock.Milli
}

// NewTopologyRun returns a run of a form on the network of a fleet's places.
func NewTopologyRun(n *Net, f Topology) *TopologyRun {
	return &TopologyRun{
		Net:  n,
		form: f,
		has:  make([]bool, len(n.places)),
	}
}

// Run lets time pass.
func (t *TopologyRun) Run(d clock.Milli) {
	for end := t.Net.Now() + d; t.Net.Now() < end; {
		t.Net.Step()
		phase := int(t.Net.Now() % clock.Second)
		for i := range t.has {
			if i*797%int(clock.Second) == phase {
				t.beat(i)
			}
		}
	}
}

// Publish gives the value to the first hosts of each data centre.
func (t *TopologyRun) Publish(centres []Centre) {
	t.start = t.Net.Now()
	host := 0
	for _, c := range centres {
		for i := range min(TopologyReaders, c.Hosts) {
			t.learn(host+i, true)
		}
		host += c.Hosts
	}
}

func (t *TopologyRun) beat(from int) {
	for _, to := range t.form.Partners(from) {
		had := t.has[from]
		t.Net.Send(from, to, t.form.Size, func() {
			switch {
			case had && !t.has[to]:
				t.Net.Send(to, from, wantSize, func() { t.give(from, to) })
			case !had && t.has[to]:
				t.give(to, from)
			}
		})
	}
}

func (t *TopologyRun) give(from, to int) {
	t.Net.Send(from, to, deltaSize, func() { t.learn(to, false) })
}

func (t *TopologyRun) learn(host int, first bool) {
	if t.has[host] {
		return
	}
	t.has[host] = true
	t.AdoptionTimes = append(t.AdoptionTimes, t.Net.Now()-t.start)
	for _, to := range t.form.Push(host, first) {
		t.give(host, to)
	}
}
