package spread

import (
	"errors"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// pullTimeout is how long a request for bytes may take before another
	// daemon is asked; farTimeout is the one across regions.
	pullTimeout = 500 * clock.Millisecond
	farTimeout  = 2 * clock.Second
	// relayTurn is the time by which each further relay lets the one before
	// it ask across regions first.
	relayTurn = 700 * clock.Millisecond
	// anyTurn is the age of an offer at which any daemon asks across regions.
	anyTurn = 10 * clock.Second
	// maxFails is how often a daemon may be asked in vain.
	maxFails = 3
	// maxOffers bounds the daemons remembered to have something newer.
	maxOffers = 16
)

// offerer is a daemon that has a newer value.
type offerer struct {
	host    string
	version uint64
	seen    clock.Milli
	// fails counts the requests that it did not answer.
	fails int
}

// before reports whether o is to be asked rather than p.
func (o offerer) before(p offerer) bool {
	if o.version != p.version {
		return o.version > p.version
	}
	return o.fails < p.fails
}

// puller asks one daemon at a time for a newer value.
type puller struct {
	offers []offerer
	// from is the daemon that was asked, until the instant to give it up.
	from  string
	until clock.Milli
	// whole says that a delta failed, so that the whole value is wanted.
	whole bool
}

// drop forgets a daemon, for it did not deliver.
func (p *puller) drop(host string) {
	p.offers = slices.DeleteFunc(p.offers, func(o offerer) bool { return o.host == host })
	if p.from == host {
		p.from = ""
	}
}

// fail notes that the daemon that was asked did not answer.
func (p *puller) fail() {
	for i := range p.offers {
		o := &p.offers[i]
		if o.host != p.from {
			continue
		}
		o.fails++
		if o.fails >= maxFails {
			p.drop(o.host)
		}
		break
	}
	p.from = ""
}

// prune forgets offers that a version in force has met.
func (p *puller) prune(version uint64) {
	p.offers = slices.DeleteFunc(p.offers, func(o offerer) bool { return o.version <= version })
	p.from = ""
	p.whole = false
}

func (p *puller) add(o offerer) {
	for i := range p.offers {
		if p.offers[i].host == o.host {
			p.offers[i].version = o.version
			return
		}
	}
	if len(p.offers) < maxOffers {
		p.offers = append(p.offers, o)
	}
}

// Behind reports whether a newer value is known to exist elsewhere.
func (s *Store) Behind() bool { return len(s.pull.offers) > 0 }

func (s *Store) receiveOffer(now clock.Milli, from string, o Offer) {
	switch {
	case len(o.Digest) > MaxDigestBytes || s.isRefused(o.Digest):
	case o.Version == s.value.Version && o.Digest == s.value.Digest:
		if o.Age >= 0 {
			s.confirmed = max(s.confirmed, now-o.Age)
		}
	case o.Version == s.value.Version && o.Version > 0:
		_ = s.refuse(now, Meta{
			Version: o.Version,
			Digest:  o.Digest,
		}, from, Fork, errFork)
	case o.Version > s.value.Version:
		s.pull.add(offerer{
			host:    from,
			version: o.Version,
			seen:    now,
		})
		s.tickPull(now)
	}
}

// tickPull asks the daemon with the newest value whose turn it is.
func (s *Store) tickPull(now clock.Milli) {
	if s.pull.from != "" {
		if now < s.pull.until {
			return
		}
		s.pull.fail()
	}
	var best *offerer
	for i := range s.pull.offers {
		o := &s.pull.offers[i]
		if s.mayAsk(now, *o) && (best == nil || o.before(*best)) {
			best = o
		}
	}
	if best == nil {
		return
	}
	timeout := pullTimeout
	if !s.cfg.InRegion(best.host) {
		timeout = farTimeout
	}
	s.pull.from = best.host
	s.pull.until = now + timeout
	want := Fetch{
		Digest: s.value.Digest,
	}
	if s.pull.whole {
		want.Digest = ""
	}
	s.cfg.Send(now, best.host, Part{
		Fetch: &want,
	})
}

// mayAsk reports whether it is the own host's turn to ask a daemon: at once
// within the region, in the order of the relays across regions. A host that
// has no value yet has nobody to wait for.
func (s *Store) mayAsk(now clock.Milli, o offerer) bool {
	if s.value.Version == 0 || s.cfg.InRegion(o.host) {
		return true
	}
	age := now - o.seen
	if s.duty.RelayTurn < 0 {
		return age >= anyTurn
	}
	return age >= clock.Milli(s.duty.RelayTurn)*relayTurn
}

var (
	errBase   = errors.New("delta does not apply")
	errDigest = errors.New("delta leads to other bytes")
)

func (s *Store) receivePiece(now clock.Milli, from string, p Transfer) {
	if p.Busy {
		s.pull.drop(from)
		s.tickPull(now)
		return
	}
	if p.Version <= s.value.Version || s.isRefused(p.Digest) {
		return
	}
	if p.Base == "" {
		s.acceptFrom(now, from, p.Data)
		return
	}
	base, ok := s.find(p.Base)
	if !ok {
		s.receiveOffer(now, from, Offer{
			Version: p.Version,
			Digest:  p.Digest,
			Age:     -1,
		})
		return
	}
	data, err := s.patch(base, p)
	if err != nil {
		s.pull.whole = true
		_ = s.refuse(now, Meta{
			Version: p.Version,
			Digest:  p.Digest,
		}, from, Damaged, err)
		s.pull.from = ""
		s.tickPull(now)
		return
	}
	s.acceptFrom(now, from, data)
	if s.value.Digest == p.Digest {
		s.deltas[p.Base] = p.Data
	}
}

func (s *Store) patch(base Value, p Transfer) ([]byte, error) {
	data, err := s.cfg.Apply(base.Bytes, p.Data)
	if err != nil {
		return nil, errors.Join(errBase, err)
	}
	if m, err := s.cfg.Check(data); err == nil && m.Digest != p.Digest {
		return nil, errDigest
	}
	return data, nil
}

func (s *Store) acceptFrom(now clock.Milli, from string, data []byte) {
	if err := s.accept(now, data, from); err != nil {
		s.pull.drop(from)
	}
}
