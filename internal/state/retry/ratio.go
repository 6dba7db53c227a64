package retry

import "siskinswitch.example/siskin/pkg/clock"

// Units of a Ratio's fixed-point tokens.
const (
	// whole is one extra attempt, in thousandths.
	whole = 1000
)

// Defaults of a RatioConfig.
const (
	// DefaultPerThousand is the extra attempts per thousand successes.
	DefaultPerThousand = 50
	// DefaultBurst bounds the extra attempts that can be saved up.
	DefaultBurst = 20
	// DefaultFloorInterval is the interval at which one extra attempt is granted
	// without any success.
	DefaultFloorInterval = 10 * clock.Second
)

// RatioConfig configures a Ratio. Zero values take the defaults.
type RatioConfig struct {
	// PerThousand is the extra attempts granted per thousand successes.
	PerThousand int
	// Burst bounds the extra attempts that can be saved up.
	Burst int
	// FloorInterval is the interval at which one extra attempt is granted without any
	// success, so that a quiet caller can retry at all.
	FloorInterval clock.Milli
}

func (c RatioConfig) withDefaults() RatioConfig {
	if c.PerThousand <= 0 {
		c.PerThousand = DefaultPerThousand
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.FloorInterval <= 0 {
		c.FloorInterval = DefaultFloorInterval
	}
	return c
}

// Ratio is the budget of extra attempts of one caller at one target. It is
// not safe for concurrent use.
type Ratio struct {
	cfg    RatioConfig
	tokens int64
	// floored is the instant up to which the floor has been granted.
	floored clock.Milli
}

// NewRatio returns a budget that starts with one extra attempt.
func NewRatio(cfg RatioConfig, now clock.Milli) *Ratio {
	return &Ratio{
		cfg:     cfg.withDefaults(),
		tokens:  whole,
		floored: now,
	}
}

// Success grants the share that one successful first attempt earns.
func (r *Ratio) Success() { r.grant(int64(r.cfg.PerThousand)) }

// Take takes one extra attempt and reports whether there was one.
func (r *Ratio) Take(now clock.Milli) bool {
	r.floor(now)
	if r.tokens < whole {
		return false
	}
	r.tokens -= whole
	return true
}

// Refund returns an attempt that was taken and then not made.
func (r *Ratio) Refund() { r.grant(whole) }

func (r *Ratio) floor(now clock.Milli) {
	n := (now - r.floored) / r.cfg.FloorInterval
	if n <= 0 {
		return
	}
	r.floored += n * r.cfg.FloorInterval
	r.grant(int64(min(n, clock.Milli(r.cfg.Burst))) * whole)
}

func (r *Ratio) grant(tokens int64) {
	r.tokens = min(r.tokens+tokens, int64(r.cfg.Burst)*whole)
}
