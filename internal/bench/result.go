package bench

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// binLength is the time resolution of goodput.
const binLength = 100 * clock.Millisecond

// recoveryBins is the number of bins over which recovery is judged.
const recoveryBins = 5

// Result is what a scene gave under a system.
type Result struct {
	scenario *Scenario
	System   System
	// succeededByBin counts the requests met in each bin.
	succeededByBin []int
	// met and lost count requests by importance whose end fell in the cause.
	succeeded, failed [rules.Vital + 1]int
	// latencies holds the latencies of met requests that ended in the cause.
	latencies []micro
	// calls and attempts count the daemons' calls that were sent at all, and
	// all that was sent, in the cause.
	calls, attempts, spills int
	// slotTime is the slot time that targets gave in the cause, usefulSlotTime the part
	// of it for requests that were met.
	slotTime, usefulSlotTime micro
	shedCheck                shedCheck
}

func newResult(scenario *Scenario, system System) Result {
	return Result{
		scenario:       scenario,
		System:         system,
		succeededByBin: make([]int, scenario.Length/binLength+1),
		shedCheck:      newShedCheck(),
	}
}

func (r *Result) recordSuccess(at micro, root *rootRequest, req *requestContext) {
	now := at.milli()
	r.succeededByBin[now/binLength]++
	if r.scenario.isDisturbed(now) {
		r.succeeded[root.stream.Importance]++
		r.usefulSlotTime += req.slotTime
		r.latencies = append(r.latencies, at-root.start)
	}
}

func (r *Result) recordFailure(at micro, root *rootRequest) {
	if r.scenario.isDisturbed(at.milli()) {
		r.failed[root.stream.Importance]++
	}
}

// recordSlotTime counts the slot time of a visit that ends.
func (r *Result) recordSlotTime(at micro, c *inboundCall) {
	c.req.slotTime += at - c.began
	if r.scenario.isDisturbed(at.milli()) && c.op.Cost == rules.Short {
		r.slotTime += at - c.began
	}
}

// recordAttempt records that an attempt of a call is sent.
func (r *Result) recordAttempt(c *call, choice pick.Choice) {
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

// Goodput returns the requests met in a second of the cause.
func (r *Result) Goodput() float64 {
	return r.goodputBetween(r.scenario.Begin, r.scenario.End)
}

// OptimumShare returns the part of the optimum that was met in the cause.
func (r *Result) OptimumShare() float64 { return r.Goodput() / r.scenario.optimalGoodput() }

func (r *Result) goodputBetween(from, to clock.Milli) float64 {
	sum := 0
	for _, n := range r.succeededByBin[from/binLength : to/binLength] {
		sum += n
	}
	return float64(sum) / float64(to-from) * float64(clock.Second)
}

// SuccessRate returns the part of the requests of an importance that were met.
func (r *Result) SuccessRate(importance rules.Importance) float64 {
	all := r.succeeded[importance] + r.failed[importance]
	if all == 0 {
		return 1
	}
	return float64(r.succeeded[importance]) / float64(all)
}

// Recovery returns the time from the end of the cause until goodput is back
// at 95% of what it was before, or the rest of the scene if it never is.
func (r *Result) Recovery() clock.Milli {
	calm := r.goodputBetween(r.scenario.Begin-2*clock.Second, r.scenario.Begin)
	for at := r.scenario.End; at+recoveryBins*binLength <= r.scenario.Length; at += binLength {
		if r.goodputBetween(at, at+recoveryBins*binLength) >= calm*0.95 {
			return at - r.scenario.End
		}
	}
	return r.scenario.Length - r.scenario.End
}

// Amplification returns the attempts for each call that was sent.
func (r *Result) Amplification() float64 {
	return float64(r.attempts) / float64(max(r.calls, 1))
}

// WastedShare returns the part of the slot time in the cause that went to requests
// that were not met.
func (r *Result) WastedShare() float64 {
	return max(0, 1-float64(r.usefulSlotTime)/float64(max(r.slotTime, 1)))
}

// Latency returns the p-th percentile of the latency of requests met in the
// cause, in milliseconds.
func (r *Result) Latency(p int) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.latencies))
	return float64(sorted[(len(sorted)-1)*p/100]) / perMilli
}

// Violations returns how often a request was refused while one of lower
// importance was kept, at gates and at the daemons that send.
func (r *Result) Violations() (atGates, atHops int) { return r.shedCheck.atGates, r.shedCheck.atHops }

// Spills returns the number of calls that crossed the regional link.
func (r *Result) Spills() int { return r.spills }

// Run plays a scene under a system.
func Run(scenario Scenario, system System) Result {
	f := newFleet(&scenario, system)
	f.scheduleArrivals()
	f.startLongRequests()
	f.run(toMicro(scenario.Length))
	return f.result
}
