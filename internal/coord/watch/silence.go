package watch

import (
	"context"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of a watch that the store does not answer.
const (
	// minWatchWait and maxWatchWait bound how long the store may hold a watch
	// without changes. watchWaitPerReader is what each daemon of the fleet adds to
	// the upper bound, so that the fleet as a whole asks some four times a second.
	minWatchWait       = 500 * clock.Millisecond
	maxWatchWait       = 30 * clock.Second
	watchWaitPerReader = 500 * clock.Millisecond
	// minPatience and maxPatience bound how long a watch may stay silent while
	// others know a newer change. The patience doubles each time it ends, because
	// the store may only be slow.
	minPatience = 500 * clock.Millisecond
	maxPatience = 4 * clock.Second
)

// openWatch is a watch that the store has not answered.
type openWatch struct {
	began     clock.Milli
	cancel    context.CancelFunc
	abandoned bool
}

// Seen returns the revision of the newest change that was read, 0 if none.
func (f *Follower) Seen() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Hear records that another daemon knows the change of a revision.
func (f *Follower) Hear(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= max(f.revision, f.heard) {
		return
	}
	if f.heard <= f.revision {
		f.heardAt = f.cfg.Clock.Now()
	}
	f.heard = revision
}

// Tick gives up the open watch if it has been silent for too long while others
// know a newer change. It must be called at least ten times a second.
func (f *Follower) Tick() {
	f.mu.Lock()
	o, seen, heard := f.open, f.seen, f.heard
	isLost := o != nil && !o.abandoned && heard > f.revision && f.cfg.Clock.Now()-max(f.heardAt, o.began) >= f.patience
	if isLost {
		o.abandoned = true
		f.patience = min(maxPatience, f.patience*2)
	}
	f.mu.Unlock()
	if isLost {
		o.cancel()
		f.cfg.Abandoned(seen, heard)
	}
}

// recordRead records the revision of the store as of a read and the changes or
// items that it returned.
func (f *Follower) recordRead(revision int64, items []Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	f.patience = minPatience
	for _, item := range items {
		f.seen = max(f.seen, item.Revision)
	}
}

// beginWatch registers a watch that is about to be made.
func (f *Follower) beginWatch(cancel context.CancelFunc) *openWatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = &openWatch{
		began:  f.cfg.Clock.Now(),
		cancel: cancel,
	}
	return f.open
}

// endWatch reports whether the open watch was given up.
func (f *Follower) endWatch(o *openWatch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = nil
	return o.abandoned
}

// watchWait returns how long the store may hold the next watch.
func (f *Follower) watchWait() clock.Milli {
	longest := min(maxWatchWait, watchWaitPerReader*clock.Milli(f.cfg.Readers()))
	return minWatchWait + f.cfg.Jitter(max(longest, minWatchWait))
}
