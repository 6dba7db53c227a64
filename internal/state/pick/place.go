package pick

import (
	"math"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// distance says how far a target is from the picker's daemon.
type distance uint8

const (
	ownCentre distance = iota
	ownRegion
	otherRegion
	distances
)

// Parameters of places.
const (
	// regionTime and linkTime are the network time of a call and its answer to
	// another data centre of the region and to the other region. What is above
	// them is learned.
	regionTime = 2 * clock.Millisecond
	linkTime   = 40 * clock.Millisecond
	// networkWeight is the weight of one sample in the learned network time.
	networkWeight = 1.0 / 16
	// silentCalls is the number of calls without any answer from which a place
	// may count as silent, and silentTime the time for which the first of them
	// must be overdue.
	silentCalls = 3
	silentTime  = 50 * clock.Millisecond
	// minProbeGap is the first time between two calls that try a place that is
	// silent, or another region whose load is not known. It doubles up to
	// maxProbeGap until an answer comes.
	minProbeGap = 500 * clock.Millisecond
	maxProbeGap = 4 * clock.Second
)

// place holds the targets at one distance and what their answers have in
// common.
type place struct {
	distance distance
	// targets holds the targets that are not leaving.
	targets []*target
	// extra is the network time in milliseconds above the usual one of the
	// distance, a moving average that fades without samples.
	extra     float64
	sampledAt clock.Milli
	// unanswered counts the calls since the last answer, the first of which was
	// due at dueAt.
	unanswered int
	dueAt      clock.Milli
	// probedAt is the last try of the place while it should not be used, and
	// probeGap the time until the next.
	probedAt clock.Milli
	probeGap clock.Milli
	// load is a moving average of the loads of short calls that the targets of the place
	// stated, last at reportedAt.
	load       float64
	reportedAt clock.Milli
}

func newPlace(d distance) place {
	return place{
		distance:   d,
		load:       usualLoad,
		reportedAt: -reportLifetime,
	}
}

// network returns the expected network time of a call and its answer in
// milliseconds.
func (pl *place) network(now clock.Milli) float64 {
	extra := pl.extra * math.Exp(-float64(max(0, now-pl.sampledAt))/float64(fadeTime))
	return pl.baseTime() + extra
}

func (pl *place) baseTime() float64 {
	switch pl.distance {
	case ownRegion:
		return float64(regionTime)
	case otherRegion:
		return float64(linkTime)
	}
	return 0
}

// addExcess records that a call took so much longer than expected, in
// milliseconds, which may be negative. Delays of the own data centre are those
// of its targets.
func (pl *place) addExcess(now clock.Milli, excess float64) {
	if pl.distance == ownCentre {
		return
	}
	faded := pl.network(now) - pl.baseTime()
	pl.extra = max(0, faded+networkWeight*excess)
	pl.sampledAt = now
}

// sent records a call whose answer is due after the given time.
func (pl *place) sent(now, due clock.Milli) {
	if pl.unanswered == 0 {
		pl.dueAt = now + due
	}
	pl.unanswered++
}

// answered records an answer from the place.
func (pl *place) answered() {
	pl.unanswered = 0
	pl.probeGap = 0
}

// isSilent reports whether no call of a while was answered, as when the network
// to the place is cut. One target that hangs does not make its place silent.
func (pl *place) isSilent(now clock.Milli) bool {
	return pl.unanswered >= silentCalls && now > pl.dueAt+silentTime
}

// takeProbe reports whether a call may try the place although it should not be
// used, and counts it.
func (pl *place) takeProbe(now clock.Milli) bool {
	if now-pl.probedAt < pl.probeGap {
		return false
	}
	pl.probedAt = now
	pl.probeGap = min(max(2*pl.probeGap, minProbeGap), maxProbeGap)
	return true
}

// addReport records the load that a target stated. The older the statement, the
// less it counts.
func (pl *place) addReport(now, age clock.Milli, load float64) {
	pl.load = pl.loadAt(now) + sampleWeight*math.Exp(-float64(age)/float64(statementTime))*(load-pl.loadAt(now))
	pl.reportedAt = now
}

// hasFreshReport reports whether a target of the place stated its load lately.
func (pl *place) hasFreshReport(now clock.Milli) bool { return now-pl.reportedAt < reportLifetime }

// loadAt returns the expected load of a target of the place that has not stated
// its own lately.
func (pl *place) loadAt(now clock.Milli) float64 {
	age := float64(max(0, now-pl.reportedAt))
	return usualLoad + (pl.load-usualLoad)*math.Exp(-age/float64(placeTime))
}

// loadFor returns loadAt for calls of a cost class. It is known of short ones.
func (pl *place) loadFor(now clock.Milli, cost rules.Cost) float64 {
	if cost == rules.Long {
		return usualLoad
	}
	return pl.loadAt(now)
}

// distanceOf returns the distance of a candidate.
func (p *Picker) distanceOf(c *Candidate) distance {
	switch {
	case c.Region != p.cfg.Region:
		return otherRegion
	case c.Centre != p.cfg.Centre:
		return ownRegion
	}
	return ownCentre
}

// setPlaces sorts the targets into places.
func (p *Picker) setPlaces() {
	for d := range p.places {
		p.places[d].targets = nil
	}
	for _, t := range p.targets {
		t.place = &p.places[p.distanceOf(&t.Candidate)]
		if !t.Leaving {
			t.place.targets = append(t.place.targets, t)
		}
	}
}
