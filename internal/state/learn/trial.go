package learn

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// worthShare is the part of its ideal gain that the higher limit of a trial must
	// bring.
	worthShare = 0.5
	// minRounds and maxRounds bound the rounds of a trial.
	minRounds = 3
	maxRounds = 24
	// maxVoid is the number of rounds in a row that may bring too few requests.
	maxVoid = 4
	// minClass is the number of requests that a round needs at each limit.
	minClass = 6
	// maxRatio bounds the logarithm of the ratio of one round. A larger one comes from
	// a slowdown that began or ended within the round.
	maxRatio = 0.4
	// lowEvidence is the number of standard errors that the adoption or retention of
	// the lower limit needs, highEvidence that of the higher one. The higher one needs
	// less, because slots are assumed to be of use.
	// After maxRounds, lastEvidence is enough for the lower one.
	lowEvidence  = 2.5
	highEvidence = 1.5
	lastEvidence = 1.0
	// lowClass and highClass bound the mean concurrency of the requests that count
	// for either limit, as parts of the way from the lower to the higher one.
	lowClass  = 0.3
	highClass = 0.7
)

// verdict is the result of a trial.
type verdict uint8

const (
	undecided verdict = iota
	// void means that too few requests ran at the limits.
	void
	keepLow
	keepHigh
)

// class sums up the requests that ran at one limit.
type class struct {
	n, sum, squares float64
	rejections      float64
}

// trial compares two limits. A round consists of a phase with either of them; the
// order changes with each round, so that a steady change of the target's speed
// cancels out.
type trial struct {
	active    bool
	low, high int
	// isUp says that the lower limit is the present one.
	isUp        bool
	phaseLength clock.Milli
	phaseEnd    clock.Milli
	phase       int
	classes     [2]class
	voids       int
	// The sums over rounds of the weights, the weighted logarithms of the ratio of
	// costs, and their squares.
	rounds                  int
	weights, ratios, square float64
}

func (t *trial) begin(now clock.Milli, low, high int, isUp bool, phase clock.Milli) {
	*t = trial{
		active:      true,
		low:         low,
		high:        high,
		isUp:        isUp,
		phaseLength: phase,
		phaseEnd:    now + phase,
	}
}

// limit returns the limit of the present phase. The phases of two rounds are high,
// low, low, high.
func (t *trial) limit() int {
	if t.phase%4 == 0 || t.phase%4 == 3 {
		return t.high
	}
	return t.low
}

// classOf returns the class of requests with a mean concurrency, or nil.
func (t *trial) classOf(concurrency float64) *class {
	if !t.active {
		return nil
	}
	part := (concurrency - float64(t.low)) / float64(t.high-t.low)
	switch {
	case part >= highClass:
		return &t.classes[1]
	case part <= lowClass && part >= -1:
		return &t.classes[0]
	}
	return nil
}

// add adds the slowness of a request that ran with a mean concurrency.
func (t *trial) add(concurrency, slowness float64) {
	c := t.classOf(concurrency)
	if c == nil {
		return
	}
	c.n++
	c.sum += slowness
	c.squares += slowness * slowness
}

func (t *trial) addRejections(concurrency float64, n int) {
	if n <= 0 {
		return
	}
	if c := t.classOf(concurrency); c != nil {
		c.rejections += float64(n)
	}
}

// cost returns the logarithm of the mean slowness in the class, and the variance of
// what a completed request costs, rejections included.
func (c *class) cost(ownShare float64) (cost, variance float64) {
	mean := max(c.sum/c.n, 1e-3)
	spread := max(c.squares/c.n-mean*mean, 0) / (mean * mean)
	rejected := c.rejections / c.n
	variance = (ownShare*ownShare*spread + rejected/(1+rejected)) / c.n
	return math.Log(mean), variance
}

// endPhase ends a phase and, with each second one, a round.
func (t *trial) endPhase(now clock.Milli, ownShare float64, phase clock.Milli) verdict {
	t.phase++
	if t.phase%2 == 0 {
		t.phaseLength = phase
	}
	t.phaseEnd = now + t.phaseLength
	if t.phase%2 != 0 {
		return undecided
	}
	low, high := &t.classes[0], &t.classes[1]
	if min(low.n, high.n) < minClass {
		t.voids++
		if t.voids > maxVoid {
			return void
		}
		return undecided
	}
	t.voids = 0
	t.addRound(low, high, ownShare)
	t.classes = [2]class{}
	return t.verdict()
}

// addRound adds the ratio of the costs at both limits. The time in calls is the same
// at both, so it dilutes the ratio of the own times. A rejection costs as much as a run.
func (t *trial) addRound(low, high *class, ownShare float64) {
	lowCost, lowVariance := low.cost(ownShare)
	highCost, highVariance := high.cost(ownShare)
	ratio := math.Log(1 + ownShare*(math.Exp(highCost-lowCost)-1))
	ratio += math.Log((1 + high.rejections/high.n) / (1 + low.rejections/low.n))
	ratio = min(maxRatio, max(-maxRatio, ratio))
	// Requests at one time are not quite independent, so no round counts as exact.
	weight := 1 / (lowVariance + highVariance + 1e-4)
	t.rounds++
	t.weights += weight
	t.ratios += weight * ratio
	t.square += weight * ratio * ratio
}

// verdict compares the ratio of costs with the ratio of the limits.
func (t *trial) verdict() verdict {
	if t.rounds < minRounds {
		return undecided
	}
	mean, deviation := t.estimate()
	worth := worthShare * math.Log(float64(t.high)/float64(t.low))
	lowNeeds, highNeeds := lowEvidence, highEvidence
	switch {
	case mean-worth > lowNeeds*deviation:
		return keepLow
	case worth-mean > highNeeds*deviation:
		return keepHigh
	case t.rounds < maxRounds:
		return undecided
	case mean < worth:
		return keepHigh
	case t.isUp, mean-worth > lastEvidence*deviation:
		return keepLow
	}
	// Without evidence against it, the present limit stays.
	return keepHigh
}

// estimate returns the mean ratio over the rounds, and its standard error: the one
// that follows from the requests, or from the rounds if they differ more than that.
func (t *trial) estimate() (mean, deviation float64) {
	mean = t.ratios / t.weights
	between := max(t.square/t.weights-mean*mean, 0) / float64(t.rounds-1)
	return mean, math.Sqrt(max(1/t.weights, between))
}
