package ticket

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// DefaultMaxStampAge is how long a stamp may be used for minting when
// StampCacheConfig.MaxAge is zero.
const DefaultMaxStampAge = 1 * clock.Second

// StampCacheConfig configures a StampCache. Zero values take the defaults.
type StampCacheConfig struct {
	// MaxAge is how long after its receipt a stamp may be used for minting.
	MaxAge clock.Milli
}

// StampCache holds, on the outbound side of a daemon, the stamps that guards
// have sent: in their answers, and in the greeting and liveness messages of the
// connections to them. Stamps that another daemon relayed must not be stored.
// The outcome of a request can never be resolved if its ticket names a guard
// that has since been replaced, so only a recently received stamp may be used
// for minting; when the stamp is older, the guard must be asked first.
//
// A StampCache has one mutex and may be used from any goroutine.
type StampCache struct {
	mu     sync.Mutex
	cfg    StampCacheConfig
	stamps map[string]cachedStamp
}

// cachedStamp is a stamp with the time of its receipt.
type cachedStamp struct {
	stamp      Stamp
	receivedAt clock.Milli
}

// NewStampCache returns an empty cache.
func NewStampCache(cfg StampCacheConfig) *StampCache {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxStampAge
	}
	return &StampCache{
		cfg:    cfg,
		stamps: make(map[string]cachedStamp),
	}
}

// Learn stores a stamp that the guard of a target has sent. Of two stamps with
// the same incarnation the higher generation is kept; otherwise the one
// received last replaces the other. The zero stamp is ignored.
func (c *StampCache) Learn(now clock.Milli, target string, s Stamp) {
	if s == (Stamp{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.stamps[target]
	if known.stamp.Incarnation == s.Incarnation {
		s.Generation = max(s.Generation, known.stamp.Generation)
	}
	c.stamps[target] = cachedStamp{
		stamp:      s,
		receivedAt: now,
	}
}

// Drop forgets the stamp of a target, for example when the connection to it
// broke.
func (c *StampCache) Drop(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stamps, target)
}

// Stamp returns the last stamp received from the guard of target. It returns
// false when that stamp is too old to mint a ticket with, or there is none, so
// that the guard must be asked first.
func (c *StampCache) Stamp(now clock.Milli, target string) (Stamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.stamps[target]
	return known.stamp, ok && now-known.receivedAt < c.cfg.MaxAge
}
