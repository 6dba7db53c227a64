package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// host is the entry of one host in the view.
type host struct {
	peer Peer
	hash uint64
	// weight orders the host among those of its data centre.
	weight uint64
	rec    Record
	since  clock.Milli
	listed bool
	centre *centre
	// queued, transmits, level and local belong to the queue of updates:
	// whether the record is queued, how often it was passed on, the level of
	// the queue that holds it, and whether it concerns only the own data
	// centre.
	queued    bool
	transmits int
	level     int
	local     bool
	// otherProcess reports that the latest message from the host came from
	// another process than its record names: a restarted one whose clock is
	// behind.
	otherProcess bool
	// deadline is when a suspect is declared dead, suspectPings how often the
	// node has pinged it in the meantime.
	deadline     clock.Milli
	suspectPings int
}

func (h *host) isUp() bool { return h.rec.State == Alive || h.rec.State == Suspect }

func (h *host) bucket() int { return int(h.hash % Buckets) }

// digestValue returns the host's contribution to the digests. It does not
// depend on suspicions and refutations, since they are not sent to other data
// centres.
func (h *host) digestValue() uint64 {
	if !h.listed || h.rec.Revision == 0 {
		return 0
	}
	x := h.hash ^ h.rec.Incarnation*0x9e3779b97f4a7c15
	if h.rec.State == Dead {
		x = ^x
	}
	return mix(x)
}

// mix distributes the bits of x over the whole word (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (n *Node) addHost(p Peer, listed bool) *host {
	h := &host{
		peer:   p,
		hash:   xxhash.Sum64String(p.Host),
		listed: listed,
	}
	n.hosts[p.Host] = h
	if !listed {
		n.unlisted++
	}
	return h
}

// toggleDigest adds the host's current record to the digests or, called a
// second time, removes it.
func (n *Node) toggleDigest(h *host) {
	m := h.digestValue()
	n.root ^= m
	n.digests[h.bucket()] ^= uint32(m)
}

// SetPeers replaces the inventory. The records of hosts in the new inventory
// are kept; all other hosts are removed.
func (n *Node) SetPeers(now clock.Milli, peers []Peer) {
	if n.own != nil && n.isListed(peers) {
		return
	}
	listed := make(map[string]Peer, len(peers)+1)
	for _, p := range peers {
		listed[p.Host] = p
	}
	listed[n.cfg.Self.Host] = n.cfg.Self
	for name, h := range n.hosts {
		if _, ok := listed[name]; !ok && h != n.self {
			n.forget(h)
		}
	}
	for _, p := range listed {
		n.listHost(p)
	}
	n.listed = len(listed)
	n.groupByCentre(now)
}

// isListed reports whether the inventory already consists of exactly peers.
// Most changes of the configuration leave the inventory as it is.
func (n *Node) isListed(peers []Peer) bool {
	if n.unlisted > 0 || len(peers) != n.listed {
		return false
	}
	seen := make(map[string]bool, len(peers))
	for _, p := range peers {
		if h := n.hosts[p.Host]; h == nil || h.peer != p || seen[p.Host] {
			return false
		}
		seen[p.Host] = true
	}
	return true
}

func (n *Node) listHost(p Peer) {
	h := n.hosts[p.Host]
	if h == nil {
		n.addHost(p, true)
		return
	}
	h.peer = p
	if !h.listed {
		h.listed = true
		n.unlisted--
		n.toggleDigest(h)
	}
}

func (n *Node) forget(h *host) {
	n.toggleDigest(h)
	if !h.listed {
		n.unlisted--
	}
	delete(n.hosts, h.peer.Host)
	n.updates.drop(h)
	n.suspects = remove(n.suspects, h)
	n.pending = slices.DeleteFunc(n.pending, func(p pending) bool { return p.host == h })
}

func remove(list []*host, h *host) []*host {
	return slices.DeleteFunc(list, func(o *host) bool { return o == h })
}

// applyRecord merges a record into the view. If isUpdate is set, a change is
// passed on. A record about the node itself is refuted instead.
func (n *Node) applyRecord(now clock.Milli, r Record, isUpdate bool) {
	if r.Revision == 0 || r.Revision > maxRevision || r.State == Unknown || r.State > Dead {
		return
	}
	if r.Host == n.cfg.Self.Host {
		n.refute(now, r)
		return
	}
	h := n.hosts[r.Host]
	if h == nil {
		if n.unlisted >= maxUnlisted || len(r.Host) > maxHostBytes {
			return
		}
		h = n.addHost(Peer{
			Host: r.Host,
		}, false)
	}
	if r == h.rec {
		n.updates.countDuplicate(h)
	}
	if r.supersedes(h.rec) {
		n.setRecord(now, h, r)
		if !isUpdate {
			n.updates.drop(h)
		}
	}
}

// maxHostBytes is the longest accepted control address.
const maxHostBytes = 64

// refute raises the node's own revision above that of a foreign record about the
// node, unless the record is outdated or equals the node's own.
func (n *Node) refute(now clock.Milli, r Record) {
	own := n.self.rec
	if r == own || r.Revision < own.Revision {
		return
	}
	n.raiseRevision(now, r.Revision)
	if n.cfg.Refuted != nil {
		n.cfg.Refuted(now, r)
	}
}

// raiseRevision sets the node's own revision to one more than above.
func (n *Node) raiseRevision(now clock.Milli, above uint64) {
	r := n.self.rec
	r.Revision = above + 1
	n.setRecord(now, n.self, r)
}

// setRecord stores a record and queues it as an update.
func (n *Node) setRecord(now clock.Milli, h *host, r Record) {
	old := h.rec
	wasUp := h.isUp()
	n.toggleDigest(h)
	h.rec = r
	n.toggleDigest(h)
	n.lastUpdate = now
	n.updates.put(h, isLocal(old, r))
	n.trackSuspect(now, h, old.State)
	if wasUp != h.isUp() && h.centre != nil {
		h.centre.rankingValid = false
	}
	if old.State == r.State && old.Incarnation == r.Incarnation {
		return
	}
	h.since = now
	if n.cfg.Changed != nil {
		n.cfg.Changed(now, n.member(now, h))
	}
}

// isLocal reports whether a change concerns only the own data centre: a new
// suspicion, or one that ended without a death or a restart.
func isLocal(old, r Record) bool {
	return r.State == Suspect || old.State == Suspect && r.State == Alive && r.Incarnation == old.Incarnation
}

func (n *Node) member(now clock.Milli, h *host) Member {
	return Member{
		Peer:        h.peer,
		Incarnation: h.rec.Incarnation,
		Revision:    h.rec.Revision,
		State:       h.rec.State,
		Since:       h.since,
		Unreachable: h.centre != nil && !n.isReachable(now, h.centre),
	}
}

// Members returns all listed hosts except the node's own, sorted by host.
func (n *Node) Members(now clock.Milli) []Member {
	list := make([]Member, 0, len(n.hosts))
	for _, h := range n.hosts {
		if h != n.self && h.listed {
			list = append(list, n.member(now, h))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// State returns the state and the incarnation in the record of a host; they
// are Unknown and 0 if there is none.
func (n *Node) State(name string) (State, uint64) {
	h := n.hosts[name]
	if h == nil {
		return Unknown, 0
	}
	return h.rec.State, h.rec.Incarnation
}
