// Package leave keeps the marks of hosts that are leaving and passes them on.
//
// A mark names a host and the leaving process on it by its incarnation, so it
// does not apply to the next process after a restart. A table only adds marks
// until they expire, so the merge of two tables is their union. As with updates
// of membership, a new mark is sent at once to a few members and then
// piggybacked on other messages a bounded number of times; a digest on pings
// detects marks that were lost.
//
// Load is not passed on this way. Thresholds and queue lengths are carried by
// answers to requests, which reach exactly the daemons that need them. A mark
// must also reach daemons that have not called the host yet.
package leave

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// Expiry is the age at which a mark is removed. A leaving process ends long
	// before.
	Expiry = 15 * clock.Minute
	// maxTableMarks is the largest number of marks in a table.
	maxTableMarks = 1024
	// maxUpdates is the largest number of marks piggybacked on one message.
	maxUpdates = 16
	// maxHostBytes is the longest accepted control address.
	maxHostBytes = 64
)

// Config configures a [Table].
type Config struct {
	// Marked is called for each new mark. It may be nil.
	Marked func(now clock.Milli, m Mark)
}

// Table holds the marks known to one daemon. It is not safe for concurrent
// use.
type Table struct {
	cfg   Config
	marks []entry
}

// entry is a mark in a table.
type entry struct {
	mark      Mark
	createdAt clock.Milli
	// sendsLeft is the number of messages that are still to carry the mark.
	sendsLeft int
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg,
	}
}

// Add adds a mark that is to be passed on transmits times, and reports whether
// it is new. It ignores marks that are known, expired or invalid, and any mark
// while the table is full.
func (t *Table) Add(now clock.Milli, m Mark, transmits int) bool {
	if m.Age < 0 || m.Age > Expiry || len(m.Host) > maxHostBytes || len(t.marks) >= maxTableMarks {
		return false
	}
	if t.Has(m.Host, m.Incarnation) {
		return false
	}
	t.marks = append(t.marks, entry{
		mark:      m,
		createdAt: now - m.Age,
		sendsLeft: transmits,
	})
	if t.cfg.Marked != nil {
		t.cfg.Marked(now, m)
	}
	return true
}

// Has reports whether a process is marked.
func (t *Table) Has(host string, incarnation uint64) bool {
	return slices.ContainsFunc(t.marks, func(e entry) bool {
		return e.mark.Host == host && e.mark.Incarnation == incarnation
	})
}

// Marks returns all marks with their ages.
func (t *Table) Marks(now clock.Milli) []Mark {
	list := make([]Mark, 0, len(t.marks))
	for _, e := range t.marks {
		list = append(list, e.withAge(now))
	}
	return list
}

// Digest returns a digest of the marks that does not depend on their order. It
// is 0 if there are none.
func (t *Table) Digest() uint64 {
	sum := uint64(0)
	for _, e := range t.marks {
		sum ^= xxhash.Sum64String(e.mark.Host) + e.mark.Incarnation
	}
	return sum
}

// HasUpdates reports whether marks are waiting to be passed on.
func (t *Table) HasUpdates() bool {
	return slices.ContainsFunc(t.marks, func(e entry) bool { return e.sendsLeft > 0 })
}

// Updates returns the marks to put on one message, those with the most
// transmissions left first, and counts their transmissions.
func (t *Table) Updates(now clock.Milli) []Mark {
	var list []Mark
	for range maxUpdates {
		best := -1
		for i, e := range t.marks {
			if e.sendsLeft > 0 && (best < 0 || e.sendsLeft > t.marks[best].sendsLeft) && !containsMark(list, e.mark) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		t.marks[best].sendsLeft--
		list = append(list, t.marks[best].withAge(now))
	}
	return list
}

func containsMark(list []Mark, m Mark) bool {
	return slices.ContainsFunc(list, func(o Mark) bool {
		return o.Host == m.Host && o.Incarnation == m.Incarnation
	})
}

// Sweep removes expired marks.
func (t *Table) Sweep(now clock.Milli) {
	t.marks = slices.DeleteFunc(t.marks, func(e entry) bool { return now-e.createdAt > Expiry })
}

// withAge returns the mark with its age at a time.
func (e entry) withAge(now clock.Milli) Mark {
	return Mark{
		Host:        e.mark.Host,
		Incarnation: e.mark.Incarnation,
		Age:         now - e.createdAt,
	}
}
