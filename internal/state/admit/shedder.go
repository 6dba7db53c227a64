package admit

import "siskinswitch.example/siskin/pkg/clock"

// Parameters of the shedder.
const (
	// binBits is the number of leading hash bits that the demand histogram
	// distinguishes within one importance.
	binBits = 6
	// binSize is the number of levels in one bin.
	binSize = levelsPerImportance >> binBits
	// binCount is the number of bins of the histogram.
	binCount = int(maxLevel) / binSize
	// minOpenStep is the number of levels by which the threshold opens in the
	// first window without overload. Each further window with spare capacity
	// multiplies the step.
	minOpenStep = levelsPerImportance / 32
	// maxOpenStep bounds the step.
	maxOpenStep = levelsPerImportance
	// doubleBelowPercent is the part of the capacity in use below which the
	// step doubles.
	doubleBelowPercent = 85
	// demandDecay is the part of the demand histogram that each window leaves
	// to the next. A single window of a target with few slots holds too few
	// requests to tell demand from chance.
	demandDecay = 0.6
	// quadrupleBelowPercent is the part of the capacity in use below which the
	// step quadruples.
	quadrupleBelowPercent = 50
)

// shedder adjusts the threshold of a gate once in a window. Demand and
// capacity are both counted in milliseconds of slot time, so that cheap and
// expensive requests count by their cost.
type shedder struct {
	threshold Threshold
	step      uint32

	windowStart clock.Milli
	busySince   clock.Milli
	// slotTime is the slot time used since windowStart, up to busySince.
	slotTime float64
	busy     int
	demand   [binCount]float64
	// demandWindows is the number of windows in the demand histogram, with
	// older ones counted in part.
	demandWindows float64
	// minQueued is the least length of the queue in the window.
	minQueued int
	// hadRefusal is set if a request found the queue full or could not meet
	// its deadline.
	hadRefusal bool
}

func newShedder() shedder {
	return shedder{
		step: minOpenStep,
	}
}

// addDemand counts the demand of one request at its level, given its expected
// service time in milliseconds.
func (s *shedder) addDemand(level uint32, expected float64) {
	s.demand[int(level)/binSize] += max(expected, 1)
}

// setBusy records the number of slots in use from now on.
func (s *shedder) setBusy(now clock.Milli, busy int) {
	s.slotTime += float64(s.busy) * float64(now-s.busySince)
	s.busySince = now
	s.busy = busy
}

// recordQueued records the length of the queue. The least length in a window
// is the standing queue.
func (s *shedder) recordQueued(n int) { s.minQueued = min(s.minQueued, n) }

// adjust ends a window. capacity is the number of slots for the requests that
// the threshold applies to. overloaded is set if the delay of the standing
// queue exceeds the permitted one.
func (s *shedder) adjust(now clock.Milli, capacity, queued int, overloaded bool) {
	s.setBusy(now, s.busy)
	available := float64(capacity) * float64(now-s.windowStart)
	s.demandWindows++
	switch {
	case overloaded || s.hadRefusal:
		s.close(available * s.demandWindows)
	case s.threshold.level > 0:
		s.open(available)
	}
	s.windowStart = now
	s.slotTime = 0
	for bin := range s.demand {
		s.demand[bin] *= demandDecay
	}
	s.demandWindows *= demandDecay
	s.minQueued = queued
	s.hadRefusal = false
}

// close raises the threshold to the level above which the demand just fits the
// capacity. It never lowers it.
func (s *shedder) close(capacity float64) {
	s.step = minOpenStep
	sum := 0.0
	for bin := binCount - 1; bin >= 0; bin-- {
		if sum+s.demand[bin] <= capacity {
			sum += s.demand[bin]
			continue
		}
		fraction := (capacity - sum) / s.demand[bin]
		level := uint32(float64(bin+1)*binSize - fraction*binSize)
		s.threshold.level = max(s.threshold.level, min(level, maxLevel-1))
		return
	}
}

// open lowers the threshold by a step.
func (s *shedder) open(capacity float64) {
	switch {
	case s.slotTime*100 < capacity*quadrupleBelowPercent:
		s.step = min(maxOpenStep, s.step*4)
	case s.slotTime*100 < capacity*doubleBelowPercent:
		s.step = min(maxOpenStep, s.step*2)
	default:
		s.step = minOpenStep
	}
	if s.step >= s.threshold.level {
		s.threshold = Threshold{}
		s.step = minOpenStep
		return
	}
	s.threshold.level -= s.step
}
