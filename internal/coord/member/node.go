package member

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// Timing of the protocol, and limits.
const (
	// Period is the interval between two pings of a node.
	Period = clock.Second
	// DirectTimeout is how long a node waits for the answer to a ping before it
	// asks neighbors to ping too.
	DirectTimeout = 300 * clock.Millisecond
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout = 4 * clock.Second
	// ContactTimeout is the age of the latest contact beyond which a data centre
	// counts as unreachable.
	ContactTimeout = 12 * clock.Second
	// SilenceTimeout is the longest time without any message in which a node
	// may still declare a suspect dead. After a longer silence the node itself
	// may be cut off.
	SilenceTimeout = 2 * clock.Second
	// SyncInterval is the minimum time between two messages with digests.
	// BusySyncInterval applies while updates are arriving, since these may
	// already remove the difference.
	SyncInterval     = 2 * clock.Second
	BusySyncInterval = 10 * clock.Second

	// startupGrace is the time after the start in which a node counts hosts
	// that it has no record of as live.
	startupGrace = 10 * clock.Second
	// relaysPerCentre is the number of members of a data centre that exchange
	// messages with other regions.
	relaysPerCentre = 3
	// pingRequestFanOut is the number of neighbors asked to repeat a ping.
	pingRequestFanOut = 3
	// maxPending is the largest number of unanswered pings.
	maxPending = 128
	// maxUnlisted is the largest number of hosts kept that have a record but
	// are not in the inventory.
	maxUnlisted = 256
	// maxRevision is the highest revision that a node accepts. A corrupt record
	// with a higher one would leave the host no revision with which to refute
	// it.
	maxRevision = 1 << 62
)

// Config configures a [Node].
type Config struct {
	Self        Peer
	Incarnation uint64
	Rand        *rand.Rand
	// Send sends a part to a host, together with any other data due for that
	// host.
	Send func(now clock.Milli, to string, p Part)
	// Changed is called for each host whose state or incarnation changed. It
	// may be nil.
	Changed func(now clock.Milli, m Member)
	// Refuted is called with a record about the node itself that the node has
	// refuted. It may be nil.
	Refuted func(now clock.Milli, r Record)
}

// Node runs the protocol for one member. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	self  *host
	hosts map[string]*host
	// unlisted counts the hosts outside the inventory, listed those in it.
	unlisted int
	listed   int
	// centres is sorted by name; own is the node's own data centre.
	centres []*centre
	own     *centre

	// root is the digest of the whole view, digests has one for each bucket.
	root    uint64
	digests [Buckets]uint32

	// updates holds the records waiting to be passed on, seq the number of the
	// latest ping.
	updates  updateQueue
	suspects []*host
	pending  []pending
	seq      uint64

	// startupEnd is when the startup grace ends.
	startupEnd  clock.Milli
	startupOver bool
	// probeOrder holds the neighbors in the order of this round of pings,
	// probeIndex the position of the next one. period counts the periods.
	probeOrder []*host
	probeIndex int
	period     uint64
	nextProbe  clock.Milli
	lastSync   clock.Milli
	// contactSends is the number of messages that are still to announce a
	// changed contact.
	contactSends int
	// lastHeard is when the latest message arrived, lastUpdate when a record last
	// changed.
	lastHeard  clock.Milli
	lastUpdate clock.Milli
}

// New returns a node whose inventory is peers and itself. Its revision starts
// at its incarnation, so that its record supersedes that of an earlier process
// on the same host.
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

// Tick handles expired suspicions and unanswered pings, and sends the pings of
// a new period.
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

// endStartup ends the startup grace once. The rankings are then computed anew,
// without the hosts that have no record.
func (n *Node) endStartup(now clock.Milli) {
	if n.startupOver || now < n.startupEnd {
		return
	}
	n.startupOver = true
	for _, c := range n.centres {
		c.rankingValid = false
	}
}

// Resume is to be called after a pause of the process. It drops pending pings,
// restarts the timeouts of suspects and raises the node's own revision,
// because other members may have declared the node dead meanwhile.
func (n *Node) Resume(now clock.Milli) {
	n.pending = n.pending[:0]
	for _, h := range n.suspects {
		h.deadline = now + SuspicionTimeout
	}
	n.lastHeard = now
	n.raiseRevision(now, n.self.rec.Revision)
}

// Receive handles a part sent by the process incarnation on the host from.
func (n *Node) Receive(now clock.Milli, from string, incarnation uint64, p Part) {
	n.lastHeard = now
	sender := n.hosts[from]
	if sender != nil && sender.centre != nil {
		n.recordContact(now, sender.centre, now)
	}
	// Only a message with few records and without a request for buckets carries
	// updates to pass on. Any other belongs to a comparison of views. Passing
	// its records on would send the records of the whole fleet through every
	// member, and members that lack them find out by comparing digests
	// themselves.
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

// Piggyback returns p with the data that every message to a host carries:
// pending updates and, within the data centre, contacts. Probes also carry the
// node's own record and pings the root digest. The receiver's own record is
// added if the receiver has to refute it, or has to supersede it after a
// restart.
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

// HasUpdates reports whether records or contacts are waiting to be passed on.
func (n *Node) HasUpdates() bool { return n.updates.count > 0 || n.contactSends > 0 }

func (n *Node) send(now clock.Milli, to string, p Part) { n.cfg.Send(now, to, p) }

// truncate returns the first items of list, at most limit.
func truncate[T any](list []T, limit int) []T {
	if len(list) > limit {
		return list[:limit]
	}
	return list
}
