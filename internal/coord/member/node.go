package member

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// Timing and fan-out of the protocol.
const (
	// Period is the interval between two pings of a node.
	Period = clock.Second
	// DirectTimeout is how long a ping may take before others are asked.
	DirectTimeout = 300 * clock.Millisecond
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout = 4 * clock.Second
	// ContactTimeout is the age of contact beyond which a data centre counts as
	// unreachable.
	ContactTimeout = 12 * clock.Second
	// SilenceTimeout is how long a node may hear nothing at all and still declare a
	// suspect dead.
	SilenceTimeout = 2 * clock.Second
	// SyncInterval is the least time between two offers of digests, and
	// BusyInterval the one while news is on its way that may settle it.
	SyncInterval     = 2 * clock.Second
	BusySyncInterval = 10 * clock.Second

	// settleTime is how long after its start a node counts hosts that it has not
	// heard of as up.
	settleTime = 10 * clock.Second
	// relays is the number of members of a data centre that talk to other
	// regions.
	relays = 3
	// askers is the number of neighbors asked to ping for a node.
	askers = 3
	// maxPending bounds the pings that wait for an answer.
	maxPending = 128
	// maxUnlisted bounds the hosts known by their records only.
	maxUnlisted = 256
	// maxRevision bounds what a node believes of a revision, so that a damaged
	// one can't exhaust the numbers.
	maxRevision = 1 << 62
)

// Config is what a [Node] needs.
type Config struct {
	Self        Peer
	Incarnation uint64
	Rand        *rand.Rand
	// Send passes a part to a host, together with whatever else is due there.
	Send func(now clock.Milli, to string, p Part)
	// Changed is told of each host whose state or process changed.
	Changed func(now clock.Milli, m Member)
	// Refuted is told that the node answered news of its own end.
	Refuted func(now clock.Milli, r Record)
}

// Node is one member's share of the protocol. It is not safe for concurrent
// use.
type Node struct {
	cfg   Config
	self  *host
	hosts map[string]*host
	// unlisted counts the hosts that are in no inventory.
	unlisted int
	listed   int
	// centres is sorted by name; own is the node's.
	centres []*centre
	own     *centre

	root    uint64
	digests [Buckets]uint32

	hot      news
	suspects []*host
	pending  []pending
	seq      uint64

	settleAt  clock.Milli
	settled   bool
	round     []*host
	turn      int
	period    uint64
	nextProbe clock.Milli
	lastSync  clock.Milli
	// reachLeft is how often the contacts are yet to be passed on as news.
	reachLeft int
	lastHeard clock.Milli
	lastNews  clock.Milli
}

// New returns a node that knows itself and the peers. Its revision starts at
// its incarnation, so that it outranks its predecessor on the same host.
func New(now clock.Milli, cfg Config, peers []Peer) *Node {
	n := &Node{
		cfg:       cfg,
		hosts:     make(map[string]*host),
		nextProbe: now + clock.Milli(cfg.Rand.Int64N(int64(Period))),
		settleAt:  now + settleTime,
		lastHeard: now,
		lastNews:  now,
	}
	n.self = n.add(cfg.Self, true)
	n.SetPeers(now, peers)
	n.set(now, n.self, Record{
		Host:        cfg.Self.Host,
		Incarnation: cfg.Incarnation,
		Revision:    min(max(cfg.Incarnation, 1), maxRevision),
		State:       Alive,
	})
	return n
}

// Self returns the node's own record.
func (n *Node) Self() Record { return n.self.rec }

// Root returns the digest of the view.
func (n *Node) Root() uint64 { return n.root }

// Tick does what is due: suspicions that ran out, pings without an answer, and
// the ping of this period.
func (n *Node) Tick(now clock.Milli) {
	n.expireSuspects(now)
	n.expirePending(now)
	n.settle(now)
	if now < n.nextProbe {
		return
	}
	n.nextProbe += Period
	if n.nextProbe <= now {
		n.nextProbe = now + Period
	}
	n.probe(now)
}

func (n *Node) settle(now clock.Milli) {
	if n.settled || now < n.settleAt {
		return
	}
	n.settled = true
	for _, c := range n.centres {
		c.ranked = false
	}
}

// Resume tells the node that it stood still for a while. Nothing that ran out
// meanwhile counts, and the node claims a new revision before it hears that it
// is dead.
func (n *Node) Resume(now clock.Milli) {
	n.pending = n.pending[:0]
	for _, h := range n.suspects {
		h.deadline = now + SuspicionTimeout
	}
	n.lastHeard = now
	n.raise(now, n.self.rec.Revision)
}

// Receive takes in a part from a process on a host.
func (n *Node) Receive(now clock.Milli, from string, incarnation uint64, p Part) {
	n.lastHeard = now
	sender := n.hosts[from]
	if sender != nil && sender.centre != nil {
		n.touch(now, sender.centre, now)
	}
	// Views are compared again where they still differ; passing on what they
	// held would send a whole fleet's records through everyone.
	isNews := len(p.Records) <= 2*MaxUpdates && len(p.Pull) == 0
	for _, r := range clip(p.Records, MaxRecords) {
		n.apply(now, r, isNews)
	}
	for _, r := range clip(p.Contacts, MaxContacts) {
		n.applyReach(now, r)
	}
	if sender != nil {
		sender.other = sender.rec.Incarnation != incarnation
	}
	if p.Probe != nil {
		n.receiveProbe(now, from, p)
	}
	n.receiveSync(now, from, p)
}

// Piggyback fills in what rides on every message to a host: the own record where
// it helps, news, contacts and, if the receiver should refute or outrank it,
// its record.
func (n *Node) Piggyback(now clock.Milli, to string, p Part) Part {
	h := n.hosts[to]
	if p.Probe != nil {
		p.Records = append(p.Records, n.self.rec)
		if p.Probe.Kind == Ping {
			p.Root = n.root
		}
	}
	if h != nil && h.rec.Revision > 0 && (h.other || h.rec.State >= Suspect) {
		p.Records = append(p.Records, h.rec)
	}
	near := h != nil && h.centre == n.own
	p.Records = n.hot.take(p.Records, near, n.repeats())
	if near {
		p.Contacts = n.reach(now)
		n.reachLeft = max(0, n.reachLeft-1)
	}
	return p
}

// HasUpdates reports whether there is something to pass on.
func (n *Node) HasUpdates() bool { return n.hot.count > 0 || n.reachLeft > 0 }

func (n *Node) send(now clock.Milli, to string, p Part) { n.cfg.Send(now, to, p) }

func clip[T any](list []T, limit int) []T {
	if len(list) > limit {
		return list[:limit]
	}
	return list
}
