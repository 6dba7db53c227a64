package source

import (
	"context"

	"siskinswitch.example/siskin/pkg/clock"
)

// backoff is the distance between two calls of a loop.
type backoff struct {
	cfg     Config
	floor   clock.Milli
	ceiling clock.Milli
	next    clock.Milli
}

func (c *Client) backoff(floor clock.Milli) *backoff {
	return &backoff{
		cfg:     c.cfg,
		floor:   floor,
		ceiling: max(c.cfg.MaxBackoff, floor),
		next:    floor,
	}
}

func (b *backoff) reset() { b.next = b.floor }

func (b *backoff) fail() { b.next = min(2*b.next, b.ceiling) }

// wait lets between half and the whole of the distance pass. It returns false
// if ctx ended first.
func (b *backoff) wait(ctx context.Context) bool {
	d := float64(b.next) * (1 + b.cfg.Rand()) / 2
	select {
	case <-ctx.Done():
		return false
	case <-b.cfg.Clock.After(clock.Milli(d)):
		return true
	}
}
