package client

import (
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// keyBytes is the length of a random key, which is also that of a trace id.
const keyBytes = 16

func (c Config) withDefaults() Config {
	c.Tries = orElse(c.Tries, DefaultTries)
	c.Deadline = orElse(c.Deadline, DefaultDeadline)
	c.TryWait = orElse(c.TryWait, DefaultTryWait)
	c.Backoff = orElse(c.Backoff, DefaultBackoff)
	c.MaxBackoff = orElse(c.MaxBackoff, DefaultMaxBackoff)
	c.AskWait = orElse(c.AskWait, DefaultAskWait)
	c.TicketLife = orElse(c.TicketLife, DefaultTicketLife)
	if c.Clock.Now == nil {
		c.Clock = clock.System()
	}
	if c.Exchange == nil {
		c.Exchange = NewHTTP(HTTPConfig{}).Exchange
	}
	if c.Jitter == nil {
		c.Jitter = mathrand.Int64N
	}
	if c.NewKey == nil {
		c.NewKey = randomKey
	}
	return c
}

func orElse[T int | clock.Milli](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

func randomKey() string {
	var random [keyBytes]byte
	// Read never returns an error: crypto/rand ends the process when it fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// traceparent returns the W3C trace context of a request, "" if id does not have the
// length of a trace id. All tries of a request share it, so that every daemon gives
// them the same shedding rank.
func traceparent(id string) string {
	const spanDigits = 16
	if len(id) != 2*keyBytes {
		return ""
	}
	return "00-" + id + "-" + id[:spanDigits] + "-01"
}
