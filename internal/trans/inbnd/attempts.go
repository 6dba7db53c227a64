package inbnd

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// minRetention is how long the ids of ended and fenced attempts are kept at
	// least.
	minRetention = 30 * clock.Second
	// maxQueryDelay is the longest time that a question may be on its way: whoever
	// asks has given up by then.
	maxQueryDelay = 500 * clock.Millisecond
	// maxPeriodAttempts bounds the ids kept in one period.
	maxPeriodAttempts = 200_000
)

// attemptTable remembers attempts for a while, so that a question about one can be
// answered and one that was given up is not run when it arrives late. It is
// safe for concurrent use.
type attemptTable struct {
	mu sync.Mutex
	// running holds a channel for each attempt in progress, closed when the
	// attempt is cancelled.
	running map[string]*cancelable
	// recent holds the ended and fenced attempts of this period and the last.
	recent       [2]period
	lastRotation clock.Milli
	// started is when this process began to remember.
	started clock.Milli
}

// attemptState is what is remembered of an attempt.
type attemptState uint8

const (
	// unseen means that nothing is remembered.
	unseen attemptState = iota
	// fenced means that the attempt did not run and will not.
	fenced
	// ended means that the attempt was dealt with.
	ended
	// running means that it is in progress.
	running
	// forgotten means that there was no room to remember everything.
	forgotten
)

// record is what is remembered of an ended or fenced attempt.
type record struct {
	state attemptState
	// fencedUntil is the instant up to which a fenced attempt may still arrive.
	fencedUntil clock.Milli
}

// period holds the attempts of one stretch of time.
type period struct {
	records map[string]record
	// full tells that some attempt could not be remembered.
	full bool
}

func newPeriod() period {
	return period{
		records: make(map[string]record),
	}
}

type cancelable struct {
	ch   chan struct{}
	once sync.Once
}

func (c *cancelable) cancel() { c.once.Do(func() { close(c.ch) }) }

func newAttemptTable(now clock.Milli) *attemptTable {
	return &attemptTable{
		started: now,
		running: make(map[string]*cancelable),
		recent: [2]period{
			newPeriod(),
			newPeriod(),
		},
	}
}

// begin records an arrival and returns what was known of the attempt before:
// it may go on only if that is unseen.
func (t *attemptTable) begin(id string) attemptState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.stateOf(id); known != unseen && known != forgotten {
		return known
	}
	t.running[id] = &cancelable{
		ch: make(chan struct{}),
	}
	return unseen
}

// cancelled returns the channel that is closed when the attempt is cancelled.
func (t *attemptTable) cancelled(id string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.running[id]; ok {
		return c.ch
	}
	return nil
}

// end records that the attempt is over.
func (t *attemptTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	t.remember(id, record{
		state: ended,
	})
}

// query returns what is known of an attempt, and fences one that has not
// arrived. It returns forgotten if the attempt may have been dealt with, by
// this process or by the one that it took the place of. An attempt that was
// aimed at this process can't have reached the one before.
func (t *attemptTable) query(now clock.Milli, h hop.Hop, sameIncarnation bool) attemptState {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.stateOf(h.Attempt)
	if known != unseen {
		return known
	}
	if !sameIncarnation && h.Age >= now-t.started-maxQueryDelay {
		return forgotten
	}
	if h.Age >= minRetention || !t.remember(h.Attempt, fenceRecord(now, h)) {
		return forgotten
	}
	return fenced
}

// fenceRecord returns the mark of a fenced attempt. Its sender closes the
// connection that it may still come on at its deadline.
func fenceRecord(now clock.Milli, h hop.Hop) record {
	return record{
		state:       fenced,
		fencedUntil: now + h.Remaining - h.Age + maxQueryDelay,
	}
}

// cancel tells a running attempt to stop and fences one that has not arrived.
func (t *attemptTable) cancel(now clock.Milli, h hop.Hop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.running[h.Attempt]; ok {
		c.cancel()
		return
	}
	if t.stateOf(h.Attempt) == unseen {
		t.remember(h.Attempt, fenceRecord(now, h))
	}
}

// rotate forgets the older period once the newer one is old enough, but for
// fenced attempts that may still arrive.
func (t *attemptTable) rotate(now clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.lastRotation < minRetention {
		return
	}
	t.lastRotation = now
	old := t.recent[1]
	t.recent[1] = t.recent[0]
	t.recent[0] = newPeriod()
	for id, r := range old.records {
		if r.state == fenced && r.fencedUntil > now {
			t.recent[0].records[id] = r
		}
	}
}

func (t *attemptTable) stateOf(id string) attemptState {
	if _, ok := t.running[id]; ok {
		return running
	}
	full := false
	for _, p := range t.recent {
		if r, ok := p.records[id]; ok {
			return r.state
		}
		full = full || p.full
	}
	if full {
		return forgotten
	}
	return unseen
}

// remember keeps the fate of an attempt and reports whether there was room.
func (t *attemptTable) remember(id string, r record) bool {
	p := &t.recent[0]
	if len(p.records) >= maxPeriodAttempts {
		p.full = true
		return false
	}
	p.records[id] = r
	return true
}
