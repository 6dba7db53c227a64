package retry

import "siskinswitch.example/siskin/pkg/clock"

// DefaultMaxPairs is the bound on the pairs of a [Ratios] when
// RatiosConfig.MaxPairs is zero.
const DefaultMaxPairs = 4096

// RatiosConfig configures a [Ratios].
type RatiosConfig struct {
	// Ratio configures the retry budget of each pair.
	Ratio RatioConfig
	// MaxPairs bounds the pairs that have a retry budget of their own. Pairs
	// beyond the bound share a single budget until [Ratios.Sweep] drops idle
	// pairs.
	MaxPairs int
}

// Pair identifies the retry budget of a caller at a target.
type Pair struct {
	Caller string
	Target string
}

// Ratios holds the [Ratio] of each pair of caller and target. It is not safe
// for concurrent use.
type Ratios struct {
	cfg    RatiosConfig
	ratios map[Pair]*entry
	shared *Ratio
}

type entry struct {
	ratio    *Ratio
	lastUsed clock.Milli
}

// NewRatios returns a Ratios without pairs.
func NewRatios(cfg RatiosConfig, now clock.Milli) *Ratios {
	if cfg.MaxPairs <= 0 {
		cfg.MaxPairs = DefaultMaxPairs
	}
	return &Ratios{
		cfg:    cfg,
		ratios: make(map[Pair]*entry),
		shared: NewRatio(cfg.Ratio, now),
	}
}

// Success records a successful first attempt of the pair.
func (b *Ratios) Success(now clock.Milli, p Pair) { b.ratioFor(now, p).Success() }

// Take takes one extra attempt from the budget of the pair and reports whether
// one was available.
func (b *Ratios) Take(now clock.Milli, p Pair) bool { return b.ratioFor(now, p).Take(now) }

// Refund returns an extra attempt of the pair that was taken but not made.
func (b *Ratios) Refund(now clock.Milli, p Pair) { b.ratioFor(now, p).Refund() }

// Sweep drops the pairs that have not been used for idle. A dropped pair that
// is used again starts like a new one, with a single extra attempt.
func (b *Ratios) Sweep(now, idle clock.Milli) {
	for p, e := range b.ratios {
		if now-e.lastUsed >= idle {
			delete(b.ratios, p)
		}
	}
}

func (b *Ratios) ratioFor(now clock.Milli, p Pair) *Ratio {
	e := b.ratios[p]
	if e == nil {
		if len(b.ratios) >= b.cfg.MaxPairs {
			return b.shared
		}
		e = &entry{ratio: NewRatio(b.cfg.Ratio, now)}
		b.ratios[p] = e
	}
	e.lastUsed = now
	return e.ratio
}
