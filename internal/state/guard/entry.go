package guard

import (
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// find returns the entry of tk's request, or nil. An entry belongs to this
// incarnation, so a ticket of another one has none.
func (t *Table) find(tk ticket.Ticket) *entry {
	if tk.Incarnation != t.cfg.Incarnation {
		return nil
	}
	return t.entries[tk.ID]
}

// replay tells what an entry that exists says.
func (t *Table) replay(e *entry) Verdict {
	v := e.verdict()
	v.Stamp = t.stamp()
	if v.Status == Unknown {
		t.stats.Unknown++
	}
	return v
}

// verdict tells what e says about its request.
func (e *entry) verdict() Verdict {
	switch e.state {
	case held, started:
		return Verdict{Status: Running}
	case done:
		return Verdict{
			Status: Done,
			Answer: e.answer,
		}
	case large:
		return Verdict{
			Status: Done,
			Reason: AnswerTooLarge,
		}
	case tombstone:
		return Verdict{Status: NotRun}
	}
	return Verdict{
		Status: Unknown,
		Reason: Interrupted,
	}
}

// unseen decides about a ticket without an entry by its stamp alone. It
// returns false when the request may still be started or fenced.
func (t *Table) unseen(tk ticket.Ticket) (Verdict, bool) {
	switch {
	case tk.Incarnation != t.cfg.Incarnation:
		return t.say(Unknown, OtherIncarnation), true
	case tk.Generation <= t.forgotten:
		return t.say(Unknown, Forgotten), true
	case t.closed:
		return t.say(NotRun, Closed), true
	case tk.Generation < t.floor:
		return t.say(NotRun, Stale), true
	case tk.Generation > t.generation:
		return t.say(Unknown, Ahead), true
	}
	return Verdict{}, false
}

func (t *Table) say(status Status, reason Reason) Verdict {
	switch status {
	case NotRun:
		t.stats.Refused++
	case Unknown:
		t.stats.Unknown++
	}
	return Verdict{
		Status: status,
		Reason: reason,
		Stamp:  t.stamp(),
	}
}

func (t *Table) stamp() ticket.Stamp {
	return ticket.Stamp{
		Incarnation: t.cfg.Incarnation,
		Generation:  t.generation,
	}
}

// hasRoom reports whether one more request can be held.
func (t *Table) hasRoom() bool { return len(t.entries) < t.cfg.Entries && t.fits() }

// fits reports whether there is room for the answer of one more started
// request.
func (t *Table) fits() bool { return t.bytes+(t.running+1)*t.cfg.MaxAnswerBytes <= t.cfg.Bytes }

// end gives an entry its final state and the instant of its forgetting.
func (t *Table) end(now clock.Milli, id string, e *entry, s state) {
	e.state = s
	e.until = now + t.cfg.Window
	t.live--
	t.running--
	t.ended.push(id)
}

// bury makes e a tombstone. The next generation begins early when this one
// has many.
func (t *Table) bury(id string, e *entry) {
	e.state = tombstone
	t.buried.push(id)
	t.fresh++
	if t.fresh >= max(1, t.cfg.Entries/tombstoneShare) {
		t.open(t.generation)
	}
}

// advance begins the generations that are due and forgets what is past.
func (t *Table) advance(now clock.Milli) {
	if now >= t.next {
		t.next = now + t.cfg.Window/generationsPerWindow
		t.open(t.generation)
	}
	t.forget(now)
}

// open begins the next generation and closes all below floor.
func (t *Table) open(floor uint64) {
	t.generation++
	t.floor = floor
	t.fresh = 0
	t.exhume()
}

// closeAll fences every unseen ticket minted so far.
func (t *Table) closeAll() {
	t.stats.Closings++
	t.open(t.generation + 1)
}

// exhume drops the tombstones of closed generations: their tickets are
// refused by generation alone.
func (t *Table) exhume() {
	for n := t.buried.len(); n > 0; n-- {
		id := t.buried.pop()
		if t.entries[id].generation >= t.floor {
			t.buried.push(id)
			continue
		}
		delete(t.entries, id)
	}
}

// forget drops ended entries whose window has passed and whose ticket is no
// longer started. A closed table does not grow, so it keeps what it has: its
// heirs keep it for a whole window more and must not know better.
func (t *Table) forget(now clock.Milli) {
	for t.ended.len() > 0 && !t.closed {
		id := t.ended.peek()
		e := t.entries[id]
		if e.until > now || e.generation >= t.floor {
			return
		}
		t.ended.pop()
		t.bytes -= e.kept()
		t.forgotten = max(t.forgotten, e.generation)
		delete(t.entries, id)
	}
}

// kept returns the bytes that e's answer counts for.
func (e *entry) kept() int {
	if e.state != done {
		return 0
	}
	return e.answer.Size()
}
