package spread

import "siskinswitch.example/siskin/pkg/clock"

const (
	// pushRounds is the number of rounds in which a daemon pushes a new value
	// to a few others.
	pushRounds = 2
	// MaxPushBytes is the largest delta that is sent without a request.
	MaxPushBytes = 2048
	// serveBytesPerSecond and serveBurstBytes limit the data sent on request.
	serveBytesPerSecond = 256 << 10
	serveBurstBytes     = 2 << 20
)

// tokenBucket limits bytes. One send may overdraw it, so that a value larger
// than the remaining tokens can be sent at all.
type tokenBucket struct {
	tokens     int64
	refilledAt clock.Milli
}

func newTokenBucket(now clock.Milli) tokenBucket {
	return tokenBucket{
		tokens:     serveBurstBytes,
		refilledAt: now,
	}
}

// take reports whether n bytes may be sent now, and takes the tokens for them if
// so.
func (b *tokenBucket) take(now clock.Milli, n int) bool {
	b.tokens = min(serveBurstBytes, b.tokens+int64(now-b.refilledAt)*serveBytesPerSecond/int64(clock.Second))
	b.refilledAt = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= int64(n)
	return true
}

// Offer returns the offer to put on every message, or nil if there is no
// active value.
func (s *Store) Offer(now clock.Milli) *Offer {
	if s.active.Version == 0 {
		return nil
	}
	age := clock.Milli(-1)
	if s.confirmedAt != Never {
		age = max(0, now-s.confirmedAt)
	}
	return &Offer{
		Version: s.active.Version,
		Digest:  s.active.Digest,
		Age:     age,
	}
}

// HasUpdates reports whether the active value is still to be pushed.
func (s *Store) HasUpdates() bool { return s.pushesLeft > 0 }

// NextPush returns the transfer to send to a few hosts in this round, and
// counts the round. It is the delta from the predecessor if that is small
// enough, and nil otherwise; the hosts then learn of the value from the offer.
func (s *Store) NextPush() *Transfer {
	if s.pushesLeft == 0 {
		return nil
	}
	s.pushesLeft--
	if len(s.predecessors) == 0 {
		return nil
	}
	p := s.transfer(s.predecessors[len(s.predecessors)-1].Digest)
	if p.Base == "" || len(p.Data) > MaxPushBytes {
		return nil
	}
	return &p
}

// receiveFetch sends the active value to a host that requested it, or the
// answer Busy if the budget of bytes is used up.
func (s *Store) receiveFetch(now clock.Milli, from string, w Fetch) {
	if s.active.Version == 0 || w.Digest == s.active.Digest {
		return
	}
	p := s.transfer(w.Digest)
	// A value sent to another region serves that whole region, so requests from
	// the own region must not use up its budget.
	b := &s.ownRegionBytes
	if !s.cfg.InRegion(from) {
		b = &s.crossRegionBytes
	}
	if !b.take(now, len(p.Data)) {
		p.Data = nil
		p.Base = ""
		p.Busy = true
	}
	s.cfg.Send(now, from, Part{
		Transfer: &p,
	})
}

// transfer returns the active value as a delta from the value with the digest
// base, or whole if the base is unknown or the delta is not smaller.
func (s *Store) transfer(base string) Transfer {
	p := Transfer{
		Version: s.active.Version,
		Digest:  s.active.Digest,
		Data:    s.active.Bytes,
	}
	if delta, ok := s.delta(base); ok && len(delta) < len(p.Data) {
		p.Base = base
		p.Data = delta
	}
	return p
}

// delta returns the delta from a base to the active value, if the base is kept.
func (s *Store) delta(base string) ([]byte, bool) {
	if d, ok := s.deltas[base]; ok {
		return d, true
	}
	old, ok := s.lookup(base)
	if !ok {
		return nil, false
	}
	d, err := s.cfg.Diff(old.Bytes, s.active.Bytes)
	if err != nil {
		return nil, false
	}
	s.deltas[base] = d
	return d, true
}
