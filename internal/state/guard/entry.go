package guard

import (
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// find returns the entry of the request on ticket tk, or nil. All entries
// belong to the table's own incarnation, so a ticket of another incarnation has
// none.
func (t *Table) find(tk ticket.Ticket) *entry {
	if tk.Incarnation != t.cfg.Incarnation {
		return nil
	}
	return t.entries[tk.ID]
}

// entryVerdict returns the verdict for a request that has entry e, and counts
// it.
func (t *Table) entryVerdict(e *entry) Verdict {
	v := e.verdict()
	v.Stamp = t.stamp()
	if v.Status == Unknown {
		t.stats.Unknown++
	}
	return v
}

// verdict returns the verdict that follows from the state of e.
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

// decideUnseen decides about a ticket without an entry by its incarnation and
// generation alone. It returns false when these leave open whether to start or
// fence the request.
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

// newVerdict returns a verdict with the present stamp, and counts it.
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

// hasRoom reports whether there is room for one more held request.
func (t *Table) hasRoom() bool { return len(t.entries) < t.cfg.Entries && t.hasRoomForAnswer() }

// hasRoomForAnswer reports whether one more request can be started: each
// started request reserves the room of the longest answer that is kept.
func (t *Table) hasRoomForAnswer() bool {
	return t.answerBytes+(t.running+1)*t.cfg.MaxAnswerBytes <= t.cfg.Bytes
}

// end moves a started entry to its final state and sets when it may be
// forgotten.
func (t *Table) end(now clock.Milli, id string, e *entry, final state) {
	e.state = final
	e.expires = now + t.cfg.Window
	t.live--
	t.running--
	t.ended.push(id)
}

// makeTombstone turns e into a tombstone. When the present generation has too
// many of them, the next generation begins early.
func (t *Table) makeTombstone(id string, e *entry) {
	e.state = tombstone
	t.tombstones.push(id)
	t.newTombstones++
	if t.newTombstones >= max(1, t.cfg.Entries/tombstoneDivisor) {
		t.beginGeneration(t.generation)
	}
}

// advance begins the next generation when it is due and forgets expired
// entries.
func (t *Table) advance(now clock.Milli) {
	if now >= t.nextGenerationAt {
		t.nextGenerationAt = now + t.cfg.Window/generationsPerWindow
		t.beginGeneration(t.generation)
	}
	t.forgetExpired(now)
}

// beginGeneration begins the next generation. From now on only tickets of
// generation minGeneration or later are started.
func (t *Table) beginGeneration(minGeneration uint64) {
	t.generation++
	t.minGeneration = minGeneration
	t.newTombstones = 0
	t.dropTombstones()
}

// closeGenerations closes every generation up to the present one, which fences
// all unseen tickets minted so far.
func (t *Table) closeGenerations() {
	t.stats.Closings++
	t.beginGeneration(t.generation + 1)
}

// dropTombstones removes the tombstones of closed generations. Their tickets
// need no entry any more because they are refused by generation alone.
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

// forgetExpired removes ended entries whose window has passed and whose
// generation is closed. A closed table keeps all entries: it does not grow any
// more, and its successors keep the exported entries for another whole window,
// so it must not forget a request that they still know.
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

// keptBytes returns the memory that the kept answer of e takes.
func (e *entry) keptBytes() int {
	if e.state != done {
		return 0
	}
	return e.answer.Size()
}
