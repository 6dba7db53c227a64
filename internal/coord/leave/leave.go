// Package leave keeps the marks of hosts that are leaving and passes them on.
//
// A mark names a host and the process on it that is leaving, so that it does
// not outlive a restart: the successor has another incarnation. Marks only
// ever get added until they expire; two tables merge by union. Like news of
// membership, a mark is sent at once to a few members and then rides on other
// messages a bounded number of times; a digest on pings finds what got lost.
//
// Nothing here carries load. Thresholds and queue lengths ride on answers,
// which reach exactly the daemons that use them; a mark has to reach those
// that have not called the host yet.
package leave

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// Expiry is the age at which a mark is forgotten. A leaving process is
	// gone long before.
	Expiry = 15 * clock.Minute
	// maxTableMarks bounds the marks that a table holds.
	maxTableMarks = 1024
	// maxUpdates bounds the marks that ride on one message.
	maxUpdates = 16
	// maxHostBytes bounds the length of a control address.
	maxHostBytes = 64
)

// Config is what a [Table] needs.
type Config struct {
	// Marked is told of each new mark.
	Marked func(now clock.Milli, m Mark)
}

// Table holds marks. It is not safe for concurrent use.
type Table struct {
	cfg   Config
	marks []entry
}

type entry struct {
	mark      Mark
	createdAt clock.Milli
	sendsLeft int
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg,
	}
}

// Add takes in a mark, to be passed on a number of times, and reports whether
// it is new.
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

// Marks returns all marks, with their ages.
func (t *Table) Marks(now clock.Milli) []Mark {
	list := make([]Mark, 0, len(t.marks))
	for _, e := range t.marks {
		list = append(list, e.withAge(now))
	}
	return list
}

// Digest returns a digest of the marks, 0 if there are none.
func (t *Table) Digest() uint64 {
	sum := uint64(0)
	for _, e := range t.marks {
		sum ^= xxhash.Sum64String(e.mark.Host) + e.mark.Incarnation
	}
	return sum
}

// HasUpdates reports whether there are marks to pass on.
func (t *Table) HasUpdates() bool {
	return slices.ContainsFunc(t.marks, func(e entry) bool { return e.sendsLeft > 0 })
}

// Updates returns the marks to put on a message, the least often sent first.
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

// Sweep forgets marks that expired.
func (t *Table) Sweep(now clock.Milli) {
	t.marks = slices.DeleteFunc(t.marks, func(e entry) bool { return now-e.createdAt > Expiry })
}

func (e entry) withAge(now clock.Milli) Mark {
	return Mark{
		Host:        e.mark.Host,
		Incarnation: e.mark.Incarnation,
		Age:         now - e.createdAt,
	}
}
