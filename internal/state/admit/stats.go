package admit

import (
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Stats holds the counters of a gate since it was made and its present state.
type Stats struct {
	// Limit is the concurrency limit of the gate. Those of the lanes differ from it
	// during a trial of the learner.
	Limit int
	// Lanes is the state of each lane, by cost class.
	Lanes [laneCount]Lane
	// Overload reports whether the standing queue of the last window exceeded
	// the permitted delay.
	Overload  bool
	Threshold Threshold
	// ExpectedTime is the expected service time of short requests.
	ExpectedTime clock.Milli
	// Offered, Started and Done count requests.
	Offered, Started, Done uint64
	// Refused counts refused requests by reason.
	Refused [Draining + 1]uint64
	// Evicted counts requests that were displaced from the queue by one of
	// higher rank. They are also counted as refused with the reason QueueFull.
	Evicted uint64
	// IsLearning says that Learned holds what was learned of the target.
	IsLearning bool
	Learned    learn.State
}

// Lane is the state of one lane of a gate.
type Lane struct {
	// Limit is the concurrency limit of the lane.
	Limit int
	// Running is the number of requests that hold a slot.
	Running int
	// Queued is the number of waiting requests.
	Queued int
}

// Stats returns the counters and the present state.
func (g *Gate) Stats(now clock.Milli) Stats {
	s := g.stats
	s.Limit = g.limiter.limit
	if g.learner != nil {
		s.IsLearning = true
		s.Learned = g.learner.State(now)
		s.Limit = s.Learned.Limit
	}
	for cost := range g.queues {
		s.Lanes[cost] = Lane{
			Limit:   g.laneLimit(rules.Cost(cost)),
			Running: g.busy[cost],
			Queued:  len(g.queues[cost].requests),
		}
	}
	s.Overload = g.overload
	s.Threshold = g.shedder.threshold
	s.ExpectedTime = clock.Milli(g.serviceTimes.classTime(now, rules.Short))
	return s
}
