package guard

import (
	"maps"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// Handover is one part of a closed table, for a daemon that goes on answering
// for it. It holds durations and no instants, because the receiver's clock is
// another one. Tombstones are left out: a closed table starts nothing more,
// so an absent entry says the same.
type Handover struct {
	// Target is the name of the target whose daemon stopped. Who passes a
	// hand-over on chooses the heirs of this target, not its own.
	Target string `cbor:"target"`
	// Incarnation is that of the closed table.
	Incarnation uint64 `cbor:"incarnation"`
	// ExportSeq grows with every export of one table.
	ExportSeq uint64 `cbor:"series"`
	// Part counts from 0 to Parts-1.
	Part  int `cbor:"part"`
	Parts int `cbor:"parts"`
	// Forgotten is the highest generation of which a request that may have run
	// has been forgotten.
	Forgotten uint64 `cbor:"forgotten"`
	// Window is how long the receiver keeps the hand-over.
	Window  clock.Milli `cbor:"window"`
	Records []Record    `cbor:"records"`
}

// Result is the state of a request in a hand-over.
type Result uint8

// Results of requests.
const (
	// ResultUnknown: the request was cut off, or had not ended yet.
	ResultUnknown Result = iota + 1
	// ResultDone: the request ended with the answer in the record.
	ResultDone
	// ResultTooLarge: the request ended, and its answer was too long to keep.
	ResultTooLarge
)

// Record is one request in a hand-over.
type Record struct {
	ID     string `cbor:"id"`
	Digest uint64 `cbor:"digest"`
	Result Result `cbor:"result"`
	Answer Answer `cbor:"answer"`
}

// recordOverheadBytes is the memory that a record takes beside its answer, in bytes.
const recordOverheadBytes = 64

func (r Record) size() int { return recordOverheadBytes + len(r.ID) + r.Answer.Size() }

// Export returns the closed table in parts of about bytes each, at least one.
// Requests that have not ended are exported as unknown; a later export, once
// they have, takes the place of this one. It returns an *Error of kind Open
// when the table has not been closed: what a peer says of unseen requests is
// true only if they can no longer start here.
func (t *Table) Export(now clock.Milli, bytes int) ([]Handover, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		return nil, fail("export", NotClosed, nil)
	}
	t.advance(now)
	t.exportSeq++
	parts := []Handover{t.newPart()}
	room := bytes
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		if e.state == tombstone {
			continue
		}
		r := e.record(id)
		last := &parts[len(parts)-1]
		if r.size() > room && len(last.Records) > 0 {
			parts = append(parts, t.newPart())
			last = &parts[len(parts)-1]
			room = bytes
		}
		last.Records = append(last.Records, r)
		room -= r.size()
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

func (t *Table) newPart() Handover {
	return Handover{
		Target:      t.cfg.Target,
		Incarnation: t.cfg.Incarnation,
		ExportSeq:   t.exportSeq,
		Forgotten:   t.forgotten,
		Window:      t.cfg.Window,
	}
}

func (e *entry) record(id string) Record {
	r := Record{
		ID:     id,
		Digest: e.digest,
		Result: ResultUnknown,
	}
	switch e.state {
	case done:
		r.Result = ResultDone
		r.Answer = e.answer
	case doneTooLarge:
		r.Result = ResultTooLarge
	}
	return r
}

// entry returns the entry that r describes.
func (r Record) entry() *entry {
	e := &entry{
		state:  interrupted,
		digest: r.Digest,
	}
	switch r.Result {
	case ResultDone:
		e.state = done
		e.answer = r.Answer
	case ResultTooLarge:
		e.state = doneTooLarge
	}
	return e
}
