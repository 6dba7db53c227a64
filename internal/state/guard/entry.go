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

// entryVerdict tells what an entry that exists says.
func (t *Table) entryVerdict(e *entry) Verdict {
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
	case doneTooLarge:
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

// decideUnseen decides about a ticket without an entry by its stamp alone. It
// returns false when the request may still be started or fenced.
func (t *Table) decideUnseen(tk ticket.Ticket) (Verdict, bool) {
	switch {
	case tk.Incarnation != t.cfg.Incarnation:
		return t.newVerdict(Unknown, OtherIncarnation), true
	case tk.Generation <= t.forgotten:
		return t.newVerdict(Unknown, Forgotten), true
	case t.closed:
		return t.newVerdict(NotRun, Closed), true
	case tk.Generation < t.minGeneration:
		return t.newVerdict(NotRun, Stale), true
	case tk.Generation > t.generation:
		return t.newVerdict(Unknown, Ahead), true
	}
	return Verdict{}, false
}

func (t *Table) newVerdict(status Status, reason Reason) Verdict {
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
func (t *Table) hasRoom() bool { return len(t.entries) < t.cfg.Entries && t.hasRoomForAnswer() }

// hasRoomForAnswer reports whether there is room for the answer of one more started
// request.
func (t *Table) hasRoomForAnswer() bool {
	return t.answerBytes+(t.running+1)*t.cfg.MaxAnswerBytes <= t.cfg.Bytes
}

// end gives an entry its final state and the instant of its forgetting.
func (t *Table) end(now clock.Milli, id string, e *entry, final state) {
	e.state = final
	e.expires = now + t.cfg.Window
	t.live--
	t.running--
	t.ended.push(id)
}

// makeTombstone makes e a tombstone. The next generation begins early when this one
// has many.
func (t *Table) makeTombstone(id string, e *entry) {
	e.state = tombstone
	t.tombstones.push(id)
	t.newTombstones++
	if t.newTombstones >= max(1, t.cfg.Entries/tombstoneDivisor) {
		t.beginGeneration(t.generation)
	}
}

// advance begins the generations that are due and forgets what is past.
func (t *Table) advance(now clock.Milli) {
	if now >= t.nextGenerationAt {
		t.nextGenerationAt = now + t.cfg.Window/generationsPerWindow
		t.beginGeneration(t.generation)
	}
	t.forgetExpired(now)
}

// beginGeneration begins the next generation and closes all below floor.
func (t *Table) beginGeneration(minGeneration uint64) {
	t.generation++
	t.minGeneration = minGeneration
	t.newTombstones = 0
	t.dropTombstones()
}

// closeGenerations fences every unseen ticket minted so far.
func (t *Table) closeGenerations() {
	t.stats.Closings++
	t.beginGeneration(t.generation + 1)
}

// dropTombstones drops the tombstones of closed generations: their tickets are
// refused by generation alone.
func (t *Table) dropTombstones() {
	for n := t.tombstones.len(); n > 0; n-- {
		id := t.tombstones.pop()
		if t.entries[id].generation >= t.minGeneration {
			t.tombstones.push(id)
			continue
		}
		delete(t.entries, id)
	}
}

// forgetExpired drops ended entries whose window has passed and whose ticket is no
// longer started. A closed table does not grow, so it keeps what it has: its
// heirs keep it for a whole window more and must not know better.
func (t *Table) forgetExpired(now clock.Milli) {
	for t.ended.len() > 0 && !t.closed {
		id := t.ended.peek()
		e := t.entries[id]
		if e.expires > now || e.generation >= t.minGeneration {
			return
		}
		t.ended.pop()
		t.answerBytes -= e.keptBytes()
		t.forgotten = max(t.forgotten, e.generation)
		delete(t.entries, id)
	}
}

// keptBytes returns the bytes that e's answer counts for.
func (e *entry) keptBytes() int {
	if e.state != done {
		return 0
	}
	return e.answer.Size()
}
