package admit

import "siskinswitch.example/siskin/pkg/clock"

// Parameters of the threshold's control.
const (
	// binBits is the number of leading bits of a level's band that the
	// histogram of demand tells apart.
	binBits = 6
	// binSize is the number of levels in one bin.
	binSize = levelSize >> binBits
	// bins is the number of bins of the histogram.
	bins = int(levelTop) / binSize
	// openStep is the number of levels by which the threshold opens in the
	// first calm window; each further idle window multiplies it.
	openStep = levelSize / 32
	// openLimit bounds the step.
	openLimit = levelSize
	// idleShare is the part of the capacity, in percent, below which the
	// gate counts as idle and the step doubles.
	idleShare = 85
	// demandKept is the part of the demand histogram that each window leaves to
	// the next. One window holds too few works of a target with few slots to
	// tell demand from chance.
	demandKept = 0.6
	// restShare is the part below which the step quadruples.
	restShare = 50
)

// control moves the threshold once in a window. Demand and capacity are both
// counted in milliseconds of slot time, so that cheap and dear work weigh
// what they are.
type control struct {
	threshold Threshold
	step      uint32

	began   clock.Milli
	changed clock.Milli
	area    float64
	busy    int
	demand  [bins]float64
	// windows is the number of windows that demand holds, older ones counted
	// in part.
	windows  float64
	standing int
	refused  bool
}

func newControl() control {
	return control{
		step: openStep,
	}
}

// offer counts demand of the given service time at a level.
func (c *control) offer(level uint32, expect float64) {
	c.demand[int(level)/binSize] += max(expect, 1)
}

// occupy records the number of slots in use from now on.
func (c *control) occupy(now clock.Milli, busy int) {
	c.area += float64(c.busy) * float64(now-c.changed)
	c.changed = now
	c.busy = busy
}

// wait records the length of the queue; the least one in a window is what
// stands in it.
func (c *control) wait(n int) { c.standing = min(c.standing, n) }

// adjust ends a window. capacity is the number of slots for the work that c
// controls, slow tells whether the standing queue exceeds the permitted delay.
func (c *control) adjust(now clock.Milli, capacity, queued int, slow bool) {
	c.occupy(now, c.busy)
	whole := float64(capacity) * float64(now-c.began)
	c.windows++
	switch {
	case slow || c.refused:
		c.close(whole * c.windows)
	case c.threshold.level > 0:
		c.open(whole)
	}
	c.began = now
	c.area = 0
	for bin := range c.demand {
		c.demand[bin] *= demandKept
	}
	c.windows *= demandKept
	c.standing = queued
	c.refused = false
}

// close raises the threshold to where the demand above it is just what the
// capacity carries. It never opens.
func (c *control) close(capacity float64) {
	c.step = openStep
	sum := 0.0
	for bin := bins - 1; bin >= 0; bin-- {
		if sum+c.demand[bin] <= capacity {
			sum += c.demand[bin]
			continue
		}
		part := (capacity - sum) / c.demand[bin]
		level := uint32(float64(bin+1)*binSize - part*binSize)
		c.threshold.level = max(c.threshold.level, min(level, levelTop-1))
		return
	}
}

// open lowers the threshold by a step.
func (c *control) open(capacity float64) {
	switch {
	case c.area*100 < capacity*restShare:
		c.step = min(openLimit, c.step*4)
	case c.area*100 < capacity*idleShare:
		c.step = min(openLimit, c.step*2)
	default:
		c.step = openStep
	}
	if c.step >= c.threshold.level {
		c.threshold = Threshold{}
		c.step = openStep
		return
	}
	c.threshold.level -= c.step
}
