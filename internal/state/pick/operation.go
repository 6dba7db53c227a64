package pick

import (
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Parameters of the latency model.
const (
	// ringSize is the number of recent latencies kept for an operation.
	ringSize = 128
	// sortEvery is the number of latencies between two computations of
	// quantiles.
	sortEvery = 16
	// hedgeQuantile is the quantile, in percent, after which a call is late.
	hedgeQuantile = 95
	// hedgeLow and hedgeHigh bound that, in percent of the median.
	hedgeLow  = 150
	hedgeHigh = 250
	// hedgeLeast is the number of latencies needed for an estimate.
	hedgeLeast = 20
)

// operation keeps what is known of one operation over all targets.
type operation struct {
	near   statements
	far    statements
	spill  spill
	cost   rules.Cost
	ring   [ringSize]clock.Milli
	n      int
	median clock.Milli
	late   clock.Milli
}

func (o *operation) add(took clock.Milli) {
	o.ring[o.n%ringSize] = took
	o.n++
	if o.n <= sortEvery || o.n%sortEvery == 0 {
		o.compute()
	}
}

func (o *operation) compute() {
	sorted := o.ring
	window := sorted[:min(o.n, ringSize)]
	slices.Sort(window)
	o.median = window[len(window)/2]
	o.late = window[len(window)*hedgeQuantile/100]
}

// base returns the usual latency, at least a millisecond, and 0 if unknown.
func (o *operation) base() float64 {
	if o.n == 0 {
		return 0
	}
	return max(float64(o.median), 1)
}
