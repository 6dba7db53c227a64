package member

import (
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// pending is a ping that has not been answered yet.
type pending struct {
	seq  uint64
	host *host
	sent clock.Milli
	// requested reports that neighbors were asked to ping the host too.
	requested bool
	// requester is the host that asked for the ping, requesterSeq the number of
	// its own ping. The requester is empty if the node pings for itself.
	requester    string
	requesterSeq uint64
}

const (
	// maxSuspectPings is how many more times a node pings a suspect before it
	// declares it dead, suspectPingInterval the time between these pings.
	maxSuspectPings     = 2
	suspectPingInterval = clock.Second
)

// Intervals, in periods, of the pings to hosts other than the live members of
// the own data centre.
const (
	// otherCentreEvery is the interval for a host in another data centre of the
	// region and, on a relay, for any host of another region instead of a relay
	// there.
	otherCentreEvery = 4
	// notLiveEvery is the interval for a host of the own data centre that is
	// dead or has no record.
	notLiveEvery = 8
)

// probe sends the pings of one period. A relay also pings a host in another
// region: a relay there or, at times, any host.
func (n *Node) probe(now clock.Milli) {
	n.period++
	if h := n.nextToPing(); h != nil {
		n.ping(now, h, "", 0)
	}
	if !n.IsRelay() {
		return
	}
	c := n.randomCentre(false)
	h := n.randomRelay(c)
	if n.period%otherCentreEvery == 0 {
		h = n.randomHost(c)
	}
	if h != nil {
		n.ping(now, h, "", 0)
	}
}

// nextToPing returns the host to ping in this period: the next neighbor or, at
// the intervals above, another host. It returns nil if none is known.
func (n *Node) nextToPing() *host {
	var h *host
	switch {
	case n.period%notLiveEvery == 0:
		h = n.choose(n.own, func(h *host) bool { return !h.isUp() })
	case n.period%otherCentreEvery == 1:
		h = n.randomHost(n.randomCentre(true))
	}
	if h == nil {
		h = n.nextNeighbor()
	}
	if h == nil {
		h = n.randomHost(n.randomCentre(true))
	}
	return h
}

// nextNeighbor returns the next member of the own data centre that is not
// known to be dead. The order is shuffled anew in each round, which bounds the
// time until each member is pinged.
func (n *Node) nextNeighbor() *host {
	for range 2 {
		for n.probeIndex < len(n.probeOrder) {
			h := n.probeOrder[n.probeIndex]
			n.probeIndex++
			if h.rec.State != Dead && n.hosts[h.peer.Host] == h {
				return h
			}
		}
		n.probeOrder = append(n.probeOrder[:0], n.own.hosts...)
		n.probeOrder = remove(n.probeOrder, n.self)
		n.cfg.Rand.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
		n.probeIndex = 0
	}
	return nil
}

// ping pings a host on behalf of a requester, or for the node itself if the
// requester is empty. It does nothing while too many pings are pending.
func (n *Node) ping(now clock.Milli, h *host, requester string, requesterSeq uint64) {
	if len(n.pending) >= maxPending {
		return
	}
	n.seq++
	n.sendPing(now, h, n.seq)
	n.pending = append(n.pending, pending{
		seq:          n.seq,
		host:         h,
		sent:         now,
		requester:    requester,
		requesterSeq: requesterSeq,
	})
}

func (n *Node) sendPing(now clock.Milli, h *host, seq uint64) {
	n.send(now, h.peer.Host, Part{
		Probe: &Probe{
			Kind: Ping,
			Seq:  seq,
		},
	})
}

func (n *Node) receiveProbe(now clock.Milli, from string, p Part) {
	switch p.Probe.Kind {
	case Ping:
		n.send(now, from, Part{
			Probe: &Probe{
				Kind: Ack,
				Seq:  p.Probe.Seq,
			},
			Digests: n.offerDigests(now, p.Root),
		})
	case Ack:
		n.acknowledge(now, p.Probe.Seq)
	case PingRequest:
		if h := n.hosts[p.Probe.Host]; h != nil && h != n.self {
			n.ping(now, h, from, p.Probe.Seq)
		}
	}
}

// acknowledge ends the pending ping with a number and passes the answer on to the
// host that requested the ping, if any.
func (n *Node) acknowledge(now clock.Milli, seq uint64) {
	i := slices.IndexFunc(n.pending, func(p pending) bool { return p.seq == seq })
	if i < 0 {
		return
	}
	p := n.pending[i]
	n.pending = slices.Delete(n.pending, i, i+1)
	if p.requester == "" {
		return
	}
	n.send(now, p.requester, Part{
		Probe: &Probe{
			Kind: Ack,
			Seq:  p.requesterSeq,
		},
	})
}

// expirePending asks neighbors to repeat a ping of the node's own that is not
// answered within DirectTimeout. It drops pings that are not answered within a
// Period and has the hosts of the node's own ones suspected.
func (n *Node) expirePending(now clock.Milli) {
	kept := n.pending[:0]
	var failed []pending
	var late []pending
	for _, p := range n.pending {
		switch {
		case now-p.sent >= Period:
			if p.requester == "" {
				failed = append(failed, p)
			}
			continue
		case now-p.sent >= DirectTimeout && !p.requested && p.requester == "":
			p.requested = true
			late = append(late, p)
		}
		kept = append(kept, p)
	}
	n.pending = kept
	for _, p := range late {
		n.requestPings(now, p)
	}
	for _, p := range failed {
		n.suspect(now, p)
	}
}

// requestPings repeats a late ping and asks neighbors to ping the host too.
func (n *Node) requestPings(now clock.Milli, p pending) {
	n.sendPing(now, p.host, p.seq)
	if p.host.centre != n.own {
		return
	}
	var asked []*host
	for range pingRequestFanOut {
		h := n.choose(n.own, func(h *host) bool {
			return h.isUp() && h != p.host && !slices.Contains(asked, h)
		})
		if h == nil {
			return
		}
		asked = append(asked, h)
		n.send(now, h.peer.Host, Part{
			Probe: &Probe{
				Kind: PingRequest,
				Seq:  p.seq,
				Host: p.host.peer.Host,
			},
		})
	}
}

// suspect marks the host of an unanswered ping as suspect. It does nothing if
// the node has received no message at all since the ping, as the fault is then
// likely its own, or if the host is in another data centre, whose members
// judge it themselves.
func (n *Node) suspect(now clock.Milli, p pending) {
	h := p.host
	if h.centre != n.own || h.rec.State != Alive || n.lastHeard <= p.sent {
		return
	}
	r := h.rec
	r.State = Suspect
	n.setRecord(now, h, r)
	n.ping(now, h, "", 0)
}

// trackSuspect updates the list of suspects after the state of a host changed from
// old, and restarts the deadline of a suspect.
func (n *Node) trackSuspect(now clock.Milli, h *host, old State) {
	if h.rec.State == Suspect {
		h.deadline = now + SuspicionTimeout
		h.suspectPings = 0
		if old != Suspect {
			n.suspects = append(n.suspects, h)
		}
		return
	}
	if old == Suspect {
		n.suspects = remove(n.suspects, h)
	}
}

// expireSuspects declares suspects of the own data centre dead at their
// deadline. It pings them again before, since the node may have missed the
// refutation, and restarts the deadline if the node has heard nothing for
// longer than SilenceTimeout.
func (n *Node) expireSuspects(now clock.Milli) {
	for _, h := range slices.Clone(n.suspects) {
		if h.centre != n.own {
			continue
		}
		left := h.deadline - now
		switch {
		case left <= 0 && now-n.lastHeard > SilenceTimeout:
			h.deadline = now + SuspicionTimeout
			h.suspectPings = 0
		case left <= 0:
			r := h.rec
			r.State = Dead
			n.setRecord(now, h, r)
		case left <= clock.Milli(maxSuspectPings-h.suspectPings)*suspectPingInterval:
			h.suspectPings++
			n.ping(now, h, "", 0)
		}
	}
}
