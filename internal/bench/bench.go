// Package bench simulates the decisions of siskinswitch under load on a
// virtual clock.
//
// It runs the real admission control, target selection and retry budgets of a
// small fleet against fake targets that consist only of slots and service
// times. An event loop replaces the network and the processes. The simulation
// covers the interfaces of the decisions only. It does not model hosts,
// connections or threads.
//
// A [Scenario] combines a [Deployment] with a load and a disturbance. [Run]
// simulates it for one [System] and returns a [Result]. The same scenario and
// seed give the same result. The systems with fewer controls serve as a
// comparison.
package bench

// System is a combination of load-handling mechanisms.
type System struct {
	Name string
	// Control enables admission control with its thresholds, deadlines, and
	// retry budgets.
	Control bool
	// IgnoreImportance treats all requests as equally important.
	IgnoreImportance bool
	// RoundRobin selects targets in turn.
	RoundRobin bool
	// Hedge sends a second attempt of a slow call that has no downstream calls.
	Hedge bool
	// HideThresholds drops the thresholds that targets report to their callers.
	HideThresholds bool
	// Retries is the number of unconditional retries per hop without Control.
	Retries int
	// QueueFactor bounds the queue of a target without Control, as a multiple of
	// its slots; with 0 only the number of connections bounds it.
	QueueFactor int
	// LongLane gives long requests a lane of their own. Without it they compete
	// with short ones.
	LongLane bool
	// OwnCentreFirst prefers the own data centre as the platform does.
	OwnCentreFirst bool
	// ExpectedTime chooses targets by the expected time of a call.
	ExpectedTime bool
}

// OnPlatform returns the system as the daemons of the platform run it, without
// hedges, which chooses targets by the expected time of a call if asked to.
func OnPlatform(expectedTime bool) System {
	return System{
		Name:           "siskin on the platform",
		Control:        true,
		LongLane:       true,
		OwnCentreFirst: true,
		ExpectedTime:   expectedTime,
	}
}

// Siskin returns the complete system.
func Siskin() System {
	return System{
		Name:     "siskin",
		Control:  true,
		Hedge:    true,
		LongLane: true,
	}
}

// SingleLane returns the system without a separate lane for long requests.
func SingleLane() System {
	return System{
		Name:    "siskin, one lane",
		Control: true,
	}
}

// Systems returns the complete system, followed by the systems that it is
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
