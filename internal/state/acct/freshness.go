package acct

import (
	"math"
	"sync/atomic"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// trustPercent is the share of the bound for which a proof is trusted. The
	// rest covers clocks that run at different speeds and work between the check
	// of a key and the answer of the store that the age is counted from.
	trustPercent = 90
	// renewPercent is the share of the bound after which a proof may be renewed. A
	// daemon that then loses the store goes on for 0.6 of the bound, which callers may
	// rely on.
	renewPercent = 30
	// renewSpreadPercent is the further share of the bound over which the daemons of a
	// fleet spread their renewals. All learn of the first one from each other's
	// answers, so few of them need one of their own.
	renewSpreadPercent = 25
	// renewSkew makes most daemons draw a late renewal, so that few draw the first.
	renewSkew = 0.25
)

// Freshness decides whether the configuration in force is recent enough to let
// requests with keys in. A proof is an instant at which the configuration was
// known to be the newest: when a read of the store was sent that did not bring a
// newer one, or when a request was sent whose answer carried another daemon's
// proof, less the age of that proof. The instants must be those of a clock that
// goes on while the host is suspended. It is safe for concurrent use.
type Freshness struct {
	// bound is the time within which a withdrawn key must be refused everywhere,
	// 0 if there is no such time.
	bound clock.Milli
	// draw returns a random number in [0, 1).
	draw func() float64
	// renewAge is the age at which the latest proof is due.
	renewAge atomic.Int64
	// provenAt is the instant of the latest proof, 0 if there was none.
	provenAt atomic.Int64
}

// NewFreshness returns a decision without a proof. A bound of 0 trusts any
// configuration. draw returns random numbers in [0, 1).
func NewFreshness(bound clock.Milli, draw func() float64) *Freshness {
	return &Freshness{
		bound: bound,
		draw:  draw,
	}
}

// InForce reports whether there is a bound.
func (f *Freshness) InForce() bool { return f.bound > 0 }

// Prove records that the configuration in force was the newest at an instant. An
// earlier instant than the latest one changes nothing.
func (f *Freshness) Prove(at clock.Milli) {
	for {
		latest := f.provenAt.Load()
		if int64(at) <= latest {
			return
		}
		if f.provenAt.CompareAndSwap(latest, int64(at)) {
			f.renewAge.Store(int64(f.drawRenewAge()))
			return
		}
	}
}

// drawRenewAge returns the age at which a proof is due.
func (f *Freshness) drawRenewAge() clock.Milli {
	percent := renewPercent + renewSpreadPercent*math.Pow(f.draw(), renewSkew)
	return clock.Milli(float64(f.bound) * percent / 100)
}

// Age returns the time since the latest proof, and false if there was none.
func (f *Freshness) Age(now clock.Milli) (clock.Milli, bool) {
	at := f.provenAt.Load()
	if at == 0 {
		return 0, false
	}
	return max(now-clock.Milli(at), 0), true
}

// IsTrusted reports whether requests with keys may be let in.
func (f *Freshness) IsTrusted(now clock.Milli) bool {
	if !f.InForce() {
		return true
	}
	age, ok := f.Age(now)
	return ok && age <= f.bound*trustPercent/100
}

// IsDue reports whether the proof should be renewed.
func (f *Freshness) IsDue(now clock.Milli) bool {
	if !f.InForce() {
		return false
	}
	age, ok := f.Age(now)
	return !ok || age >= clock.Milli(f.renewAge.Load())
}
