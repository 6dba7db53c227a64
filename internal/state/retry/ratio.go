package retry

import "siskinswitch.example/siskin/pkg/clock"

// Scale of the fixed-point tokens of a [Ratio].
const (
	// tokensPerAttempt is the price of one extra attempt; a token is a
	// thousandth of it.
	tokensPerAttempt = 1000
)

// Defaults of a [RatioConfig].
const (
	// DefaultPerThousand is the number of extra attempts per thousand
	// successes.
	DefaultPerThousand = 50
	// DefaultBurst bounds the extra attempts that can be saved up.
	DefaultBurst = 20
	// DefaultFloorInterval is the interval at which one extra attempt is
	// granted without any success.
	DefaultFloorInterval = 10 * clock.Second
)

// RatioConfig configures a [Ratio]. Zero values take the defaults.
type RatioConfig struct {
	// PerThousand is the number of extra attempts granted per thousand
	// successes.
	PerThousand int
	// Burst bounds the extra attempts that can be saved up.
	Burst int
	// FloorInterval is the interval at which one extra attempt is granted
	// without any success, so that a caller with few requests can retry at
	// all.
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

// Ratio is the retry budget of one caller at one target. It is not safe for
// concurrent use.
type Ratio struct {
	cfg    RatioConfig
	tokens int64
	// grantedUntil is the instant up to which the attempts of the floor
	// interval have been granted.
	grantedUntil clock.Milli
}

// NewRatio returns a budget that holds one extra attempt.
func NewRatio(cfg RatioConfig, now clock.Milli) *Ratio {
	return &Ratio{
		cfg:          cfg.withDefaults(),
		tokens:       tokensPerAttempt,
		grantedUntil: now,
	}
}

// Success grants the part of an extra attempt that one successful first
// attempt earns.
func (r *Ratio) Success() { r.grant(int64(r.cfg.PerThousand)) }

// Take takes one extra attempt and reports whether one was available.
func (r *Ratio) Take(now clock.Milli) bool {
	r.grantFloor(now)
	if r.tokens < tokensPerAttempt {
		return false
	}
	r.tokens -= tokensPerAttempt
	return true
}

// Refund returns an extra attempt that was taken but not made.
func (r *Ratio) Refund() { r.grant(tokensPerAttempt) }

func (r *Ratio) grantFloor(now clock.Milli) {
	n := (now - r.grantedUntil) / r.cfg.FloorInterval
	if n <= 0 {
		return
	}
	r.grantedUntil += n * r.cfg.FloorInterval
	r.grant(int64(min(n, clock.Milli(r.cfg.Burst))) * tokensPerAttempt)
}

func (r *Ratio) grant(tokens int64) {
	r.tokens = min(r.tokens+tokens, int64(r.cfg.Burst)*tokensPerAttempt)
}
