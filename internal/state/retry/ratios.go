package retry

import "siskinswitch.example/siskin/pkg/clock"

// DefaultMaxPairs bounds the pairs of a Budgets when Config.Pairs is zero.
const DefaultMaxPairs = 4096

// RatiosConfig configures a Budgets.
type RatiosConfig struct {
	// Ratio configures the budget of each pair.
	Ratio RatioConfig
	// MaxPairs bounds the pairs that have a budget of their own. Later pairs
	// share one until others have been idle.
	MaxPairs int
}

// Pair is a caller and a target.
type Pair struct {
	Caller string
	Target string
}

// Ratios holds the Ratio of each pair of caller and target. It is not safe
// for concurrent use.
type Ratios struct {
	cfg    RatiosConfig
	ratios map[Pair]*slot
	common *Ratio
}

type slot struct {
	ratio *Ratio
	used  clock.Milli
}

// NewRatios returns a Budgets without pairs.
func NewRatios(cfg RatiosConfig, now clock.Milli) *Ratios {
	if cfg.MaxPairs <= 0 {
		cfg.MaxPairs = DefaultMaxPairs
	}
	return &Ratios{
		cfg:    cfg,
		ratios: make(map[Pair]*slot),
		common: NewRatio(cfg.Ratio, now),
	}
}

// Success records a successful first attempt of the pair.
func (b *Ratios) Success(now clock.Milli, p Pair) { b.ratio(now, p).Success() }

// Take takes one extra attempt of the pair and reports whether there was one.
func (b *Ratios) Take(now clock.Milli, p Pair) bool { return b.ratio(now, p).Take(now) }

// Refund returns an attempt of the pair that was taken and then not made.
func (b *Ratios) Refund(now clock.Milli, p Pair) { b.ratio(now, p).Refund() }

// Sweep drops the pairs that have not been used for idle. A pair that comes
// back starts as a new one, with a single attempt.
func (b *Ratios) Sweep(now, idle clock.Milli) {
	for p, s := range b.ratios {
		if now-s.used >= idle {
			delete(b.ratios, p)
		}
	}
}

func (b *Ratios) ratio(now clock.Milli, p Pair) *Ratio {
	s := b.ratios[p]
	if s == nil {
		if len(b.ratios) >= b.cfg.MaxPairs {
			return b.common
		}
		s = &slot{ratio: NewRatio(b.cfg.Ratio, now)}
		b.ratios[p] = s
	}
	s.used = now
	return s.ratio
}
