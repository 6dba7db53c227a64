package fair

import "math"

// curve is the distribution of the positions of the requests of one importance: the
// fraction of all requests that have at most a certain position.
type curve struct {
	// ratios are the demands over the weights of the accounts, ascending. demandUpTo
	// and weightUpTo are the sums over the accounts before each; they have one element
	// more than ratios.
	ratios     []float64
	demandUpTo []float64
	weightUpTo []float64
}

// newCurve returns an empty curve with space for n accounts.
func newCurve(n int) curve {
	return curve{
		ratios:     make([]float64, 0, n),
		demandUpTo: make([]float64, 0, n+1),
		weightUpTo: make([]float64, 0, n+1),
	}
}

// set computes the curve of the demands, which are sorted by their ratios.
func (c *curve) set(demands []*demand) {
	c.ratios = c.ratios[:0]
	c.demandUpTo = append(c.demandUpTo[:0], 0)
	c.weightUpTo = append(c.weightUpTo[:0], 0)
	demand, weight := 0.0, 0.0
	for _, d := range demands {
		demand += d.estimate
		weight += d.weight
		c.ratios = append(c.ratios, d.ratio)
		c.demandUpTo = append(c.demandUpTo, demand)
		c.weightUpTo = append(c.weightUpTo, weight)
	}
}

// upTo returns the fraction of all requests with at most the position.
func (c *curve) upTo(position float64) float64 {
	last := len(c.ratios)
	low, high := 0, last
	for low < high {
		middle := (low + high) / 2
		if c.ratios[middle] <= position {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return (c.demandUpTo[low] + position*(c.weightUpTo[last]-c.weightUpTo[low])) / c.demandUpTo[last]
}

// order returns the order of a request with the hash, of an account with the ratio of
// demand to weight. It is the hash while no demand is known.
func (c *curve) order(ratio float64, hash uint64) uint64 {
	if len(c.ratios) == 0 {
		return hash
	}
	// The highest hash has the first position.
	fraction := 1 - float64(hash>>11)/(1<<53)
	rank := min(c.upTo(fraction*ratio), floorFactor*fraction, 1)
	const scale = 1 << hashBits
	position := uint64(min(math.Floor((1-rank)*scale), scale-1))
	return position<<(64-hashBits) | hash&(1<<(64-hashBits)-1)
}
