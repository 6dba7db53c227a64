package watch

import "siskinswitch.example/siskin/pkg/clock"

const (
	// minWatchWait is the least time for which the store may hold a watch without
	// changes. watchWaitPerReader is what each daemon of a small fleet adds to the
	// greatest one, so that some daemon asks every second.
	minWatchWait       = 500 * clock.Millisecond
	watchWaitPerReader = 500 * clock.Millisecond
	// earlyReaders is the number of daemons of a large fleet whose watches may end
	// early, for the same reason. Those of the others end in the last lateSpread.
	earlyReaders = 10
	lateSpread   = 500 * clock.Millisecond
	// minBound is the least bound that the times of reads are parts of. Below it they
	// would make a busy loop of reads.
	minBound = 500 * clock.Millisecond
)

// Timing is the times of the reads of the store.
type Timing struct {
	// Bound is the time within which a change must be in force.
	Bound clock.Milli
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
	// MaxWatch bounds how long the store may hold a watch. If the answer is lost,
	// the daemon hears nothing for that time, whatever the size of the fleet and
	// though nobody sends it anything.
	MaxWatch clock.Milli
}

// TimingFor returns the times with which a change is in force within bound after
// the store has acknowledged it, or can be read again. A bound of less than half a
// second is taken for that.
func TimingFor(bound clock.Milli) Timing {
	bound = max(bound, minBound)
	return Timing{
		Bound:      bound,
		Batch:      bound / 5,
		MinBackoff: bound / 25,
		MaxBackoff: bound * 4 / 25,
		MinRepeat:  bound / 5,
		MaxRepeat:  bound * 2 / 5,
		Late:       bound / 10,
		MaxWatch:   bound * 3 / 2,
	}
}

// WithStable returns the times for a platform that counts a loss of answers as a
// disturbance until stable after its end: a change that is acknowledged then must be
// in force within the bound.
func (t Timing) WithStable(stable clock.Milli) Timing {
	// Half of the bound is left for the repeat of the watch.
	t.MaxWatch = stable + t.Bound/2
	return t
}

// watchWait returns how long the store may hold the next watch.
func (f *Follower) watchWait() clock.Milli {
	readers := clock.Milli(f.cfg.Readers())
	longest := max(minWatchWait, f.cfg.Timing.MaxWatch)
	if readers > earlyReaders && f.cfg.Jitter(readers) >= earlyReaders {
		return max(minWatchWait, longest-f.cfg.Jitter(lateSpread))
	}
	spread := min(longest-minWatchWait, watchWaitPerReader*readers)
	return min(longest, minWatchWait+f.cfg.Jitter(max(spread, minWatchWait)))
}
