package member

import (
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// pending is a ping that waits for its answer.
type pending struct {
	seq    uint64
	target *host
	sent   clock.Milli
	// asked says that neighbors were asked to ping too.
	asked bool
	// asker is the host on whose behalf the ping was sent, askSeq its number.
	asker  string
	askSeq uint64
}

const (
	// maxChecks is how often a node pings a suspect itself before it calls it
	// dead, checkInterval the time between.
	maxChecks     = 2
	checkInterval = clock.Second
)

// How often, in periods, a node looks beyond the live members of its own data
// centre.
const (
	// elsewhereEvery is for another data centre of the region.
	elsewhereEvery = 4
	// lostEvery is for a host that is dead or was never heard of.
	lostEvery = 8
)

// probe sends the pings of a period.
func (n *Node) probe(now clock.Milli) {
	n.period++
	if h := n.nextTarget(); h != nil {
		n.ping(now, h, "", 0)
	}
	if !n.IsRelay() {
		return
	}
	c := n.other(false)
	h := n.pickRelay(c)
	if n.period%elsewhereEvery == 0 {
		h = n.pick(c)
	}
	if h != nil {
		n.ping(now, h, "", 0)
	}
}

func (n *Node) nextTarget() *host {
	var h *host
	switch {
	case n.period%lostEvery == 0:
		h = n.choose(n.own, func(h *host) bool { return !h.isUp() })
	case n.period%elsewhereEvery == 1:
		h = n.pick(n.other(true))
	}
	if h == nil {
		h = n.nextNeighbor()
	}
	if h == nil {
		h = n.pick(n.other(true))
	}
	return h
}

// nextNeighbor walks the live members of the own data centre in an order that
// is shuffled anew in each round, which bounds the time until each is pinged.
func (n *Node) nextNeighbor() *host {
	for range 2 {
		for n.turn < len(n.round) {
			h := n.round[n.turn]
			n.turn++
			if h.rec.State != Dead && n.hosts[h.peer.Host] == h {
				return h
			}
		}
		n.round = append(n.round[:0], n.own.hosts...)
		n.round = remove(n.round, n.self)
		n.cfg.Rand.Shuffle(len(n.round), func(i, j int) { n.round[i], n.round[j] = n.round[j], n.round[i] })
		n.turn = 0
	}
	return nil
}

func (n *Node) ping(now clock.Milli, h *host, asker string, askSeq uint64) {
	if len(n.pending) >= maxPending {
		return
	}
	n.seq++
	n.sendPing(now, h, n.seq)
	n.pending = append(n.pending, pending{
		seq:    n.seq,
		target: h,
		sent:   now,
		asker:  asker,
		askSeq: askSeq,
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
	if p.asker == "" {
		return
	}
	n.send(now, p.asker, Part{
		Probe: &Probe{
			Kind: Ack,
			Seq:  p.askSeq,
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
			if p.asker == "" {
				failed = append(failed, p)
			}
			continue
		case now-p.sent >= DirectTimeout && !p.asked && p.asker == "":
			p.asked = true
			late = append(late, p)
		}
		kept = append(kept, p)
	}
	n.pending = kept
	for _, p := range late {
		n.ask(now, p)
	}
	for _, p := range failed {
		n.suspect(now, p)
	}
}

// ask repeats a ping and has neighbors ping too.
func (n *Node) ask(now clock.Milli, p pending) {
	n.sendPing(now, p.target, p.seq)
	if p.target.centre != n.own {
		return
	}
	var asked []*host
	for range askers {
		h := n.choose(n.own, func(h *host) bool {
			return h.isUp() && h != p.target && !slices.Contains(asked, h)
		})
		if h == nil {
			return
		}
		asked = append(asked, h)
		n.send(now, h.peer.Host, Part{
			Probe: &Probe{
				Kind: PingRequest,
				Seq:  p.seq,
				Host: p.target.peer.Host,
			},
		})
	}
}

// suspect acts on a ping that nobody answered. A node that has heard nothing at
// all since blames itself, and hosts elsewhere are judged by their own neighbors.
func (n *Node) suspect(now clock.Milli, p pending) {
	h := p.target
	if h.centre != n.own || h.rec.State != Alive || n.lastHeard <= p.sent {
		return
	}
	r := h.rec
	r.State = Suspect
	n.set(now, h, r)
	n.ping(now, h, "", 0)
}

func (n *Node) trackSuspect(now clock.Milli, h *host, old State) {
	if h.rec.State == Suspect {
		h.deadline = now + SuspicionTimeout
		h.checks = 0
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
			h.checks = 0
		case left <= 0:
			r := h.rec
			r.State = Dead
			n.set(now, h, r)
		case left <= clock.Milli(maxChecks-h.checks)*checkInterval:
			h.checks++
			n.ping(now, h, "", 0)
		}
	}
}
