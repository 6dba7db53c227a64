package fleet

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// Sizes of the messages of a [Topology] in bytes, without the [Overhead].
const (
	// heartbeatSize covers host, incarnation, version and digest.
	heartbeatSize = 110
	// entrySize is the entry of one host in a gossiped table: host number,
	// heartbeat counter and state.
	entrySize = 8
	// requestSize is a request for a value; deltaSize is the answer, a delta.
	requestSize = 80
	deltaSize   = 400
)

const (
	// pushFanout is the number of random hosts to which a host pushes a new
	// value in [Gossip].
	pushFanout = 3
	// parentsPerCentre is the number of parents in each data centre of a
	// [Tree].
	parentsPerCentre = 2
	// TopologyReaders is the number of hosts in each data centre that read a
	// new value directly from the configuration service.
	TopologyReaders = 2
)

// Topology defines which hosts exchange heartbeats and values. It models only
// the traffic, as a baseline to compare the agents with.
type Topology struct {
	// Partners returns the hosts to which a host sends a heartbeat each second.
	Partners func(host int) []int
	// Size is the size of a heartbeat in bytes, without the [Overhead].
	Size int
	// Push returns the hosts to which a host sends a value as soon as it
	// receives it. fromService reports whether the value came directly from the
	// configuration service instead of from another host.
	Push func(host int, fromService bool) []int
}

// Mesh returns a full mesh: every host sends heartbeats to every other host.
// Only hosts that read a value from the service push it.
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

// Gossip returns a topology in which each host sends the table of all heartbeat
// counters to one random host each second. The choice ignores regions and data
// centres.
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

// Tree returns a hierarchy of two levels. Each data centre has two parents. A
// child exchanges heartbeats with one parent of its data centre, a parent with
// its children and all other parents.
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

// TopologyRun simulates a [Topology] on a network.
type TopologyRun struct {
	Net *Net
	// AdoptionTimes holds the time from [TopologyRun.Publish] until a host
	// received the value, in ascending order, for each host that received it.
	AdoptionTimes []clock.Milli

	topology Topology
	hasValue []bool
	start    clock.Milli
}

// NewTopologyRun returns a run with one host for each place of the network.
func NewTopologyRun(n *Net, topology Topology) *TopologyRun {
	return &TopologyRun{
		Net:      n,
		topology: topology,
		hasValue: make([]bool, len(n.places)),
	}
}

// Run advances the simulation by d. Each host sends its heartbeats once a
// second, at its own phase of the second.
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

// Publish delivers the value to the first [TopologyReaders] hosts of each data
// centre.
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
