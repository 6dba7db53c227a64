package bench

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// binLength is the resolution of goodput over time.
const binLength = 100 * clock.Millisecond

// recoveryBins is the number of bins that must reach the goodput of before for
// recovery.
const recoveryBins = 5

// Result holds the measurements of a scenario under a system.
type Result struct {
	scenario *Scenario
	System   System
	// succeededByBin counts the successful root requests by the bin of their end.
	succeededByBin []int
	// admitted counts the attempts at root requests that ended during the
	// disturbance after a target had worked on them, refusedEarly those that
	// failed before any work.
	admitted, refusedEarly int
	// succeeded and failed count the root requests that ended during the
	// disturbance by importance.
	succeeded, failed [rules.Vital + 1]int
	// latencies holds the latencies of successful root requests that ended
	// during the disturbance.
	latencies []micro
	// calls, attempts and spills count what daemons sent during the disturbance:
	// calls with at least one attempt, all attempts, and attempts that crossed
	// regions.
	calls, attempts, spills int
	// slotTime is the time that short calls occupied slots during the
	// disturbance. usefulSlotTime is the part spent on successful root requests.
	slotTime, usefulSlotTime micro
	shedCheck                shedCheck
	crossing                 crossing
}

func newResult(scenario *Scenario, system System) Result {
	return Result{
		scenario:       scenario,
		System:         system,
		succeededByBin: make([]int, scenario.Length/binLength+1),
		shedCheck:      newShedCheck(),
		crossing:       newCrossing(scenario.Length),
	}
}

func (r *Result) recordSuccess(at micro, root *rootRequest, req *requestContext) {
	now := at.milli()
	r.succeededByBin[now/binLength]++
	if r.scenario.isDisturbed(now) {
		r.succeeded[root.stream.Importance]++
		r.crossing.served[root.region]++
		r.usefulSlotTime += req.slotTime
		r.latencies = append(r.latencies, at-root.start)
	}
}

func (r *Result) recordFailure(at micro, root *rootRequest) {
	if r.scenario.isDisturbed(at.milli()) {
		r.failed[root.stream.Importance]++
		r.crossing.failed[root.region]++
	}
}

// recordAttemptEnd counts an attempt at a root request that has ended.
func (r *Result) recordAttemptEnd(at micro, req *requestContext, succeeded bool) {
	switch {
	case !r.scenario.isDisturbed(at.milli()):
	case succeeded || req.slotTime > 0:
		r.admitted++
	default:
		r.refusedEarly++
	}
}

// WholeShare returns the fraction of the attempts at root requests that succeeded
// among those that a target had worked on, 1 if there were none.
func (r *Result) WholeShare() float64 {
	if r.admitted == 0 {
		return 1
	}
	return float64(len(r.latencies)) / float64(r.admitted)
}

// recordSlotTime adds the slot time of a call that ends.
func (r *Result) recordSlotTime(at micro, c *inboundCall) {
	c.req.slotTime += at - c.began
	if r.scenario.isDisturbed(at.milli()) && c.op.Cost == rules.Short {
		r.slotTime += at - c.began
	}
}

// recordAttempt counts an attempt that is sent.
func (r *Result) recordAttempt(c *call, choice pick.Choice) {
	if choice.Spill {
		r.recordCrossing(c)
	}
	if !r.scenario.isDisturbed(c.d.f.now()) {
		return
	}
	if len(c.tried) == 0 {
		r.calls++
	}
	r.attempts++
	if choice.Spill {
		r.spills++
	}
}

// Goodput returns the successful root requests per second during the
// disturbance.
func (r *Result) Goodput() float64 {
	return r.goodputBetween(r.scenario.Begin, r.scenario.End)
}

// OptimumShare returns Goodput as a fraction of the optimum.
func (r *Result) OptimumShare() float64 { return r.Goodput() / r.scenario.optimalGoodput() }

func (r *Result) goodputBetween(from, to clock.Milli) float64 {
	sum := 0
	for _, n := range r.succeededByBin[from/binLength : to/binLength] {
		sum += n
	}
	return float64(sum) / float64(to-from) * float64(clock.Second)
}

// SuccessRate returns the fraction of the root requests of an importance that
// succeeded, 1 if there were none.
func (r *Result) SuccessRate(importance rules.Importance) float64 {
	all := r.succeeded[importance] + r.failed[importance]
	if all == 0 {
		return 1
	}
	return float64(r.succeeded[importance]) / float64(all)
}

// Recovery returns the time from the end of the disturbance until goodput is
// back at 95% of its level before it, or the rest of the scenario if that is
// never reached.
func (r *Result) Recovery() clock.Milli {
	calm := r.goodputBetween(r.scenario.Begin-2*clock.Second, r.scenario.Begin)
	for at := r.scenario.End; at+recoveryBins*binLength <= r.scenario.Length; at += binLength {
		if r.goodputBetween(at, at+recoveryBins*binLength) >= calm*0.95 {
			return at - r.scenario.End
		}
	}
	return r.scenario.Length - r.scenario.End
}

// Amplification returns the number of attempts per call.
func (r *Result) Amplification() float64 {
	return float64(r.attempts) / float64(max(r.calls, 1))
}

// WastedShare returns the fraction of the slot time during the disturbance that
// was spent on root requests that did not succeed.
func (r *Result) WastedShare() float64 {
	return max(0, 1-float64(r.usefulSlotTime)/float64(max(r.slotTime, 1)))
}

// Latency returns the p-th percentile of the latency in milliseconds, over the
// successful root requests that ended during the disturbance. It returns 0 if
// there were none.
func (r *Result) Latency(p int) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.latencies))
	return float64(sorted[(len(sorted)-1)*p/100]) / perMilli
}

// Violations returns how often a request was refused while one of lower
// importance was kept, at the gates of targets and at the sending daemons.
func (r *Result) Violations() (atGates, atHops int) { return r.shedCheck.atGates, r.shedCheck.atHops }

// Spills returns the number of attempts that crossed regions.
func (r *Result) Spills() int { return r.spills }

// Run simulates a scenario under a system.
func Run(scenario Scenario, system System) Result {
	f := newFleet(&scenario, system)
	f.startArrivals()
	f.startLongRequests()
	f.run(toMicro(scenario.Length))
	return f.result
}
