package pick

import (
	"math"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of a target's state.
const (
	// hintLife is the age up to which a hint counts.
	hintLife = clock.Second
	// forgetTime is the time constant with which a target's slowness fades
	// while no call to it finishes.
	forgetTime = 2 * clock.Second
	// slowWeight is the weight of one sample in a target's slowness.
	slowWeight = 1.0 / 8
	// staleWeight bounds the weight of one sample after a long silence.
	staleWeight = 0.5
	// rampTime is the time over which a target that started gains its whole
	// weight.
	rampTime = 10 * clock.Second
	// rampFirst is the weight of a target that starts now.
	rampFirst = 0.1
	// canceledSlowness is the factor between how late a canceled call was and
	// how late it is taken to have become: the end was not seen.
	canceledSlowness = 1.5
	// failedSlowness counts a failed call as one this much slower than usual.
	failedSlowness = 8.0
)

// Call is a call that is out. The zero value stands for none.
type Call struct {
	id uint64
	at clock.Milli
	to string
	op string
}

// flight is what a target keeps of a call that is out.
type flight struct {
	at   clock.Milli
	base float64
	cost rules.Cost
}

// target is what a picker knows of one target.
type target struct {
	Candidate
	flights map[uint64]flight
	// slow is how much longer calls take here than usual; 1 is usual.
	slow   float64
	last   clock.Milli
	hint   LoadReport
	hintAt clock.Milli
	// weight is the chance of being considered when drawn.
	weight     float64
	thresholds map[string]statement
}

func newTarget(c Candidate) *target {
	return &target{
		Candidate:  c,
		slow:       1,
		hintAt:     -hintLife,
		weight:     1,
		flights:    make(map[uint64]flight),
		thresholds: make(map[string]statement),
	}
}

// passes reports whether the target is not known to refuse the query.
func (t *target) passes(now clock.Milli, q *Query) bool {
	s, ok := t.thresholds[q.Op]
	if !ok {
		return true
	}
	return s.present(now).Passes(q.Importance, q.RootHash)
}

// canTake reports whether the target is known to have room for the query and
// stated last that it sheds nothing of its operation. Here a statement does
// not open with age.
func (t *target) canTake(now clock.Milli, q *Query) bool {
	s, ok := t.thresholds[q.Op]
	if ok && !s.threshold.IsOpen() {
		return false
	}
	return t.isReported(now) && t.load(now, q.Cost) < hotLoad && t.weight >= halfWeight
}

// ramp returns the part of its capacity that a starting target is given.
func (t *target) ramp(now clock.Milli) float64 {
	if t.Started == 0 || now-t.Started >= rampTime {
		return 1
	}
	return max(rampFirst, float64(now-t.Started)/float64(rampTime))
}

// isReported reports whether a report of the target's load is fresh.
func (t *target) isReported(now clock.Milli) bool { return now-t.hintAt < hintLife }

// load returns the requests of a cost class at the target for each slot that
// they may have. The own view is a lower bound; a fresh hint adds what others
// send.
func (t *target) load(now clock.Milli, cost rules.Cost) float64 {
	running := 0
	for _, f := range t.flights {
		if f.cost == cost {
			running++
		}
	}
	slots := max(t.Slots, 1)
	if t.isReported(now) {
		lane := t.hint.Short
		if cost == rules.Long {
			lane = t.hint.Long
		}
		running = max(running, lane.Running)
		if lane.Limit > 0 {
			slots = min(slots, lane.Limit)
		}
	}
	return float64(running) / (float64(slots) * t.ramp(now))
}

// slowness returns how much longer than usual a call takes now. A call that
// is out for longer than the finished ones took counts at once. What was
// learned fades, so that a target is tried again, with one call at a time.
func (t *target) slowness(now clock.Milli) float64 {
	slow := t.slow
	if len(t.flights) == 0 {
		slow = 1 + (t.slow-1)*math.Exp(-float64(now-t.last)/float64(forgetTime))
	}
	for _, f := range t.flights {
		if f.base > 0 {
			slow = max(slow, float64(now-f.at)/f.base)
		}
	}
	return slow
}

// learn adds a sample of the slowness. It counts the more the longer ago the
// last one was.
func (t *target) learn(now clock.Milli, ratio float64) {
	weight := max(slowWeight, 1-math.Exp(-float64(now-t.last)/float64(forgetTime)))
	t.slow += (ratio - t.slow) * min(weight, staleWeight)
	t.last = now
}
