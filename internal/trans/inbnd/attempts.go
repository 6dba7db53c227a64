package inbnd

import (
	"sync"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// memory is how long the ids of ended and fenced attempts are kept at
	// least.
	memory = 30 * clock.Second
	// travel is the longest time that a question may be on its way: whoever
	// asks has given up by then.
	travel = 500 * clock.Millisecond
	// maxTries bounds the ids kept in one period.
	maxTries = 200_000
)

// tries remembers attempts for a while, so that a question about one can be
// answered and one that was given up is not run when it arrives late. It is
// safe for concurrent use.
type tries struct {
	mu sync.Mutex
	// running holds a channel for each attempt in progress, closed when the
	// attempt is cancelled.
	running map[string]*cancelable
	// recent holds the ended and fenced attempts of this period and the last.
	recent [2]period
	turned clock.Milli
	// started is when this process began to remember.
	started clock.Milli
}

// fate is what is remembered of an attempt.
type fate uint8

const (
	// unseen means that nothing is remembered.
	unseen fate = iota
	// fenced means that the attempt did not run and will not.
	fenced
	// ended means that the attempt was dealt with.
	ended
	// running means that it is in progress.
	running
	// forgotten means that there was no room to remember everything.
	forgotten
)

// mark is what is remembered of an ended or fenced attempt.
type mark struct {
	fate fate
	// until is the instant up to which a fenced attempt may still arrive.
	until clock.Milli
}

// period holds the attempts of one stretch of time.
type period struct {
	marks map[string]mark
	// full tells that some attempt could not be remembered.
	full bool
}

func newPeriod() period {
	return period{
		marks: make(map[string]mark),
	}
}

type cancelable struct {
	ch   chan struct{}
	once sync.Once
}

func (c *cancelable) cancel() { c.once.Do(func() { close(c.ch) }) }

func newTries(now clock.Milli) *tries {
	return &tries{
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
func (t *tries) begin(id string) fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.fateOf(id); known != unseen && known != forgotten {
		return known
	}
	t.running[id] = &cancelable{
		ch: make(chan struct{}),
	}
	return unseen
}

// cancelled returns the channel that is closed when the attempt is cancelled.
func (t *tries) cancelled(id string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.running[id]; ok {
		return c.ch
	}
	return nil
}

// end records that the attempt is over.
func (t *tries) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	t.remember(id, mark{
		fate: ended,
	})
}

// query returns what is known of an attempt, and fences one that has not
// arrived. It returns forgotten if the attempt may have been dealt with, by
// this process or by the one that it took the place of. An attempt that was
// aimed at this process can't have reached the one before.
func (t *tries) query(now clock.Milli, h hop.Hop, aimed bool) fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.fateOf(h.Attempt)
	if known != unseen {
		return known
	}
	if !aimed && h.Age >= now-t.started-travel {
		return forgotten
	}
	if h.Age >= memory || !t.remember(h.Attempt, fenceOf(now, h)) {
		return forgotten
	}
	return fenced
}

// fenceOf returns the mark of a fenced attempt. Its sender closes the
// connection that it may still come on at its deadline.
func fenceOf(now clock.Milli, h hop.Hop) mark {
	return mark{
		fate:  fenced,
		until: now + h.Remaining - h.Age + travel,
	}
}

// cancel tells a running attempt to stop and fences one that has not arrived.
func (t *tries) cancel(now clock.Milli, h hop.Hop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.running[h.Attempt]; ok {
		c.cancel()
		return
	}
	if t.fateOf(h.Attempt) == unseen {
		t.remember(h.Attempt, fenceOf(now, h))
	}
}

// rotate forgets the older period once the newer one is old enough, but for
// fenced attempts that may still arrive.
func (t *tries) rotate(now clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.turned < memory {
		return
	}
	t.turned = now
	old := t.recent[1]
	t.recent[1] = t.recent[0]
	t.recent[0] = newPeriod()
	for id, m := range old.marks {
		if m.fate == fenced && m.until > now {
			t.recent[0].marks[id] = m
		}
	}
}

func (t *tries) fateOf(id string) fate {
	if _, ok := t.running[id]; ok {
		return running
	}
	full := false
	for _, p := range t.recent {
		if m, ok := p.marks[id]; ok {
			return m.fate
		}
		full = full || p.full
	}
	if full {
		return forgotten
	}
	return unseen
}

// remember keeps the fate of an attempt and reports whether there was room.
func (t *tries) remember(id string, m mark) bool {
	p := &t.recent[0]
	if len(p.marks) >= maxTries {
		p.full = true
		return false
	}
	p.marks[id] = m
	return true
}
