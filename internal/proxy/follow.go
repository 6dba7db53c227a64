package proxy

import (
	mrand "math/rand/v2"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// unansweredAfter is how long a failed attempt at a read of the store took if it
	// is to be logged.
	unansweredAfter = 200 * clock.Millisecond
	// reportsToLapse is the number of intervals without a write after which a record
	// lapses.
	reportsToLapse = 3
)

// newFollower returns the follower that keeps the view up to date, and sets the client
// that it reads the store with. It uses a single watch over all keys, which is one
// request where a watch for each kind of key would be two.
func (d *Daemon) newFollower() *watch.Follower {
	timing := watch.TimingFor(d.settings.changeBound())
	if d.settings.Stable > 0 {
		timing = timing.WithStable(d.settings.stableTime())
	}
	d.store = newStoreClient(d.settings.Store, timing, d.clock, d.contain)
	return watch.New(watch.Config{
		Clock:  d.clock,
		Source: d.store.source(),
		Timing: timing,
		// The last write may have come one interval before the store's last answer.
		LapseAfter: (reportsToLapse - 1) * d.settings.reportTime(),
		Readers:    func() int { return d.viewTracker.view.Load().CountHosts() },
		Jitter:     func(n clock.Milli) clock.Milli { return clock.Milli(mrand.Int64N(int64(n))) },
		Listed: func(now clock.Milli, items []watch.Item, mayLack bool) {
			d.run("apply a list of the store", func() { d.viewTracker.applyList(now, items, mayLack) })
		},
		Changed: func(now clock.Milli, items []watch.Item) {
			d.run("apply changes of the store", func() { d.viewTracker.applyChanges(now, items) })
		},
		Answered: func(now clock.Milli) { d.storeAnsweredAt.Store(int64(now)) },
		Proved:   d.prove,
		OutageBegan: func(err error) {
			d.freshness.isAway.Store(true)
			event.Warn(d.log, event.StoreDown, zap.Error(err))
		},
		OutageEnded: func() {
			d.freshness.isAway.Store(false)
			event.Info(d.log, event.StoreUp)
		},
		AttemptEnded: d.readEnded,
		Repeated:     d.readRepeated,
	})
}

// readEnded counts an attempt at a read of the store, and logs it if it was waited
// for in vain.
func (d *Daemon) readEnded(a watch.Attempt) {
	d.meter.count("store_reads", "outcome", string(a.Op)+"_"+string(a.Outcome))
	if a.Outcome == watch.Failed && a.Took >= unansweredAfter {
		event.Warn(d.log, event.ReadUnanswered, zap.String("op", string(a.Op)), zap.Int("attempt", a.Number),
			zap.Int64("took", int64(a.Took)), zap.Error(a.Err))
	}
}

// readRepeated counts and logs that an unanswered read of the store is sent again.
func (d *Daemon) readRepeated(r watch.Repeat) {
	d.meter.count("store_reads", "outcome", string(r.Op)+"_repeated")
	event.Warn(d.log, event.ReadRepeated, zap.String("op", string(r.Op)), zap.Int("attempt", r.Number),
		zap.Int64("seen", r.Seen), zap.Int64("heard", r.Heard))
}
