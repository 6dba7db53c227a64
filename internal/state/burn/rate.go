package burn

import "siskinswitch.example/siskin/pkg/clock"

// partsPerMillion is the unit of objectives.
const partsPerMillion = 1_000_000

// Windows returns the lengths of the windows that are summed up, the shortest
// first.
func Windows() []clock.Milli {
	return []clock.Milli{
		5 * clock.Minute,
		30 * clock.Minute,
		clock.Hour,
		6 * clock.Hour,
		72 * clock.Hour,
	}
}

// Indexes of the windows of an alert in [Windows] and in the sums of a key.
const (
	fastShort = 0
	fastLong  = 2
	slowShort = 1
	slowLong  = 3
)

// Burn rates from which on an alert is raised. For an objective over 30 days,
// the fast one uses 2 % of the error budget in an hour, the slow one 5 % in
// six hours.
const (
	FastRate = 14.4
	SlowRate = 6.0
)

// Level is the urgency of a key's burn rate.
type Level string

// Levels, the least urgent first.
const (
	// Calm is a burn rate below both alerts.
	Calm Level = "calm"
	// Slow is a burn rate that uses up the error budget within days.
	Slow Level = "slow"
	// Fast is a burn rate that uses up the error budget within hours.
	Fast Level = "fast"
)

// Rate returns the burn rate: the share of bad calls divided by the share that
// the objective allows. good is the objective, the parts per million of calls
// that must be good. Without a call the rate is 0. An objective of 100 %
// counts as one that allows one bad call in a million.
func Rate(c Count, good int64) float64 {
	if c.Total() == 0 {
		return 0
	}
	allowed := max(partsPerMillion-good, 1)
	return float64(c.Bad) / float64(c.Total()) * partsPerMillion / float64(allowed)
}

// LevelOf returns the level for the sums over [Windows]. An alert is raised
// only if both of its windows have the rate. Sums of another number of
// windows, as from another version, are Calm.
func LevelOf(sums []Count, good int64) Level {
	burns := func(long, short int, rate float64) bool {
		return Rate(sums[long], good) >= rate && Rate(sums[short], good) >= rate
	}
	switch {
	case len(sums) != len(Windows()):
		return Calm
	case burns(fastLong, fastShort, FastRate):
		return Fast
	case burns(slowLong, slowShort, SlowRate):
		return Slow
	}
	return Calm
}
