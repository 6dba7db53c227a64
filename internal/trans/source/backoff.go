package source

import (
	"context"

	"siskinswitch.example/siskin/pkg/clock"
)

// backoff is the delay between two exchanges of a loop. It doubles after each
// failure, up to a maximum.
type backoff struct {
	cfg      Config
	minDelay clock.Milli
	maxDelay clock.Milli
	delay    clock.Milli
}

func (c *Client) backoff(minDelay clock.Milli) *backoff {
	return &backoff{
		cfg:      c.cfg,
		minDelay: minDelay,
		maxDelay: max(c.cfg.MaxBackoff, minDelay),
		delay:    minDelay,
	}
}

func (b *backoff) reset() { b.delay = b.minDelay }

func (b *backoff) grow() { b.delay = min(2*b.delay, b.maxDelay) }

// wait waits for a random time between half of the delay and all of it. It
// returns false if ctx ended first.
func (b *backoff) wait(ctx context.Context) bool {
	d := float64(b.delay) * (1 + b.cfg.Rand()) / 2
	select {
	case <-ctx.Done():
		return false
	case <-b.cfg.Clock.After(clock.Milli(d)):
		return true
	}
}
