package ticket

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// DefaultMaxStampAge is how long a stamp serves for minting when BookConfig.Fresh
// is zero.
const DefaultMaxStampAge = 1 * clock.Second

// StampCacheConfig configures a Book.
type StampCacheConfig struct {
	// MaxAge is how long after its hearing a stamp serves for minting.
	MaxAge clock.Milli
}

// StampCache holds the stamps of guards as an outbound daemon has heard them from
// the guards themselves: in answers, and in the greeting and liveness messages
// of the connections to them. Hearsay doesn't belong here. A ticket for a
// guard that has since been replaced can never be settled, so only a stamp
// that was heard a moment ago serves for minting; for an older one the guard
// is asked first.
//
// A StampCache has one mutex and may be used from any goroutine.
type StampCache struct {
	mu     sync.Mutex
	cfg    StampCacheConfig
	stamps map[string]cachedStamp
}

type cachedStamp struct {
	stamp      Stamp
	receivedAt clock.Milli
}

// NewStampCache returns an empty book.
func NewStampCache(cfg StampCacheConfig) *StampCache {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxStampAge
	}
	return &StampCache{
		cfg:    cfg,
		stamps: make(map[string]cachedStamp),
	}
}

// Learn notes the stamp that the guard of a target has sent. Of one
// incarnation the higher generation counts; of two, the one heard last. The
// zero stamp is ignored.
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

// Drop forgets the stamp of a target, as when its connection broke.
func (c *StampCache) Drop(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stamps, target)
}

// Stamp returns the stamp for a ticket to target. It returns false when the
// guard must be asked first.
func (c *StampCache) Stamp(now clock.Milli, target string) (Stamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.stamps[target]
	return known.stamp, ok && now-known.receivedAt < c.cfg.MaxAge
}
