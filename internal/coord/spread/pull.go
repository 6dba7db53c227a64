package spread

import (
	"errors"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// pullTimeout is how long a daemon waits for a requested value before it
	// asks another daemon. crossRegionTimeout applies to a daemon in another
	// region.
	pullTimeout        = 500 * clock.Millisecond
	crossRegionTimeout = 2 * clock.Second
	// relayTurnDelay is the delay of each relay after the one before it, for
	// requests to another region.
	relayTurnDelay = 700 * clock.Millisecond
	// anyHostDelay is the age of an offer from another region from which a
	// daemon that is no relay may request the value too.
	anyHostDelay = 10 * clock.Second
	// maxFailures is the number of unanswered requests after which a provider
	// is dropped.
	maxFailures = 3
	// maxProviders is the largest number of providers kept.
	maxProviders = 16
)

// provider is a daemon that has offered a newer value.
type provider struct {
	host    string
	version uint64
	// firstSeen is when the daemon first offered a newer value.
	firstSeen clock.Milli
	// failures counts the requests that the daemon did not answer.
	failures int
}

// isPreferredTo reports whether to ask o rather than p.
func (o provider) isPreferredTo(p provider) bool {
	if o.version != p.version {
		return o.version > p.version
	}
	return o.failures < p.failures
}

// puller holds the state of fetching a newer value from one provider at a
// time.
type puller struct {
	providers []provider
	// askedHost is the provider with a pending request, or empty. The request
	// fails at the deadline.
	askedHost string
	deadline  clock.Milli
	// needsWhole reports that a delta was damaged, so the next request must be
	// for a whole value.
	needsWhole bool
}

// drop removes a provider and any pending request to it.
func (p *puller) drop(host string) {
	p.providers = slices.DeleteFunc(p.providers, func(o provider) bool { return o.host == host })
	if p.askedHost == host {
		p.askedHost = ""
	}
}

// requestFailed ends the pending request as unanswered.
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

// prune removes the providers whose version is not above the active one, and
// the pending request.
func (p *puller) prune(version uint64) {
	p.providers = slices.DeleteFunc(p.providers, func(o provider) bool { return o.version <= version })
	p.askedHost = ""
	p.needsWhole = false
}

// add records an offer of a newer value.
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

// Behind reports whether another daemon is known to have a newer value.
func (s *Store) Behind() bool { return len(s.pull.providers) > 0 }

// receiveOffer handles an offer: of the active value, which may confirm it; of a
// different value with the same version, which is refused; or of a newer one,
// which is fetched.
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

// requestNewest requests the newest value offered from a provider that may be
// asked now. It does nothing while a request is pending.
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

// mayAsk reports whether the daemon may ask a provider now. A provider in the
// own region may be asked at once. For another region, relays wait for their
// turns and other daemons for anyHostDelay, so that a value crosses the link
// only once. A daemon without any value does not wait.
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

// receiveTransfer handles a value sent on request or pushed. A pushed delta whose
// base is unknown counts as an offer.
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

// applyDelta returns the bytes that a delta against base yields. A result that
// fails the check is returned as it is, for accept to refuse.
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
