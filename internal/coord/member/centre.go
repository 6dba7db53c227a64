package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// centre is a data centre in the view.
type centre struct {
	name   string
	region string
	hash   uint64
	// hosts is sorted by control address.
	hosts []*host
	// contact is the time of the latest known contact, or far in the past if
	// none is known. Until grace the data centre counts as reachable without
	// one.
	contact clock.Milli
	grace   clock.Milli
	// ranking is the cached result of Node.ranking, if rankingValid is set.
	ranking      []*host
	rankingValid bool
}

// groupByCentre groups the listed hosts by data centre. Contacts with known
// data centres are kept.
func (n *Node) groupByCentre(now clock.Milli) {
	old := n.centres
	n.centres = nil
	byName := make(map[string]*centre)
	for _, h := range n.hosts {
		h.centre = nil
		if !h.listed {
			continue
		}
		name := h.peer.Region + "/" + h.peer.Centre
		c := byName[name]
		if c == nil {
			c = newCentre(now, name, h.peer.Region, old)
			byName[name] = c
			n.centres = append(n.centres, c)
		}
		h.centre = c
		h.weight = mix(h.hash ^ c.hash)
		c.hosts = append(c.hosts, h)
	}
	slices.SortFunc(n.centres, func(a, b *centre) int { return cmp.Compare(a.name, b.name) })
	for _, c := range n.centres {
		slices.SortFunc(c.hosts, func(a, b *host) int { return cmp.Compare(a.peer.Host, b.peer.Host) })
	}
	n.own = n.self.centre
	n.probeOrder = n.probeOrder[:0]
}

func newCentre(now clock.Milli, name, region string, old []*centre) *centre {
	c := &centre{
		name:    name,
		region:  region,
		hash:    xxhash.Sum64String(name),
		contact: math.MinInt64 / 2,
		grace:   now + ContactTimeout,
	}
	for _, o := range old {
		if o.name == name {
			c.contact = o.contact
			c.grace = o.grace
		}
	}
	return c
}

// ranking returns the live hosts of c in the order in which they take on
// duties, by rendezvous hashing. During the startup grace, and for a data
// centre with no known live host, it includes the hosts that have no record,
// so that a fleet that starts together agrees at once.
func (n *Node) ranking(c *centre) []*host {
	if c.rankingValid {
		return c.ranking
	}
	c.ranking = c.ranking[:0]
	up := 0
	for _, h := range c.hosts {
		if h.isUp() {
			up++
		}
	}
	for _, h := range c.hosts {
		if h.isUp() || h.rec.State == Unknown && (up == 0 || !n.startupOver) {
			c.ranking = append(c.ranking, h)
		}
	}
	slices.SortFunc(c.ranking, func(a, b *host) int {
		return cmp.Compare(b.weight, a.weight)
	})
	c.rankingValid = true
	return c.ranking
}

// Rank returns the position of the node in the ranking of its data centre,
// starting at 0, or -1 if the node is not in it.
func (n *Node) Rank() int { return slices.Index(n.ranking(n.own), n.self) }

// IsRelay reports whether the node exchanges messages with other regions.
func (n *Node) IsRelay() bool { return n.Rank() < relaysPerCentre }

// CentreIndex returns the number of data centres in the own region, and the
// index of the own one among them.
func (n *Node) CentreIndex() (count, index int) {
	for _, c := range n.centres {
		if c.region != n.own.region {
			continue
		}
		if c == n.own {
			index = count
		}
		count++
	}
	return count, index
}

// Size returns the number of listed hosts.
func (n *Node) Size() int { return n.listed }

// InRegion reports whether a host is in the inventory and in the own region.
func (n *Node) InRegion(name string) bool {
	h := n.hosts[name]
	return h != nil && h.centre != nil && h.centre.region == n.own.region
}

func (n *Node) isReachable(now clock.Milli, c *centre) bool {
	return c == n.own || now <= c.grace || now-c.contact <= ContactTimeout
}

// contacts returns the contacts that are recent enough to count.
func (n *Node) contacts(now clock.Milli) []Contact {
	list := make([]Contact, 0, len(n.centres))
	for _, c := range n.centres {
		if c == n.own || now-c.contact > ContactTimeout {
			continue
		}
		list = append(list, Contact{
			Centre: c.name,
			Age:    now - c.contact,
		})
	}
	return truncate(list, MaxContacts)
}

func (n *Node) applyContact(now clock.Milli, r Contact) {
	if r.Age < 0 {
		return
	}
	for _, c := range n.centres {
		if c.name == r.Centre {
			n.recordContact(now, c, now-r.Age)
		}
	}
}

// recordContact records a contact with a data centre at a time. If the data
// centre was unreachable before, the contact is gossiped within the own data
// centre.
func (n *Node) recordContact(now clock.Milli, c *centre, at clock.Milli) {
	if at <= c.contact {
		return
	}
	if c != n.own && now-c.contact > ContactTimeout && now-at <= ContactTimeout {
		n.contactSends = n.transmitLimit()
	}
	c.contact = at
}

// GossipPeers returns the hosts to send updates to: two random neighbors, at
// times a host in another data centre of the region and, from a relay, a relay
// in another region.
func (n *Node) GossipPeers() []string {
	list := make([]string, 0, 4)
	for range 2 {
		list = n.appendPeer(list, n.randomHost(n.own))
	}
	relay := n.IsRelay()
	if relay || n.cfg.Rand.IntN(4) == 0 || len(n.own.hosts) < 3 {
		list = n.appendPeer(list, n.randomHost(n.randomCentre(true)))
	}
	if relay {
		list = n.appendPeer(list, n.randomRelay(n.randomCentre(false)))
	}
	return list
}

func (n *Node) appendPeer(list []string, h *host) []string {
	if h == nil || slices.Contains(list, h.peer.Host) {
		return list
	}
	return append(list, h.peer.Host)
}

// randomCentre returns a random data centre, other than the own one, in the
// own region or in the other regions. It returns nil if there is none.
func (n *Node) randomCentre(inRegion bool) *centre {
	var found *centre
	seen := 0
	for _, c := range n.centres {
		if c == n.own || (c.region == n.own.region) != inRegion {
			continue
		}
		seen++
		if n.cfg.Rand.IntN(seen) == 0 {
			found = c
		}
	}
	return found
}

// randomHost returns a random host of c that is not known to be dead, or nil.
func (n *Node) randomHost(c *centre) *host {
	return n.choose(c, func(h *host) bool { return h.rec.State != Dead })
}

// randomRelay returns a random relay of c, or any host of c if no relay is known.
func (n *Node) randomRelay(c *centre) *host {
	if c == nil {
		return nil
	}
	list := truncate(n.ranking(c), relaysPerCentre)
	if len(list) == 0 {
		return n.randomHost(c)
	}
	return list[n.cfg.Rand.IntN(len(list))]
}

// choose returns a host of c other than the node itself that fits accepts,
// scanning from a random start. It returns nil if there is none or c is nil.
func (n *Node) choose(c *centre, fits func(*host) bool) *host {
	if c == nil {
		return nil
	}
	start := n.cfg.Rand.IntN(len(c.hosts))
	for i := range c.hosts {
		h := c.hosts[(start+i)%len(c.hosts)]
		if h != n.self && fits(h) {
			return h
		}
	}
	return nil
}

// JoinTarget returns a random host whose view the node should request: mostly
// a neighbor, at times a host anywhere. It returns "" if none is known.
func (n *Node) JoinTarget() string {
	var h *host
	if n.cfg.Rand.IntN(4) > 0 {
		h = n.randomHost(n.own)
	}
	if h == nil && len(n.centres) > 0 {
		h = n.randomHost(n.centres[n.cfg.Rand.IntN(len(n.centres))])
	}
	if h == nil {
		return ""
	}
	return h.peer.Host
}
