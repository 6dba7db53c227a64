package watch

import "siskinswitch.example/siskin/pkg/clock"

const (
	// minWatchWait and maxWatchWait bound how long the store may hold a watch
	// without changes. watchWaitPerReader is what each daemon of the fleet adds to
	// the upper bound, so that the fleet as a whole asks some four times a second.
	minWatchWait       = 500 * clock.Millisecond
	maxWatchWait       = 30 * clock.Second
	watchWaitPerReader = 500 * clock.Millisecond
	// minBound is the least bound that the times of reads are parts of. Below it they
	// would make a busy loop of reads.
	minBound = 500 * clock.Millisecond
)

// Timing is the times of the reads of the store.
type Timing struct {
	// Batch is the delay between a change and the next watch, so that one read
	// returns the changes of that time. It is also the longest time for which a
	// change stays unknown while the store answers.
	Batch clock.Milli
	// MinBackoff and MaxBackoff bound the backoff after a failed read.
	MinBackoff clock.Milli
	MaxBackoff clock.Milli
	// MinRepeat is how long a read may go unanswered before it is sent again on
	// another connection. The time doubles with each repeat up to MaxRepeat,
	// because the store may only be slow.
	MinRepeat clock.Milli
	MaxRepeat clock.Milli
	// Late is how long after its time a watch may end before it is sent again.
	Late clock.Milli
}

// TimingFor returns the times with which a change is in force within bound after
// the store has acknowledged it, or can be read again. A bound of less than half a
// second is taken for that.
func TimingFor(bound clock.Milli) Timing {
	bound = max(bound, minBound)
	return Timing{
		Batch:      bound / 5,
		MinBackoff: bound / 25,
		MaxBackoff: bound * 4 / 25,
		MinRepeat:  bound / 5,
		MaxRepeat:  bound * 2 / 5,
		Late:       bound / 10,
	}
}

// watchWait returns how long the store may hold the next watch.
func (f *Follower) watchWait() clock.Milli {
	longest := min(maxWatchWait, watchWaitPerReader*clock.Milli(f.cfg.Readers()))
	return minWatchWait + f.cfg.Jitter(max(longest, minWatchWait))
}
