package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Stats counts what a gate did since it was made, beside its present state.
type Stats struct {
	// Limit is the number of works that may run at once.
	Limit int
	// Lanes is the state of each lane, by cost class.
	Lanes [lanes]Lane
	// Overload tells whether the last window had a standing queue.
	Overload bool
	// Threshold is the present threshold.
	Threshold Threshold
	// ExpectedTime is the expected service time of short work.
	ExpectedTime clock.Milli
	// Offered, Started and Done count works.
	Offered, Started, Done uint64
	// Refused counts refused works by reason.
	Refused [Draining + 1]uint64
	// Evicted counts works that left the queue for one of higher rank. They
	// are counted as refused for being Full as well.
	Evicted uint64
}

// Lane is the state of one lane of a gate.
type Lane struct {
	// Limit is the number of works of the lane that may run at once.
	Limit int
	// Running is the number of works that hold a slot.
	Running int
	// Queued is the number of waiting works.
	Queued int
}

// Stats returns the counters and the present state.
func (g *Gate) Stats(now clock.Milli) Stats {
	s := g.stats
	s.Limit = g.limiter.limit
	for cost := range g.queues {
		s.Lanes[cost] = Lane{
			Limit:   g.share(rules.Cost(cost)),
			Running: g.busy[cost],
			Queued:  len(g.queues[cost].works),
		}
	}
	s.Overload = g.overload
	s.Threshold = g.control.threshold
	s.ExpectedTime = clock.Milli(g.learned.class(now, rules.Short))
	return s
}
