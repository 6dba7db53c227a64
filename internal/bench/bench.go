// Package bench measures the decisions of siskinswitch on a fake clock.
//
// It runs the real admission, choice and allowance of a small fleet against
// fake targets that have nothing but slots and service times. An event loop
// stands in for the network and the processes. It is a fake at the interfaces
// of the decisions and not a model of a cluster: hosts, connections and
// threads do not occur.
//
// A [Scenario] says which [Deployment] runs under which load with which faults; [Run]
// plays it for one [System] and returns a [Result]. The same scene and seed
// give the same result. Systems that lack control are there for comparison.
package bench

// System is a way of handling load.
type System struct {
	Name string
	// Control uses the gate, its thresholds, deadlines and the allowance.
	Control bool
	// IgnoreImportance takes all work for equally important.
	IgnoreImportance bool
	// RoundRobin takes targets in turns.
	RoundRobin bool
	// Hedge makes a second attempt of calls that make no deeper ones.
	Hedge bool
	// HideThresholds keeps the thresholds of targets from their callers.
	HideThresholds bool
	// Retries is the number of unconditional retries per hop.
	Retries int
	// QueueFactor bounds the queue before the slots when there is no control, as a
	// multiple of the slots; 0 bounds it only by connections.
	QueueFactor int
	// LongLane keeps long work apart; without it, it competes as short work.
	LongLane bool
}

// Siskin is the system as it is meant to run.
func Siskin() System {
	return System{
		Name:     "siskin",
		Control:  true,
		Hedge:    true,
		LongLane: true,
	}
}

// SingleLane returns the system without a lane for long work.
func SingleLane() System {
	return System{
		Name:    "siskin, one lane",
		Control: true,
	}
}

// Systems returns the system as it is meant to run and the others that it is
// compared with.
func Systems() []System {
	return []System{
		Siskin(),
		{
			Name:       "siskin, round robin",
			Control:    true,
			RoundRobin: true,
			LongLane:   true,
		},
		{
			Name:           "siskin, no feedback",
			Control:        true,
			Hedge:          true,
			LongLane:       true,
			HideThresholds: true,
		},
		{
			Name:     "siskin, no hedges",
			Control:  true,
			LongLane: true,
		},
		{
			Name:        "static limit, 3 retries",
			RoundRobin:  true,
			Retries:     3,
			QueueFactor: 1,
		},
		{
			Name:       "no control",
			RoundRobin: true,
		},
	}
}
