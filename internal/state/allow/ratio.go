package allow

import "siskinswitch.example/siskin/pkg/clock"

// Units of a Ratio's fixed-point tokens.
const (
	// whole is one extra attempt, in thousandths.
	whole = 1000
)

// Defaults of a RatioConfig.
const (
	// DefaultShare is the extra attempts per thousand successes.
	DefaultShare = 50
	// DefaultBurst bounds the extra attempts that can be saved up.
	DefaultBurst = 20
	// DefaultFloor is the interval at which one extra attempt is granted
	// without any success.
	DefaultFloor = 10 * clock.Second
)

// RatioConfig configures a Ratio. Zero values take the defaults.
type RatioConfig struct {
	// Share is the extra attempts granted per thousand successes.
	Share int
	// Burst bounds the extra attempts that can be saved up.
	Burst int
	// Floor is the interval at which one extra attempt is granted without any
	// success, so that a quiet caller can retry at all.
	Floor clock.Milli
}

func (c RatioConfig) withDefaults() RatioConfig {
	if c.Share <= 0 {
		c.Share = DefaultShare
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
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
func (r *Ratio) Success() { r.grant(int64(r.cfg.Share)) }

// Take takes one extra attempt and reports whether there was one.
func (r *Ratio) Take(now clock.Milli) bool {
	r.floor(now)
	if r.tokens < whole {
		return false
	}
	r.tokens -= whole
	return true
}

// GiveBack returns an attempt that was taken and then not made.
func (r *Ratio) GiveBack() { r.grant(whole) }

func (r *Ratio) floor(now clock.Milli) {
	n := (now - r.floored) / r.cfg.Floor
	if n <= 0 {
		return
	}
	r.floored += n * r.cfg.Floor
	r.grant(int64(min(n, clock.Milli(r.cfg.Burst))) * whole)
}

func (r *Ratio) grant(tokens int64) {
	r.tokens = min(r.tokens+tokens, int64(r.cfg.Burst)*whole)
}
