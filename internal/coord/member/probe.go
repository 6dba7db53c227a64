package member

import (
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// pending is a ping that waits for its answer.
type pending struct {
	seq  uint64
	host *host
	sent clock.Milli
	// requested says that neighbors were requested to ping too.
	requested bool
	// requester is the host on whose behalf the ping was sent, askSeq its number.
	requester    string
	requesterSeq uint64
}

const (
	// maxSuspectPings is how often a node pings a suspect itself before it calls it
	// dead, checkInterval the time between.
	maxSuspectPings     = 2
	suspectPingInterval = clock.Second
)

// How often, in periods, a node looks beyond the live members of its own data
// centre.
const (
	// otherCentreEvery is for another data centre of the region.
	otherCentreEvery = 4
	// notLiveEvery is for a host that is dead or was never heard of.
	notLiveEvery = 8
)

// probe sends the pings of a period.
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

// nextNeighbor walks the live members of the own data centre in an order that
// is shuffled anew in each round, which bounds the time until each is pinged.
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

// expirePending asks neighbors about pings that are late and gives up those
// that are very late.
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

// requestPings repeats a ping and has neighbors ping too.
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

// suspect acts on a ping that nobody answered. A node that has heard nothing at
// all since blames itself, and hosts elsewhere are judged by their own neighbors.
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

// expireSuspects pings suspects of the own data centre once more, for the node
// may have missed the refutation, and declares them dead at the deadline.
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
