package fleet

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// Sizes of the messages of a [Topology], in bytes, before the [Overhead].
const (
	// heartbeatSize is a heartbeat: host, incarnation, version and digest.
	heartbeatSize = 110
	// entrySize is a host's entry in a table: number, counter and state.
	entrySize = 8
	// requestSize is a request for a value, deltaSize its answer.
	requestSize = 80
	deltaSize   = 400
)

const (
	// pushFanout is the number of random hosts that gossip pushes to.
	pushFanout = 3
	// parentsPerCentre is the number of parentsPerCentre of a data centre.
	parentsPerCentre = 2
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
	Push func(host int, fromService bool) []int
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
		Size:     heartbeatSize,
		Push: func(host int, fromService bool) []int {
			if !fromService {
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
		Size:     heartbeatSize + hosts*entrySize,
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
	var allParents []int
	start := 0
	for _, c := range centres {
		for i := range c.Hosts {
			parent := start + i%parentsPerCentre
			if i < parentsPerCentre {
				allParents = append(allParents, start+i)
				continue
			}
			partners[start+i] = []int{parent}
			partners[parent] = append(partners[parent], start+i)
		}
		start += c.Hosts
	}
	for _, p := range allParents {
		for _, q := range allParents {
			if p != q {
				partners[p] = append(partners[p], q)
			}
		}
	}
	return Topology{
		Partners: func(host int) []int { return partners[host] },
		Size:     heartbeatSize,
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

	topology Topology
	hasValue []bool
	start    clock.Milli
}

// NewTopologyRun returns a run of a form on the network of a fleet's places.
func NewTopologyRun(n *Net, topology Topology) *TopologyRun {
	return &TopologyRun{
		Net:      n,
		topology: topology,
		hasValue: make([]bool, len(n.places)),
	}
}

// Run lets time pass.
func (t *TopologyRun) Run(d clock.Milli) {
	for end := t.Net.Now() + d; t.Net.Now() < end; {
		t.Net.Step()
		phase := int(t.Net.Now() % clock.Second)
		for i := range t.hasValue {
			if i*797%int(clock.Second) == phase {
				t.sendHeartbeats(i)
			}
		}
	}
}

// Publish gives the value to the first hosts of each data centre.
func (t *TopologyRun) Publish(centres []Centre) {
	t.start = t.Net.Now()
	firstHost := 0
	for _, c := range centres {
		for i := range min(TopologyReaders, c.Hosts) {
			t.receiveValue(firstHost+i, true)
		}
		firstHost += c.Hosts
	}
}

func (t *TopologyRun) sendHeartbeats(from int) {
	for _, to := range t.topology.Partners(from) {
		senderHad := t.hasValue[from]
		t.Net.Send(from, to, t.topology.Size, func() {
			switch {
			case senderHad && !t.hasValue[to]:
				t.Net.Send(to, from, requestSize, func() { t.sendValue(from, to) })
			case !senderHad && t.hasValue[to]:
				t.sendValue(to, from)
			}
		})
	}
}

func (t *TopologyRun) sendValue(from, to int) {
	t.Net.Send(from, to, deltaSize, func() { t.receiveValue(to, false) })
}

func (t *TopologyRun) receiveValue(host int, fromService bool) {
	if t.hasValue[host] {
		return
	}
	t.hasValue[host] = true
	t.AdoptionTimes = append(t.AdoptionTimes, t.Net.Now()-t.start)
	for _, to := range t.topology.Push(host, fromService) {
		t.sendValue(host, to)
	}
}
