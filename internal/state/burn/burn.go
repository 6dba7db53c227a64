// Package burn measures the burn rate of service-level objectives: how fast
// calls use up the error budget.
//
// A [Table] counts good and bad calls for each combination of service,
// importance and caller. The counts of one combination are a [series] of two
// rings of time buckets: a fine ring of one hour and a coarse ring of three
// days. Memory is bounded by the number of combinations. Calls of further
// combinations are counted under the caller and importance [Others] of their
// service, so that no call is lost to its service.
//
// Time is the monotonic clock of one process and is passed in. Reports
// identify buckets by their age instead of their instant, so that reports of
// many hosts can be added up although their clocks differ; only the edges of
// the buckets differ between hosts.
//
// [Rate] relates the share of bad calls in a window to the share that the
// objective allows: at 1 the error budget is used up exactly at the end of the
// objective's period. An alert needs two windows: a long one, which shows that
// the loss matters, and a short one, which shows that it still goes on.
package burn

import (
	"cmp"
	"slices"
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// Others stands for caller and importance in the key of calls that are counted
// together because the table is full.
const Others = "*"

// DefaultMaxKeys is the number of combinations of a [Table] when
// Config.MaxKeys is zero.
const DefaultMaxKeys = 128

// Key is the combination under which calls are counted.
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

// Count holds numbers of calls.
type Count struct {
	Good uint64
	Bad  uint64
}

// Plus returns the sum of c and o.
func (c Count) Plus(o Count) Count {
	return Count{
		Good: c.Good + o.Good,
		Bad:  c.Bad + o.Bad,
	}
}

// Total returns the number of all calls.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Config configures a [Table].
type Config struct {
	// MaxKeys bounds the combinations that are counted separately, not
	// including those of [Others]. 0 takes [DefaultMaxKeys].
	MaxKeys int
	// Now is the present.
	Now clock.Milli
}

// Table counts calls. It is safe for concurrent use: a call locks only its own
// series for a few additions, and a report locks one series at a time.
type Table struct {
	keys  int
	start clock.Milli

	mu     sync.RWMutex
	series map[Key]*series
	// othersCount is the number of series of Others.
	othersCount int
}

// New returns an empty table.
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
	count := Count{
		Bad: 1,
	}
	if good {
		count = Count{
			Good: 1,
		}
	}
	t.seriesFor(key).add(now-t.start, count)
}

// seriesFor returns the series of the key. If the table is full it returns the
// series of Others of the key's service.
func (t *Table) seriesFor(key Key) *series {
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
	if len(t.series)-t.othersCount >= t.keys {
		// The rules list all services, so the series of Others are few.
		key.Importance = Others
		key.Caller = Others
		if s, ok := t.series[key]; ok {
			return s
		}
		t.othersCount++
	}
	s = newSeries()
	t.series[key] = s
	return s
}

// Age returns how long the table has counted.
func (t *Table) Age(now clock.Milli) clock.Milli { return now - t.start }

// Keys returns all keys that have a count, sorted by [Key.Compare].
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
// first. Empty buckets at the end are left out.
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
