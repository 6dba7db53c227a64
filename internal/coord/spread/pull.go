package spread

import (
	"errors"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// pullTimeout is how long a request for bytes may take before another
	// daemon is asked; farTimeout is the one across regions.
	pullTimeout        = 500 * clock.Millisecond
	crossRegionTimeout = 2 * clock.Second
	// relayTurnDelay is the time by which each further relay lets the one before
	// it ask across regions first.
	relayTurnDelay = 700 * clock.Millisecond
	// anyHostDelay is the age of an offer at which any daemon asks across regions.
	anyHostDelay = 10 * clock.Second
	// maxFailures is how often a daemon may be asked in vain.
	maxFailures = 3
	// maxProviders bounds the daemons remembered to have something newer.
	maxProviders = 16
)

// provider is a daemon that has a newer value.
type provider struct {
	host      string
	version   uint64
	firstSeen clock.Milli
	// failures counts the requests that it did not answer.
	failures int
}

// isPreferredTo reports whether o is to be asked rather than p.
func (o provider) isPreferredTo(p provider) bool {
	if o.version != p.version {
		return o.version > p.version
	}
	return o.failures < p.failures
}

// puller asks one daemon at a time for a newer value.
type puller struct {
	providers []provider
	// askedHost is the daemon that was asked, until the instant to give it up.
	askedHost string
	deadline  clock.Milli
	// needsWhole says that a delta failed, so that the needsWhole value is wanted.
	needsWhole bool
}

// drop forgets a daemon, for it did not deliver.
func (p *puller) drop(host string) {
	p.providers = slices.DeleteFunc(p.providers, func(o provider) bool { return o.host == host })
	if p.askedHost == host {
		p.askedHost = ""
	}
}

// requestFailed notes that the daemon that was asked did not answer.
func (p *puller) requestFailed() {
	for i := range p.providers {
		o := &p.providers[i]
		if o.host != p.askedHost {
			continue
		}
		o.failures++
		if o.failures >= maxFailures {
			p.drop(o.host)
		}
		break
	}
	p.askedHost = ""
}

// prune forgets offers that a version in force has met.
func (p *puller) prune(version uint64) {
	p.providers = slices.DeleteFunc(p.providers, func(o provider) bool { return o.version <= version })
	p.askedHost = ""
	p.needsWhole = false
}

func (p *puller) add(o provider) {
	for i := range p.providers {
		if p.providers[i].host == o.host {
			p.providers[i].version = o.version
			return
		}
	}
	if len(p.providers) < maxProviders {
		p.providers = append(p.providers, o)
	}
}

// Behind reports whether a newer value is known to exist elsewhere.
func (s *Store) Behind() bool { return len(s.pull.providers) > 0 }

func (s *Store) receiveOffer(now clock.Milli, from string, o Offer) {
	switch {
	case len(o.Digest) > MaxDigestBytes || s.isRefused(o.Digest):
	case o.Version == s.active.Version && o.Digest == s.active.Digest:
		if o.Age >= 0 {
			s.confirmedAt = max(s.confirmedAt, now-o.Age)
		}
	case o.Version == s.active.Version && o.Version > 0:
		_ = s.refuse(now, Meta{
			Version: o.Version,
			Digest:  o.Digest,
		}, from, Fork, errFork)
	case o.Version > s.active.Version:
		s.pull.add(provider{
			host:      from,
			version:   o.Version,
			firstSeen: now,
		})
		s.requestNewest(now)
	}
}

// requestNewest asks the daemon with the newest value whose turn it is.
func (s *Store) requestNewest(now clock.Milli) {
	if s.pull.askedHost != "" {
		if now < s.pull.deadline {
			return
		}
		s.pull.requestFailed()
	}
	var best *provider
	for i := range s.pull.providers {
		o := &s.pull.providers[i]
		if s.mayAsk(now, *o) && (best == nil || o.isPreferredTo(*best)) {
			best = o
		}
	}
	if best == nil {
		return
	}
	timeout := pullTimeout
	if !s.cfg.InRegion(best.host) {
		timeout = crossRegionTimeout
	}
	s.pull.askedHost = best.host
	s.pull.deadline = now + timeout
	want := Fetch{
		Digest: s.active.Digest,
	}
	if s.pull.needsWhole {
		want.Digest = ""
	}
	s.cfg.Send(now, best.host, Part{
		Fetch: &want,
	})
}

// mayAsk reports whether it is the own host's turn to ask a daemon: at once
// within the region, in the order of the relays across regions. A host that
// has no value yet has nobody to wait for.
func (s *Store) mayAsk(now clock.Milli, o provider) bool {
	if s.active.Version == 0 || s.cfg.InRegion(o.host) {
		return true
	}
	age := now - o.firstSeen
	if s.duty.RelayTurn < 0 {
		return age >= anyHostDelay
	}
	return age >= clock.Milli(s.duty.RelayTurn)*relayTurnDelay
}

var (
	errBase   = errors.New("delta does not apply")
	errDigest = errors.New("delta leads to other bytes")
)

func (s *Store) receiveTransfer(now clock.Milli, from string, p Transfer) {
	if p.Busy {
		s.pull.drop(from)
		s.requestNewest(now)
		return
	}
	if p.Version <= s.active.Version || s.isRefused(p.Digest) {
		return
	}
	if p.Base == "" {
		s.acceptFrom(now, from, p.Data)
		return
	}
	base, ok := s.lookup(p.Base)
	if !ok {
		s.receiveOffer(now, from, Offer{
			Version: p.Version,
			Digest:  p.Digest,
			Age:     -1,
		})
		return
	}
	data, err := s.applyDelta(base, p)
	if err != nil {
		s.pull.needsWhole = true
		_ = s.refuse(now, Meta{
			Version: p.Version,
			Digest:  p.Digest,
		}, from, Damaged, err)
		s.pull.askedHost = ""
		s.requestNewest(now)
		return
	}
	s.acceptFrom(now, from, data)
	if s.active.Digest == p.Digest {
		s.deltas[p.Base] = p.Data
	}
}

func (s *Store) applyDelta(base Value, p Transfer) ([]byte, error) {
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
