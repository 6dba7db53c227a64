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
// read hears nothing although the store could be read on another. Such a read is
// sent again while it goes unanswered, and the first answer counts. A list is sent
// again in any case. A watch is silent as long as nothing changes; it is sent again
// when other daemons know a change that it did not bring ([Follower.Hear]), or when
// the store does not end it in time. Each watch takes a random time, so that of all
// daemons some ask the store anew every second and can tell the others. An attempt
// is not given up when the next one begins, because the store may only be slow.
//
// During an outage of the store the last known state stays in use. A target
// whose record is missing from the first list after the outage may only have
// lost the record because the store was unavailable. Config.Listed reports such
// a list, so that its receiver can keep the target for a while and remove it
// only if the record is still missing then. A read that fails is no outage in this
// sense: records cannot lapse until targets have failed to write them for a while.
package watch

import (
	"context"
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
	// Err says why the item can't be read, nil if it can. Such an item may have
	// no key.
	Err error
}

// Page is the result of one read: the items of a list or of a part of it, or
// the changes that a watch returned.
type Page struct {
	Items []Item
	// More reports that the list continues after the last item.
	More bool
	// Revision is the store's revision as of the read.
	Revision int64
	// SentAt is when the read was sent, on the clock of the source. Nothing that the
	// store acknowledged before is missing from the page.
	SentAt clock.Milli
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

// Source reads the store. Both functions return an [*Error] on failure. They are
// called concurrently, and must return when their context ends.
type Source struct {
	// List returns the first items under prefix whose keys follow after.
	List func(ctx context.Context, r ListRequest) (Page, error)
	// Watch returns the changes after a revision, or none once it has waited.
	Watch func(ctx context.Context, r ChangesRequest) (Page, error)
}

// ListRequest asks for a page of a list.
type ListRequest struct {
	Prefix string
	// After is the key that the page follows, empty for the first page.
	After string
	// Fresh asks for a new connection.
	Fresh bool
}

// ChangesRequest asks for changes.
type ChangesRequest struct {
	Prefix string
	// After is the revision that the changes follow.
	After int64
	// Wait is how long the store may wait for a change.
	Wait clock.Milli
	// Fresh asks for a new connection.
	Fresh bool
}

// Config configures a [Follower].
type Config struct {
	Clock  clock.Clock
	Source Source
	// Prefix selects the keys to follow.
	Prefix string
	Timing Timing
	// LapseAfter is how long the store must have been silent before a record can have
	// lapsed for that.
	LapseAfter clock.Milli
	// Readers returns the number of daemons that follow the store.
	Readers func() int
	// Jitter returns a random duration below the given one.
	Jitter func(clock.Milli) clock.Milli
	// Listed is called with each complete list. mayLack reports that records may be
	// missing from it only because the store was silent before.
	Listed func(now clock.Milli, items []Item, mayLack bool)
	// Changed is called with the changes that a watch returned, in their order.
	Changed func(now clock.Milli, items []Item)
	// Answered is called for each complete list and each watch that the store
	// answered.
	Answered func(now clock.Milli)
	// Proved is called after Listed or Changed with Page.SentAt: all that the store
	// acknowledged before that instant is known now. nil ignores it.
	Proved func(sentAt clock.Milli)
	// OutageBegan is called with the error of the first failed read,
	// OutageEnded once the store has been listed again.
	OutageBegan func(err error)
	OutageEnded func()
	// AttemptEnded is called for each attempt at a read that ended, Repeated when an
	// unanswered read is about to be sent again. nil ignores them.
	AttemptEnded func(a Attempt)
	Repeated     func(r Repeat)
}

// Follower follows one prefix. Run owns the fields above mu; the other methods may
// be called concurrently with it.
type Follower struct {
	cfg      Config
	inOutage bool
	backoff  clock.Milli
	// answeredAt is when the store last answered a read, 0 if it never has.
	answeredAt clock.Milli

	mu sync.Mutex
	// revision is that of the store as of the last read, seen the revision of the
	// newest change that was read, and heard that of the newest change that
	// another daemon knows, since heardAt.
	revision int64
	seen     int64
	heard    int64
	heardAt  clock.Milli
	// reading is the read in progress, nil if there is none.
	reading *read
}

// New returns a follower that has not read anything.
func New(cfg Config) *Follower {
	if cfg.AttemptEnded == nil {
		cfg.AttemptEnded = func(Attempt) {}
	}
	if cfg.Repeated == nil {
		cfg.Repeated = func(Repeat) {}
	}
	if cfg.Proved == nil {
		cfg.Proved = func(clock.Milli) {}
	}
	return &Follower{
		cfg:     cfg,
		backoff: cfg.Timing.MinBackoff,
	}
}

// Run follows the prefix until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		for err == nil {
			revision, err = f.watch(ctx, revision)
		}
		if isHistoryLost(err) {
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
	sentAt := clock.Milli(0)
	after := ""
	for {
		page, err := f.read(ctx, List, func(ctx context.Context, number int) (Page, error) {
			return f.cfg.Source.List(ctx, ListRequest{
				Prefix: f.cfg.Prefix,
				After:  after,
				Fresh:  number > 0,
			})
		})
		if err != nil {
			return 0, err
		}
		if revision < 0 {
			revision = page.Revision
			sentAt = page.SentAt
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.recordRead(revision, items)
	now := f.cfg.Clock.Now()
	mayLack := f.inOutage && now-f.answeredAt >= f.cfg.LapseAfter
	f.answeredAt = now
	f.cfg.Answered(now)
	f.cfg.Listed(now, items, mayLack)
	f.cfg.Proved(sentAt)
	f.recordSuccess()
	return revision, nil
}

// watch does one watch and returns the revision from which to continue.
func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	page, err := f.read(ctx, Watch, func(ctx context.Context, number int) (Page, error) {
		return f.cfg.Source.Watch(ctx, ChangesRequest{
			Prefix: f.cfg.Prefix,
			After:  revision,
			Wait:   f.beginWatch(number),
			Fresh:  number > 0,
		})
	})
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
	f.answeredAt = now
	f.cfg.Answered(now)
	if len(page.Items) > 0 {
		f.cfg.Changed(now, page.Items)
	}
	f.cfg.Proved(page.SentAt)
	if len(page.Items) > 0 {
		select {
		case <-ctx.Done():
		case <-f.cfg.Clock.After(f.cfg.Timing.Batch):
		}
	}
	return page.Revision, nil
}

// recordSuccess resets the backoff and ends an outage.
func (f *Follower) recordSuccess() {
	f.backoff = f.cfg.Timing.MinBackoff
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
	f.backoff = min(f.cfg.Timing.MaxBackoff, f.backoff*2)
	select {
	case <-ctx.Done():
	case <-f.cfg.Clock.After(pause):
	}
}
