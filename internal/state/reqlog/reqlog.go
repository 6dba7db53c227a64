// Package reqlog keeps a daemon's last decisions about requests, so that an
// operator can ask why one was refused, retried or sent where it was.
//
// A [Ring] holds a fixed number of entries and overwrites the oldest of the same
// kind. There are equal shares for each importance and one for unknown outcomes,
// so that a flood of refused requests of little importance does not wash out
// what an operator is asked about. Adding an entry costs a short lock and no
// memory.
package reqlog

import (
	"cmp"
	"slices"
	"sync"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Direction tells which half of the daemon decided.
type Direction string

// Sides of a daemon.
const (
	// Inbound guards the target beside the daemon.
	Inbound Direction = "inbound"
	// Outbound chose a target for a call.
	Outbound Direction = "outbound"
)

// Entry is one decision about one request.
type Entry struct {
	// Time is on the host's wall clock, in milliseconds since 1970.
	Time clock.Milli `json:"time"`
	// Root is the id of the outermost request of the chain.
	Root string `json:"root"`
	// ID is the id of the request.
	ID   string `json:"id"`
	Path string `json:"path"`
	// Caller is the customer at the start of the chain.
	Caller     string           `json:"caller,omitempty"`
	Importance rules.Importance `json:"importance"`
	Direction  Direction        `json:"side"`
	// Depth is the number of calls above this one in its chain.
	Depth int `json:"depth,omitempty"`
	// Target is the target that the request was last sent to.
	Target  string `json:"target,omitempty"`
	Outcome string `json:"outcome"`
	// Status is the HTTP status of the answer to the call, 0 on the inbound
	// side.
	Status int `json:"status,omitempty"`
	// Reason is the cause of a refusal, empty for an answer of the target.
	Reason string `json:"reason,omitempty"`
	// Replayed says that the answer is the one that an earlier attempt was given,
	// so that this one ran nothing.
	Replayed bool `json:"kept,omitempty"`
	// Attempts is the number of attempts made.
	Attempts int `json:"tries"`
	// AttemptTargets names the targets of the attempts in order, parted by spaces, if
	// there was more than one.
	AttemptTargets string `json:"tried,omitempty"`
	// Took is the time from arrival to answer.
	Took clock.Milli `json:"took"`
	// Queued is the part of Took that was spent waiting for a slot.
	Queued clock.Milli `json:"queued,omitempty"`
}

// unknownOutcome is the outcome of a request that may have run.
const unknownOutcome = "unknown"

// shares is the number of parts that a ring is divided into: one for each
// importance and one for unknown outcomes.
const shares = int(rules.Vital) + 2

// Ring holds the newest entries. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	shares [shares]share
}

// share holds the newest entries of one kind.
type share struct {
	entries []Entry
	next    int
	full    bool
}

// NewRing returns a ring for size entries, at least one of each kind.
func NewRing(size int) *Ring {
	r := &Ring{}
	for n := range r.shares {
		r.shares[n].entries = make([]Entry, max(size/shares, 1))
	}
	return r
}

// Add stores e in place of the oldest entry of its kind.
func (r *Ring) Add(e Entry) {
	n := min(int(e.Importance), int(rules.Vital))
	if e.Outcome == unknownOutcome {
		n = shares - 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares[n].add(e)
}

func (s *share) add(e Entry) {
	s.entries[s.next] = e
	s.next++
	if s.next == len(s.entries) {
		s.next = 0
		s.full = true
	}
}

// Find returns the entries whose id or root id is id, oldest first. An empty
// id matches every entry.
func (r *Ring) Find(id string) []Entry {
	var found []Entry
	r.mu.Lock()
	for n := range r.shares {
		found = r.shares[n].find(found, id)
	}
	r.mu.Unlock()
	slices.SortStableFunc(found, func(a, b Entry) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

func (s *share) find(found []Entry, id string) []Entry {
	held := s.entries[:s.next]
	if s.full {
		held = s.entries
	}
	for _, e := range held {
		if id == "" || e.ID == id || e.Root == id {
			found = append(found, e)
		}
	}
	return found
}

// CompleteSince returns the time since which the ring has forgotten no entry, 0 if it
// has never forgotten one.
func (r *Ring) CompleteSince() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	reach := clock.Milli(0)
	for _, s := range r.shares {
		if s.full {
			reach = max(reach, s.entries[s.next].Time)
		}
	}
	return reach
}
