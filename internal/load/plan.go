package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// Plan is a reproducible load: the same plan yields the same arrivals.
type Plan struct {
	Phases []Phase
	Calls  []Call
	Seed   uint64
	// Name is the prefix of each key, so that the keys of two plans differ.
	Name string
}

// Arrival is one call of a plan.
type Arrival struct {
	// At is the intended start, relative to the start of the plan.
	At    time.Duration
	Phase int
	// Call is an index into the plan's calls.
	Call int
	// Key is the idempotency key, unique in the plan.
	Key string
	// Random is a random number for the generator, which chooses entry points
	// with it.
	Random uint64
}

// Check returns an [*Error] if the plan is invalid.
func (p Plan) Check() error {
	if len(p.Phases) == 0 || p.totalWeight() <= 0 {
		return &Error{
			Op:   "check plan",
			Kind: Unusable,
			Err:  errors.New("a plan needs a phase and a call with a weight"),
		}
	}
	for _, phase := range p.Phases {
		if phase.Length <= 0 || phase.Rate <= 0 {
			return &Error{
				Op:   "check plan",
				Kind: Unusable,
				Err:  fmt.Errorf("phase %q needs a positive length and rate", phase.Name),
			}
		}
	}
	return nil
}

// Length returns the total length of all phases.
func (p Plan) Length() clock.Milli {
	length := clock.Milli(0)
	for _, phase := range p.Phases {
		length += phase.Length
	}
	return length
}

func (p Plan) totalWeight() int {
	sum := 0
	for _, c := range p.Calls {
		sum += c.Weight
	}
	return sum
}

// Arrivals draws a Poisson process whose rate changes with the phase. Create
// it with [Plan.Arrivals].
type Arrivals struct {
	plan        Plan
	totalWeight int
	rng         *rand.Rand
	at          time.Duration
	phase       int
	phaseEnd    time.Duration
	drawn       int
}

// Arrivals returns the arrivals of the plan from its start. The plan must have
// passed [Plan.Check].
func (p Plan) Arrivals() *Arrivals {
	return &Arrivals{
		plan:        p,
		totalWeight: p.totalWeight(),
		rng:         rand.New(rand.NewPCG(p.Seed, 1)),
		phaseEnd:    p.Phases[0].Length.Duration(),
	}
}

// Next returns the next arrival, and false after the last one.
func (a *Arrivals) Next() (Arrival, bool) {
	for a.phase < len(a.plan.Phases) {
		gap := a.rng.ExpFloat64() / a.plan.Phases[a.phase].Rate
		at := a.at + time.Duration(gap*float64(time.Second))
		if at < a.phaseEnd {
			a.at = at
			return a.arrival(), true
		}
		// Exponential gaps are memoryless, so the process may restart at the
		// beginning of each phase.
		a.at = a.phaseEnd
		a.phase++
		if a.phase < len(a.plan.Phases) {
			a.phaseEnd += a.plan.Phases[a.phase].Length.Duration()
		}
	}
	return Arrival{}, false
}

func (a *Arrivals) arrival() Arrival {
	a.drawn++
	return Arrival{
		At:     a.at,
		Phase:  a.phase,
		Call:   a.drawCall(),
		Key:    fmt.Sprintf("%s-%d", a.plan.Name, a.drawn),
		Random: a.rng.Uint64(),
	}
}

// drawCall chooses a call at random by weight.
func (a *Arrivals) drawCall() int {
	remainder := a.rng.IntN(a.totalWeight)
	for i, c := range a.plan.Calls {
		remainder -= c.Weight
		if remainder < 0 {
			return i
		}
	}
	return len(a.plan.Calls) - 1
}
