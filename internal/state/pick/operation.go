package pick

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the latency estimates.
const (
	// latencySamples is the number of recent latencies kept for an operation.
	latencySamples = 128
	// recomputeEvery is the number of new latencies between two computations
	// of the quantiles.
	recomputeEvery = 16
	// hedgePercentile is the latency percentile after which a call is hedged.
	hedgePercentile = 95
	// hedgeMinPercent and hedgeMaxPercent bound the hedge delay, in percent of
	// the median latency.
	hedgeMinPercent = 150
	hedgeMaxPercent = 250
	// hedgeMinSamples is the number of latencies needed for an estimate.
	hedgeMinSamples = 20
)

// operation holds the state of one operation over all targets.
type operation struct {
	nearThresholds statedThresholds
	farThresholds  statedThresholds
	spill          spill
	cost           rules.Cost
	latencies      [latencySamples]clock.Milli
	samples        int
	median         clock.Milli
	highLatency    clock.Milli
	// service is the usual service time in milliseconds, a running median over
	// all targets without network and wait, 0 if unknown.
	service float64
}

func (o *operation) add(took clock.Milli) {
	o.latencies[o.samples%latencySamples] = took
	o.samples++
	if o.samples <= recomputeEvery || o.samples%recomputeEvery == 0 {
		o.updateQuantiles()
	}
}

func (o *operation) updateQuantiles() {
	sorted := o.latencies
	window := sorted[:min(o.samples, latencySamples)]
	slices.Sort(window)
	o.median = window[len(window)/2]
	o.highLatency = window[len(window)*hedgePercentile/100]
}

// usualLatency returns the median latency in milliseconds, at least 1, or 0 if
// no call has finished.
func (o *operation) usualLatency() float64 {
	if o.samples == 0 {
		return 0
	}
	return max(float64(o.median), 1)
}
