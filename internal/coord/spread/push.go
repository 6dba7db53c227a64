package spread

import "siskinswitch.example/siskin/pkg/clock"

const (
	// pushRounds is how often a daemon pushes a new value to a few others.
	pushRounds = 2
	// MaxPushBytes is the largest delta, in bytes, that is pushed unasked.
	MaxPushBytes = 2048
	// serveBytesPerSecond and serveBurst bound the bytes handed out on request.
	serveBytesPerSecond = 256 << 10
	serveBurstBytes     = 2 << 20
)

// tokenBucket is a token tokenBucket of bytes. It may be overdrawn once, so that a value
// larger than what is left still leaves.
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

func (b *tokenBucket) take(now clock.Milli, n int) bool {
	b.tokens = min(serveBurstBytes, b.tokens+int64(now-b.refilledAt)*serveBytesPerSecond/int64(clock.Second))
	b.refilledAt = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= int64(n)
	return true
}

// Offer returns what to put on every message, or nil without a value.
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

// HasUpdates reports whether the value in force is to be pushed.
func (s *Store) HasUpdates() bool { return s.pushesLeft > 0 }

// NextPush returns what to push to a few hosts, and counts the round: a delta from
// the predecessor if it is small, nil if the offer must do.
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

// receiveFetch hands out the value in force, unless too many bytes left lately.
func (s *Store) receiveFetch(now clock.Milli, from string, w Fetch) {
	if s.active.Version == 0 || w.Digest == s.active.Digest {
		return
	}
	p := s.transfer(w.Digest)
	// A value that leaves the region serves a whole one there, so hosts of the
	// own region must not use up its share.
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

// transfer returns the value in force as a delta from a base, or whole where the
// base is unknown or a delta saves nothing.
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
