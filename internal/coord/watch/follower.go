// Package watch follows the platform's store and reports its configuration and
// targets to the daemon.
//
// A [Follower] lists the items under a prefix, then watches for changes after
// the revision of the list. It lists again if the store has dropped the history
// that the watch needs, or if a watch returns an older revision. A failed read
// is repeated after an exponential backoff with jitter, so that the daemons of a
// fleet do not all return to the store at the same time.
//
// An answer of the store may be lost on a connection that stays open, so that a
// watch hears nothing although there are changes. Two things bound that time. Other
// daemons tell which change they know ([Follower.Hear]); a watch that stays silent
// though they know more is given up and made again on another connection. And each
// watch takes a random time, so that of all daemons some ask the store anew every
// second and can tell the others.
//
// During an outage of the store the last known state stays in use. A target
// whose record is missing from the first list after the outage may only have
// lost the record because the store was unavailable. Config.Listed reports such
// a list, so that its receiver can keep the target for a while and remove it
// only if the record is still missing then.
package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// Item is a key of the store with its value, or the removal of the key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Page is the result of one read: the items of a list or of a part of it, or
// the changes that a watch returned.
type Page struct {
	Items []Item
	// More reports that the list continues after the last item.
	More bool
	// Revision is the store's revision as of the read.
	Revision int64
}

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unavailable means that the store gave no usable answer.
	Unavailable Kind = iota
	// HistoryLost means that the store no longer has the history that a watch
	// needs.
	HistoryLost
	// Rejected means that the store answered but refused the read.
	Rejected
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("watch: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Source reads the store. Both functions return an [*Error] on failure.
type Source struct {
	// List returns the first items under prefix whose keys follow after.
	List func(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision, or none once it has waited
	// for wait.
	Watch func(ctx context.Context, prefix string, after int64, wait clock.Milli) (Page, error)
}

// Timing of the reads.
const (
	// minBackoff and maxBackoff bound the backoff after a failed read.
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 400 * clock.Millisecond
)

// Config configures a [Follower].
type Config struct {
	Clock  clock.Clock
	Source Source
	// Prefix selects the keys to follow.
	Prefix string
	// BatchDelay is the delay between a change and the next watch, so that one
	// read returns the changes of that time. It is also the longest time for
	// which a change stays unknown while the store answers.
	BatchDelay clock.Milli
	// Readers returns the number of daemons that follow the store.
	Readers func() int
	// Jitter returns a random duration below the given one.
	Jitter func(clock.Milli) clock.Milli
	// Listed is called with each complete list. afterOutage reports that it is
	// the first one after failed reads.
	Listed func(now clock.Milli, items []Item, afterOutage bool)
	// Changed is called with the changes that a watch returned, in their order.
	Changed func(now clock.Milli, items []Item)
	// Answered is called for each complete list and each watch that the store
	// answered.
	Answered func(now clock.Milli)
	// OutageBegan is called with the error of the first failed read,
	// OutageEnded once the store has been listed again.
	OutageBegan func(err error)
	OutageEnded func()
	// Abandoned is called when a silent watch is given up: the newest change that
	// is known here, and the one that others know.
	Abandoned func(seen, heard int64)
	// ReadEnded is called for each read that ended; nil ignores them.
	ReadEnded func(r Read)
}

// Follower follows one prefix. Run owns inOutage and backoff; the other methods
// may be called concurrently with it.
type Follower struct {
	cfg      Config
	inOutage bool
	backoff  clock.Milli

	mu sync.Mutex
	// revision is that of the store as of the last read, seen the revision of the
	// newest change that was read, and heard that of the newest change that
	// another daemon knows, since heardAt.
	revision int64
	seen     int64
	heard    int64
	heardAt  clock.Milli
	// open is the watch that waits for changes, nil if there is none.
	open     *openWatch
	patience clock.Milli
}

// New returns a follower that has not read anything.
func New(cfg Config) *Follower {
	if cfg.ReadEnded == nil {
		cfg.ReadEnded = func(Read) {}
	}
	return &Follower{
		cfg:      cfg,
		backoff:  minBackoff,
		patience: minPatience,
	}
}

// Run follows the prefix until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		for err == nil {
			revision, err = f.watch(ctx, revision)
		}
		var e *Error
		if errors.As(err, &e) && e.Kind == HistoryLost {
			continue
		}
		if ctx.Err() == nil {
			f.backOff(ctx, err)
		}
	}
}

// list reads all items and returns the revision from which to watch. That is
// the revision of the first page, because later pages may lack changes that
// were made between the reads.
func (f *Follower) list(ctx context.Context) (int64, error) {
	var items []Item
	revision := int64(-1)
	after := ""
	for {
		page, err := f.timed(List, func() (Page, error) { return f.cfg.Source.List(ctx, f.cfg.Prefix, after) })
		if err != nil {
			return 0, err
		}
		if revision < 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.recordRead(revision, items)
	now := f.cfg.Clock.Now()
	f.cfg.Answered(now)
	f.cfg.Listed(now, items, f.inOutage)
	f.recordSuccess()
	return revision, nil
}

// watch does one watch and returns the revision from which to continue.
func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := f.beginWatch(cancel)
	page, err := f.timed(Watch, func() (Page, error) {
		return f.cfg.Source.Watch(watchCtx, f.cfg.Prefix, revision, f.watchWait())
	})
	wasAbandoned := f.endWatch(o)
	if err != nil && wasAbandoned && ctx.Err() == nil {
		return revision, nil
	}
	if err != nil {
		return revision, err
	}
	if page.Revision < revision {
		return revision, &Error{
			Op:   "watch " + f.cfg.Prefix,
			Kind: HistoryLost,
			Err:  fmt.Errorf("revision fell from %d to %d", revision, page.Revision),
		}
	}
	f.recordRead(page.Revision, page.Items)
	now := f.cfg.Clock.Now()
	f.cfg.Answered(now)
	if len(page.Items) > 0 {
		f.cfg.Changed(now, page.Items)
		select {
		case <-ctx.Done():
		case <-f.cfg.Clock.After(f.cfg.BatchDelay):
		}
	}
	return page.Revision, nil
}

// recordSuccess resets the backoff and ends an outage.
func (f *Follower) recordSuccess() {
	f.backoff = minBackoff
	if f.inOutage {
		f.inOutage = false
		f.cfg.OutageEnded()
	}
}

// backOff waits before the next read and doubles the backoff up to its limit.
func (f *Follower) backOff(ctx context.Context, err error) {
	if !f.inOutage {
		f.inOutage = true
		f.cfg.OutageBegan(err)
	}
	pause := f.backoff/2 + f.cfg.Jitter(f.backoff/2+1)
	f.backoff = min(maxBackoff, f.backoff*2)
	select {
	case <-ctx.Done():
	case <-f.cfg.Clock.After(pause):
	}
}
