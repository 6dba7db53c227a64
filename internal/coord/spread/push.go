package spread

import "siskinswitch.example/siskin/pkg/clock"

const (
	// pushRounds is how often a daemon pushes a new value to a few others.
	pushRounds = 2
	// MaxPushBytes is the largest delta, in bytes, that is pushed unasked.
	MaxPushBytes = 2048
	// serveRate and serveBurst bound the bytes handed out on request.
	serveRate  = 256 << 10
	serveBurst = 2 << 20
)

// bucket is a token bucket of bytes. It may be overdrawn once, so that a value
// larger than what is left still leaves.
type bucket struct {
	tokens int64
	at     clock.Milli
}

func newBucket(now clock.Milli) bucket {
	return bucket{
		tokens: serveBurst,
		at:     now,
	}
}

func (b *bucket) take(now clock.Milli, n int) bool {
	b.tokens = min(serveBurst, b.tokens+int64(now-b.at)*serveRate/int64(clock.Second))
	b.at = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= int64(n)
	return true
}

// Offer returns what to put on every message, or nil without a value.
func (s *Store) Offer(now clock.Milli) *Offer {
	if s.value.Version == 0 {
		return nil
	}
	age := clock.Milli(-1)
	if s.confirmed != Never {
		age = max(0, now-s.confirmed)
	}
	return &Offer{
		Version: s.value.Version,
		Digest:  s.value.Digest,
		Age:     age,
	}
}

// HasUpdates reports whether the value in force is to be pushed.
func (s *Store) HasUpdates() bool { return s.pushes > 0 }

// NextPush returns what to push to a few hosts, and counts the round: a delta from
// the predecessor if it is small, nil if the offer must do.
func (s *Store) NextPush() *Transfer {
	if s.pushes == 0 {
		return nil
	}
	s.pushes--
	if len(s.older) == 0 {
		return nil
	}
	p := s.piece(s.older[len(s.older)-1].Digest)
	if p.Base == "" || len(p.Data) > MaxPushBytes {
		return nil
	}
	return &p
}

// receiveWant hands out the value in force, unless too many bytes left lately.
func (s *Store) receiveWant(now clock.Milli, from string, w Fetch) {
	if s.value.Version == 0 || w.Digest == s.value.Digest {
		return
	}
	p := s.piece(w.Digest)
	// A value that leaves the region serves a whole one there, so hosts of the
	// own region must not use up its share.
	b := &s.serve
	if !s.cfg.InRegion(from) {
		b = &s.serveFar
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

// piece returns the value in force as a delta from a base, or whole where the
// base is unknown or a delta saves nothing.
func (s *Store) piece(base string) Transfer {
	p := Transfer{
		Version: s.value.Version,
		Digest:  s.value.Digest,
		Data:    s.value.Bytes,
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
	old, ok := s.find(base)
	if !ok {
		return nil, false
	}
	d, err := s.cfg.Diff(old.Bytes, s.value.Bytes)
	if err != nil {
		return nil, false
	}
	s.deltas[base] = d
	return d, true
}
