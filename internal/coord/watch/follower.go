// Package watch follows the platform's store and publishes what it says about
// the configuration and the targets.
//
// A [Follower] lists the items under a prefix, then watches for changes after
// the revision of the list. It lists again when the history it needs is gone
// or a watch cannot be trusted. A read that fails is repeated after a growing
// pause with jitter, so that a fleet does not return to the store in step.
//
// While the store cannot be read the last state stays in force. A target whose
// record is missing from the first list after such a time may have lost its
// record only because the store was away; it is kept for a while and treated
// as gone if the record is still missing then.
package watch

import (
	"context"
	"errors"
	"fmt"

	"siskinswitch.example/siskin/pkg/clock"
)

// Item is one key of the store with its value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Page is what one read returned: all items of a list or a part of them, or
// the changes that a watch saw.
type Page struct {
	Items []Item
	// More says that the list goes on after the last item.
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
	// HistoryLost means that the store no longer has the history that a watch needs.
	HistoryLost
	// Rejected means that the store answered and turned the read away.
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

// Source reads the store. Both functions return an [*Error].
type Source struct {
	// List returns the items under prefix after a key.
	List func(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision, or none when wait is over.
	Watch func(ctx context.Context, prefix string, after int64, wait clock.Milli) (Page, error)
}

// Parameters of the reads.
const (
	// watchWait is how long one watch waits at the store.
	watchWait = 15 * clock.Second
	// batchDelay is the pause between a change and the next watch, in which other
	// changes add up to one read.
	batchDelay = 500 * clock.Millisecond
	// minBackoff and pauseLast bound the pause after a failed read.
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 800 * clock.Millisecond
)

// Config is what a Follower is made from.
type Config struct {
	Clock  clock.Clock
	Source Source
	// Prefix is that of the keys to follow.
	Prefix string
	// Jitter returns a random part of a duration.
	Jitter func(clock.Milli) clock.Milli
	// Listed is told of a whole list, and whether reads had failed before it.
	Listed func(now clock.Milli, items []Item, wasAway bool)
	// Changed is told of changes in their order.
	Changed func(now clock.Milli, items []Item)
	// Answered is told of each read that the store answered.
	Answered func(now clock.Milli)
	// OutageBegan and Found are told when the store stops and starts to answer.
	OutageBegan func(err error)
	OutageEnded func()
}

// Follower follows one prefix. Run owns all of its state.
type Follower struct {
	cfg      Config
	inOutage bool
	backoff  clock.Milli
}

// New returns a follower that has read nothing.
func New(cfg Config) *Follower {
	return &Follower{
		cfg:     cfg,
		backoff: minBackoff,
	}
}

// Run follows the prefix until ctx ends.
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

// list reads all items and returns the revision from which to watch: that of
// the first page, because changes between pages may be missing from them.
func (f *Follower) list(ctx context.Context) (int64, error) {
	var items []Item
	revision := int64(-1)
	after := ""
	for {
		page, err := f.cfg.Source.List(ctx, f.cfg.Prefix, after)
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
	now := f.cfg.Clock.Now()
	f.cfg.Answered(now)
	f.cfg.Listed(now, items, f.inOutage)
	f.recordSuccess()
	return revision, nil
}

// watch makes one watch and returns the revision from which to go on.
func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	page, err := f.cfg.Source.Watch(ctx, f.cfg.Prefix, revision, watchWait)
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
	now := f.cfg.Clock.Now()
	f.cfg.Answered(now)
	if len(page.Items) > 0 {
		f.cfg.Changed(now, page.Items)
		select {
		case <-ctx.Done():
		case <-f.cfg.Clock.After(batchDelay):
		}
	}
	return page.Revision, nil
}

func (f *Follower) recordSuccess() {
	f.backoff = minBackoff
	if f.inOutage {
		f.inOutage = false
		f.cfg.OutageEnded()
	}
}

// backOff waits before the next read. The pause doubles up to its bound.
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
