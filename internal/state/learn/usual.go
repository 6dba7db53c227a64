package learn

import "siskinswitch.example/siskin/pkg/clock"

const (
	// maxPaths bounds the paths that have a usual time of their own. All others share
	// one.
	maxPaths = 256
	// usualTime is the time constant with which the usual time of a path follows.
	usualTime = clock.Minute
	// minUsualSamples is the number of requests over which the first usual time is a
	// plain mean.
	minUsualSamples = 32
	// leastUsual is the least usual time in milliseconds; the clock shows no less.
	leastUsual = 0.5
)

// usualTimes holds the usual own time of the requests of each path, in
// milliseconds.
type usualTimes struct {
	byPath map[string]*usualTimeOf
	others usualTimeOf
}

type usualTimeOf struct {
	mean      float64
	samples   int
	sampledAt clock.Milli
}

func newUsualTimes() usualTimes {
	return usualTimes{
		byPath: make(map[string]*usualTimeOf),
	}
}

// add adds the own time of a request and returns the usual time of its path.
func (u *usualTimes) add(now clock.Milli, path string, own float64) float64 {
	t, ok := u.byPath[path]
	switch {
	case ok:
	case len(u.byPath) < maxPaths:
		t = &usualTimeOf{}
		u.byPath[path] = t
	default:
		t = &u.others
	}
	return t.add(now, own)
}

func (t *usualTimeOf) add(now clock.Milli, own float64) float64 {
	weight := min(1, float64(now-t.sampledAt)/float64(usualTime))
	if t.samples < minUsualSamples {
		t.samples++
		weight = max(weight, 1/float64(t.samples))
	}
	t.sampledAt = now
	t.mean += (own - t.mean) * weight
	return max(t.mean, leastUsual)
}
