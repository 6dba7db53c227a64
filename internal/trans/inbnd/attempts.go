package inbnd

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// minRetention is the least time for which the ids of ended and fenced
	// attempts are kept.
	minRetention = 30 * clock.Second
	// maxQueryDelay is the longest time that a query may take to arrive. Its
	// sender no longer waits for the answer after that time.
	maxQueryDelay = 500 * clock.Millisecond
	// maxPeriodAttempts bounds the number of ids kept in one period.
	maxPeriodAttempts = 200_000
)

// attemptTable remembers recent attempts. It answers queries about their
// outcome, and keeps an attempt from running that was cancelled or reported as
// not-run before it arrived. It is safe for concurrent use.
type attemptTable struct {
	mu sync.Mutex
	// running holds the attempts in progress.
	running map[string]*cancelable
	// recent holds the ended and fenced attempts of the current period and of
	// the period before it.
	recent       [2]period
	lastRotation clock.Milli
	// started is the time at which the table was created. Attempts made before
	// it may have reached an earlier process.
	started clock.Milli
}

// attemptState is what the table knows about an attempt.
type attemptState uint8

const (
	// unseen means that the attempt has not arrived and is not fenced.
	unseen attemptState = iota
	// fenced means that the attempt did not run and must not run later.
	fenced
	// ended means that the attempt has been answered.
	ended
	// running means that the attempt waits or runs.
	running
	// forgotten means that the table can't tell whether the attempt arrived,
	// because a period was full, the attempt is too old, or an earlier process
	// may have received it.
	forgotten
)

// record is the table's record of an ended or fenced attempt.
type record struct {
	state attemptState
	// fencedUntil is the time until which a fenced attempt may still arrive.
	fencedUntil clock.Milli
}

// period holds the attempts that ended or were fenced within one rotation
// interval.
type period struct {
	records map[string]record
	// full is set once an attempt could not be stored.
	full bool
}

func newPeriod() period {
	return period{
		records: make(map[string]record),
	}
}

// cancelable is an attempt in progress. Its channel is closed when the attempt
// is cancelled.
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

// begin records the arrival of an attempt and returns its earlier
// state. The attempt may run only if that is unseen. An attempt that may have
// been forgotten counts as unseen.
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

// cancelled returns a channel that is closed when the attempt is cancelled, or
// nil if the attempt is not in progress.
func (t *attemptTable) cancelled(id string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.running[id]; ok {
		return c.ch
	}
	return nil
}

// end records that an attempt has been answered.
func (t *attemptTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	t.remember(id, record{
		state: ended,
	})
}

// query returns the state of an attempt, after fencing it if it has not
// arrived. It returns forgotten if the attempt may have run in this process or
// in the process that this one replaced. sameIncarnation means that the attempt
// was addressed to this process, so an earlier process can't have run it.
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

// fenceRecord returns the record of a fenced attempt. The attempt can't arrive
// much later than its deadline, because its sender then closes the connection.
func fenceRecord(now clock.Milli, h hop.Hop) record {
	return record{
		state:       fenced,
		fencedUntil: now + h.Remaining - h.Age + maxQueryDelay,
	}
}

// cancel cancels an attempt in progress, and fences an attempt that has not
// arrived.
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

// rotate drops the older period and begins a new one, if minRetention has
// passed since the last rotation. Fenced attempts that may still arrive are
// moved to the new period.
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

// stateOf returns the state of an attempt. t.mu must be held.
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

// remember stores the record of an attempt. It returns false if the current
// period is full. t.mu must be held.
func (t *attemptTable) remember(id string, r record) bool {
	p := &t.recent[0]
	if len(p.records) >= maxPeriodAttempts {
		p.full = true
		return false
	}
	p.records[id] = r
	return true
}
