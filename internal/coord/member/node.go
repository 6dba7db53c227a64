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

	// startupGrace is how long after its start a node counts hosts that it has not
	// heard of as up.
	startupGrace = 10 * clock.Second
	// relaysPerCentre is the number of members of a data centre that talk to other
	// regions.
	relaysPerCentre = 3
	// pingRequestFanOut is the number of neighbors asked to ping for a node.
	pingRequestFanOut = 3
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

	updates  updateQueue
	suspects []*host
	pending  []pending
	seq      uint64

	startupEnd  clock.Milli
	startupOver bool
	probeOrder  []*host
	probeIndex  int
	period      uint64
	nextProbe   clock.Milli
	lastSync    clock.Milli
	// contactSends is how often the contacts are yet to be passed on as news.
	contactSends int
	lastHeard    clock.Milli
	lastUpdate   clock.Milli
}

// New returns a node that knows itself and the peers. Its revision starts at
// its incarnation, so that it outranks its predecessor on the same host.
func New(now clock.Milli, cfg Config, peers []Peer) *Node {
	n := &Node{
		cfg:        cfg,
		hosts:      make(map[string]*host),
		nextProbe:  now + clock.Milli(cfg.Rand.Int64N(int64(Period))),
		startupEnd: now + startupGrace,
		lastHeard:  now,
		lastUpdate: now,
	}
	n.self = n.addHost(cfg.Self, true)
	n.SetPeers(now, peers)
	n.setRecord(now, n.self, Record{
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
	n.endStartup(now)
	if now < n.nextProbe {
		return
	}
	n.nextProbe += Period
	if n.nextProbe <= now {
		n.nextProbe = now + Period
	}
	n.probe(now)
}

func (n *Node) endStartup(now clock.Milli) {
	if n.startupOver || now < n.startupEnd {
		return
	}
	n.startupOver = true
	for _, c := range n.centres {
		c.rankingValid = false
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
	n.raiseRevision(now, n.self.rec.Revision)
}

// Receive takes in a part from a process on a host.
func (n *Node) Receive(now clock.Milli, from string, incarnation uint64, p Part) {
	n.lastHeard = now
	sender := n.hosts[from]
	if sender != nil && sender.centre != nil {
		n.recordContact(now, sender.centre, now)
	}
	// Views are compared again where they still differ; passing on what they
	// held would send a whole fleet's records through everyone.
	isUpdate := len(p.Records) <= 2*MaxUpdates && len(p.Pull) == 0
	for _, r := range truncate(p.Records, MaxRecords) {
		n.applyRecord(now, r, isUpdate)
	}
	for _, r := range truncate(p.Contacts, MaxContacts) {
		n.applyContact(now, r)
	}
	if sender != nil {
		sender.otherProcess = sender.rec.Incarnation != incarnation
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
	if h != nil && h.rec.Revision > 0 && (h.otherProcess || h.rec.State >= Suspect) {
		p.Records = append(p.Records, h.rec)
	}
	near := h != nil && h.centre == n.own
	p.Records = n.updates.take(p.Records, near, n.transmitLimit())
	if near {
		p.Contacts = n.contacts(now)
		n.contactSends = max(0, n.contactSends-1)
	}
	return p
}

// HasUpdates reports whether there is something to pass on.
func (n *Node) HasUpdates() bool { return n.updates.count > 0 || n.contactSends > 0 }

func (n *Node) send(now clock.Milli, to string, p Part) { n.cfg.Send(now, to, p) }

func truncate[T any](list []T, limit int) []T {
	if len(list) > limit {
		return list[:limit]
	}
	return list
}
