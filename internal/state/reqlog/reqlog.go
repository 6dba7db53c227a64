// Package reqlog keeps a log of a daemon's recent decisions about requests, so
// that an operator can find out why a request was refused, retried or sent to
// its target.
//
// A [Ring] holds a fixed number of entries and overwrites the oldest. It is
// divided into equal parts, one for each importance and one for unknown
// outcomes, so that a flood of refused requests of low importance does not
// overwrite the entries that operators ask about. Adding an entry takes a lock
// for a short time and allocates no memory.
package reqlog

import (
	"cmp"
	"slices"
	"sync"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Direction is the half of the daemon that made a decision.
type Direction string

// Directions of requests.
const (
	// Inbound requests are admitted to the target beside the daemon.
	Inbound Direction = "inbound"
	// Outbound requests are calls for which the daemon chose a target.
	Outbound Direction = "outbound"
)

// Entry is one decision about one request.
type Entry struct {
	// Time is the host's wall clock in milliseconds since 1970.
	Time clock.Milli `json:"time"`
	// Root is the id of the root request of the chain.
	Root string `json:"root"`
	// ID is the id of the request itself.
	ID   string `json:"id"`
	Path string `json:"path"`
	// Caller is the caller at the start of the chain.
	Caller     string           `json:"caller,omitempty"`
	Importance rules.Importance `json:"importance"`
	Direction  Direction        `json:"side"`
	// Depth is the number of calls above this request in its chain.
	Depth int `json:"depth,omitempty"`
	// Target is the target that the request was last sent to.
	Target  string `json:"target,omitempty"`
	Outcome string `json:"outcome"`
	// Status is the HTTP status of the answer to an outbound call, 0 for an
	// inbound request.
	Status int `json:"status,omitempty"`
	// Reason is why the request was refused, empty for an answer of the
	// target.
	Reason string `json:"reason,omitempty"`
	// Replayed reports that the answer is a stored answer to an earlier
	// attempt, so that this attempt ran nothing.
	Replayed bool `json:"kept,omitempty"`
	// Attempts is the number of attempts made.
	Attempts int `json:"tries"`
	// AttemptTargets names the targets of the attempts in order, separated by
	// spaces. It is empty unless there was more than one attempt.
	AttemptTargets string `json:"tried,omitempty"`
	// Took is the time from arrival to answer.
	Took clock.Milli `json:"took"`
	// Queued is the part of Took spent waiting for a slot.
	Queued clock.Milli `json:"queued,omitempty"`
}

// unknownOutcome is the outcome of a request that may have run.
const unknownOutcome = "unknown"

// parts is the number of parts of a ring: one for each importance and one for
// unknown outcomes.
const parts = int(rules.Vital) + 2

// Ring holds the newest entries. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	parts [parts]part
}

// part is the ring buffer of one importance or of the unknown outcomes.
type part struct {
	entries []Entry
	next    int
	full    bool
}

// NewRing returns a ring for size entries, at least one in each part.
func NewRing(size int) *Ring {
	r := &Ring{}
	for n := range r.parts {
		r.parts[n].entries = make([]Entry, max(size/parts, 1))
	}
	return r
}

// Add stores e in place of the oldest entry of its part.
func (r *Ring) Add(e Entry) {
	n := min(int(e.Importance), int(rules.Vital))
	if e.Outcome == unknownOutcome {
		n = parts - 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[n].add(e)
}

func (p *part) add(e Entry) {
	p.entries[p.next] = e
	p.next++
	if p.next == len(p.entries) {
		p.next = 0
		p.full = true
	}
}

// Find returns the entries whose id or root id equals id, oldest first. An
// empty id matches every entry.
func (r *Ring) Find(id string) []Entry {
	var found []Entry
	r.mu.Lock()
	for n := range r.parts {
		found = r.parts[n].find(found, id)
	}
	r.mu.Unlock()
	slices.SortStableFunc(found, func(a, b Entry) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

func (p *part) find(found []Entry, id string) []Entry {
	stored := p.entries[:p.next]
	if p.full {
		stored = p.entries
	}
	for _, e := range stored {
		if id == "" || e.ID == id || e.Root == id {
			found = append(found, e)
		}
	}
	return found
}

// CompleteSince returns the time from which on the ring holds every entry that
// was added, 0 if none was ever overwritten.
func (r *Ring) CompleteSince() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := clock.Milli(0)
	for _, p := range r.parts {
		if p.full {
			since = max(since, p.entries[p.next].Time)
		}
	}
	return since
}
