package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of what an estimator keeps.
const (
	// maxPaths bounds the paths learned one by one; others share their
	// cost class.
	maxPaths = 256
	// sampleWeight is the weight of one sample in a moving average.
	sampleWeight = 1.0 / 16
	// staleAfter is the time without a sample after which an average starts
	// to fall, so that a high one cannot refuse for ever.
	staleAfter = clock.Second
)

// average is an exponentially weighted moving average of service times.
type average struct {
	value float64
	last  clock.Milli
	n     int
}

func (a *average) add(now, took clock.Milli) {
	a.n++
	a.last = now
	weight := max(sampleWeight, 1/float64(a.n))
	a.value += (float64(took) - a.value) * weight
}

// at returns the average at now: halved for every staleAfter without a sample.
func (a *average) at(now clock.Milli) float64 {
	value := a.value
	for idle := now - a.last; idle >= staleAfter && value >= 1; idle -= staleAfter {
		value /= 2
	}
	return value
}

// estimator learns service times for each path and each cost class.
type estimator struct {
	paths   map[string]*average
	classes [2]average
}

func newEstimator() estimator {
	return estimator{
		paths: make(map[string]*average),
	}
}

func (e *estimator) add(now clock.Milli, w *Request, took clock.Milli) {
	e.classes[w.Cost].add(now, took)
	a, ok := e.paths[w.Path]
	if !ok {
		if len(e.paths) >= maxPaths {
			return
		}
		a = &average{}
		e.paths[w.Path] = a
	}
	a.add(now, took)
}

// expect returns the expected service time of w in milliseconds, 0 if unknown.
func (e *estimator) expect(now clock.Milli, w *Request) float64 {
	if w.ExpectedTime > 0 {
		return float64(w.ExpectedTime)
	}
	if a, ok := e.paths[w.Path]; ok {
		return a.at(now)
	}
	return e.classes[w.Cost].at(now)
}

// class returns the expected service time of a cost class.
func (e *estimator) class(now clock.Milli, cost rules.Cost) float64 {
	return e.classes[cost].at(now)
}
