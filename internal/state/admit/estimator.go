package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of what an estimator keeps.
const (
	// maxPaths bounds the paths that have an average of their own; other paths
	// use the average of their cost class.
	maxPaths = 256
	// sampleWeight is the weight of one sample in a moving average.
	sampleWeight = 1.0 / 16
	// staleAfter is the time without a sample after which an average starts to
	// fall. Otherwise a high average could refuse every request of its path,
	// and no new sample could correct it.
	staleAfter = clock.Second
)

// average is an exponentially weighted moving average of service times.
type average struct {
	value     float64
	sampledAt clock.Milli
	samples   int
}

func (a *average) add(now, took clock.Milli) {
	a.samples++
	a.sampledAt = now
	weight := max(sampleWeight, 1/float64(a.samples))
	a.value += (float64(took) - a.value) * weight
}

// valueAt returns the average at now, halved for every staleAfter without a
// sample.
func (a *average) valueAt(now clock.Milli) float64 {
	value := a.value
	for idle := now - a.sampledAt; idle >= staleAfter && value >= 1; idle -= staleAfter {
		value /= 2
	}
	return value
}

// estimator learns the service times of each path and of each cost class.
type estimator struct {
	byPath map[string]*average
	byCost [2]average
}

func newEstimator() estimator {
	return estimator{
		byPath: make(map[string]*average),
	}
}

func (e *estimator) add(now clock.Milli, r *Request, took clock.Milli) {
	e.byCost[r.Cost].add(now, took)
	a, ok := e.byPath[r.Path]
	if !ok {
		if len(e.byPath) >= maxPaths {
			return
		}
		a = &average{}
		e.byPath[r.Path] = a
	}
	a.add(now, took)
}

// expectedTime returns the expected service time of r in milliseconds, 0 if
// unknown.
func (e *estimator) expectedTime(now clock.Milli, r *Request) float64 {
	if r.ExpectedTime > 0 {
		return float64(r.ExpectedTime)
	}
	if a, ok := e.byPath[r.Path]; ok {
		return a.valueAt(now)
	}
	return e.byCost[r.Cost].valueAt(now)
}

// classTime returns the expected service time of a cost class in milliseconds.
func (e *estimator) classTime(now clock.Milli, cost rules.Cost) float64 {
	return e.byCost[cost].valueAt(now)
}
