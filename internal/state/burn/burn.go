// Package burn measures how fast calls use up the error budget of their
// service-level objectives.
//
// A [Table] counts good and bad calls for each combination of service,
// importance and caller. The counts of one combination are a [series] of two
// rings of time buckets: a fine one that reaches back an hour and a coarse one
// that reaches back three days. Memory is bounded by the number of
// combinations; calls of any further one are counted under the caller
// [Others], so that no call is lost to its service.
//
// Time is the monotonic clock of one process and is passed in. Reports name
// buckets by their age instead of their instant, so reports of many hosts add
// up without any agreement of their clocks; only the edge of a bucket differs
// between them.
//
// A [Rate] relates the share of bad calls in a window to the share that the
// objective allows: at 1 the budget of the objective's period is used up
// exactly at its end. An alert needs two windows, a long one that shows that
// the loss matters and a short one that shows that it still goes on.
package burn

import (
	"cmp"
	"slices"
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// Others is the caller and the importance under which calls are counted once
// the table is full.
const Others = "*"

// DefaultMaxKeys is the number of combinations of a [Table] made with none.
const DefaultMaxKeys = 128

// Key is what calls are counted by.
type Key struct {
	Service    string
	Importance string
	Caller     string
}

// Compare orders keys by service, importance and caller.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Service, o.Service),
		cmp.Compare(k.Importance, o.Importance),
		cmp.Compare(k.Caller, o.Caller),
	)
}

// Count is a number of calls.
type Count struct {
	Good uint64
	Bad  uint64
}

// Plus returns the sum of both.
func (c Count) Plus(o Count) Count {
	return Count{
		Good: c.Good + o.Good,
		Bad:  c.Bad + o.Bad,
	}
}

// Total returns the number of all calls.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Config is what a [Table] is made from.
type Config struct {
	// MaxKeys bounds the combinations that are counted apart, those of [Others]
	// left out. 0 stands for [DefaultKeys].
	MaxKeys int
	// Now is the present.
	Now clock.Milli
}

// Table counts calls. It is safe for concurrent use: a call takes the lock of
// its own series for a few additions, and a report that of one series at a
// time.
type Table struct {
	keys  int
	start clock.Milli

	mu     sync.RWMutex
	series map[Key]*series
	// shared is the number of series of Others.
	shared int
}

// New returns a table without a count.
func New(cfg Config) *Table {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = DefaultMaxKeys
	}
	return &Table{
		keys:   cfg.MaxKeys,
		start:  cfg.Now,
		series: make(map[Key]*series),
	}
}

// Add counts one call.
func (t *Table) Add(now clock.Milli, key Key, good bool) {
	one := Count{
		Bad: 1,
	}
	if good {
		one = Count{
			Good: 1,
		}
	}
	t.find(key).add(now-t.start, one)
}

// find returns the series of the key, or that of the rest of its service.
func (t *Table) find(key Key) *series {
	t.mu.RLock()
	s, ok := t.series[key]
	t.mu.RUnlock()
	if ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.series[key]; ok {
		return s
	}
	if len(t.series)-t.shared >= t.keys {
		// Services come from the rules, so that these are few.
		key.Importance = Others
		key.Caller = Others
		if s, ok := t.series[key]; ok {
			return s
		}
		t.shared++
	}
	s = newSeries()
	t.series[key] = s
	return s
}

// Age returns how long the table has counted.
func (t *Table) Age(now clock.Milli) clock.Milli { return now - t.start }

// Keys returns all keys that have a count, in order.
func (t *Table) Keys() []Key {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keys := make([]Key, 0, len(t.series))
	for key := range t.series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}

// Sums returns the counts of one key in each of [Windows].
func (t *Table) Sums(now clock.Milli, key Key) []Count {
	s, ok := t.lookup(key)
	if !ok {
		return make([]Count, len(Windows()))
	}
	return s.sums(now - t.start)
}

// Buckets returns the coarse buckets of one key by their age, the present one
// first. Empty ones at the end are left out.
func (t *Table) Buckets(now clock.Milli, key Key) []Count {
	s, ok := t.lookup(key)
	if !ok {
		return nil
	}
	return s.buckets(now - t.start)
}

func (t *Table) lookup(key Key) (*series, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.series[key]
	return s, ok
}
