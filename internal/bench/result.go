package bench

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// binTime is the time resolution of goodput.
const binTime = 100 * clock.Millisecond

// recoverBins is the number of bins over which recovery is judged.
const recoverBins = 5

// Result is what a scene gave under a system.
type Result struct {
	scene  *Scenario
	System System
	// good counts the requests met in each bin.
	good []int
	// met and lost count requests by importance whose end fell in the cause.
	metBy, lostBy [rules.Vital + 1]int
	// short holds the latencies of met requests that ended in the cause.
	short []micro
	// calls and attempts count the daemons' calls that were sent at all, and
	// all that was sent, in the cause.
	calls, attempts, spills int
	// busy is the slot time that targets gave in the cause, useful the part
	// of it for requests that were met.
	busy, useful micro
	order        order
}

func newResult(scene *Scenario, system System) Result {
	return Result{
		scene:  scene,
		System: system,
		good:   make([]int, scene.Length/binTime+1),
		order:  newOrder(),
	}
}

func (r *Result) met(at micro, w *wish, req *request) {
	now := at.milli()
	r.good[now/binTime]++
	if r.scene.inCause(now) {
		r.metBy[w.stream.Importance]++
		r.useful += req.spent
		r.short = append(r.short, at-w.began)
	}
}

func (r *Result) lost(at micro, w *wish) {
	if r.scene.inCause(at.milli()) {
		r.lostBy[w.stream.Importance]++
	}
}

// spend counts the slot time of a visit that ends.
func (r *Result) spend(at micro, v *visit) {
	v.req.spent += at - v.began
	if r.scene.inCause(at.milli()) && v.op.Cost == rules.Short {
		r.busy += at - v.began
	}
}

// count records that an attempt of a call is sent.
func (r *Result) count(c *call, choice pick.Choice) {
	if !r.scene.inCause(c.d.f.now()) {
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
	return r.rate(r.scene.Begin, r.scene.End)
}

// OptimumShare returns the part of the optimum that was met in the cause.
func (r *Result) OptimumShare() float64 { return r.Goodput() / r.scene.optimum() }

func (r *Result) rate(from, to clock.Milli) float64 {
	sum := 0
	for _, n := range r.good[from/binTime : to/binTime] {
		sum += n
	}
	return float64(sum) / float64(to-from) * float64(clock.Second)
}

// SuccessRate returns the part of the requests of an importance that were met.
func (r *Result) SuccessRate(importance rules.Importance) float64 {
	all := r.metBy[importance] + r.lostBy[importance]
	if all == 0 {
		return 1
	}
	return float64(r.metBy[importance]) / float64(all)
}

// Recovery returns the time from the end of the cause until goodput is back
// at 95% of what it was before, or the rest of the scene if it never is.
func (r *Result) Recovery() clock.Milli {
	calm := r.rate(r.scene.Begin-2*clock.Second, r.scene.Begin)
	for at := r.scene.End; at+recoverBins*binTime <= r.scene.Length; at += binTime {
		if r.rate(at, at+recoverBins*binTime) >= calm*0.95 {
			return at - r.scene.End
		}
	}
	return r.scene.Length - r.scene.End
}

// Amplification returns the attempts for each call that was sent.
func (r *Result) Amplification() float64 {
	return float64(r.attempts) / float64(max(r.calls, 1))
}

// WastedShare returns the part of the slot time in the cause that went to requests
// that were not met.
func (r *Result) WastedShare() float64 {
	return max(0, 1-float64(r.useful)/float64(max(r.busy, 1)))
}

// Latency returns the p-th percentile of the latency of requests met in the
// cause, in milliseconds.
func (r *Result) Latency(p int) float64 {
	if len(r.short) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.short))
	return float64(sorted[(len(sorted)-1)*p/100]) / perMilli
}

// Violations returns how often a request was refused while one of lower
// importance was kept, at gates and at the daemons that send.
func (r *Result) Violations() (atGates, atHops int) { return r.order.atGates, r.order.atHops }

// Spills returns the number of calls that crossed the regional link.
func (r *Result) Spills() int { return r.spills }

// Run plays a scene under a system.
func Run(scene Scenario, system System) Result {
	f := newFleet(&scene, system)
	f.arrivals()
	f.startLong()
	f.run(toMicro(scene.Length))
	return f.result
}
