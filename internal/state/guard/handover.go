package guard

import (
	"maps"
	"slices"

	"siskinswitch.example/siskin/pkg/clock"
)

// Handover is one part of an exported table. The daemon that stores it answers
// for the stopped daemon from then on. It holds durations and no instants
// because the clocks of two hosts are not related. Tombstones are not exported:
// a closed table starts nothing more, so a request without a record is known
// not to have run.
type Handover struct {
	// Target is the name of the target whose daemon stopped. A daemon that
	// passes a stored handover on sends it to the successors of this target,
	// not to the successors of its own.
	Target string `cbor:"target"`
	// Incarnation is the incarnation of the closed table.
	Incarnation uint64 `cbor:"incarnation"`
	// ExportSeq numbers the exports of one table. A higher one replaces a
	// lower.
	ExportSeq uint64 `cbor:"series"`
	// Part is the number of this part, from 0 to Parts-1.
	Part  int `cbor:"part"`
	Parts int `cbor:"parts"`
	// Forgotten is the highest generation of any request that ran, or may have
	// run, and whose entry the table had already dropped.
	Forgotten uint64 `cbor:"forgotten"`
	// Window is how long the receiver keeps the handover.
	Window  clock.Milli `cbor:"window"`
	Records []Record    `cbor:"records"`
}

// Result is the state of a request in a handover.
type Result uint8

// Results of requests.
const (
	// ResultUnknown: it is unknown whether the request ran, because its
	// exchange with the target was interrupted or had not ended yet.
	ResultUnknown Result = iota + 1
	// ResultDone: the request ran, and the record holds its answer.
	ResultDone
	// ResultTooLarge: the request ran, but its answer was too long to keep.
	ResultTooLarge
)

// Record is one request in a handover.
type Record struct {
	ID     string `cbor:"id"`
	Digest uint64 `cbor:"digest"`
	Result Result `cbor:"result"`
	Answer Answer `cbor:"answer"`
}

// recordOverheadBytes is the memory that a record takes apart from its id and
// answer.
const recordOverheadBytes = 64

func (r Record) size() int { return recordOverheadBytes + len(r.ID) + r.Answer.Size() }

// Export returns the closed table in parts, at least one. A part takes about
// the given number of bytes, and more only if a single record does. Requests
// that are still in progress are exported as unknown; export again once they
// have ended, and the newer export replaces the older one. It returns an *Error
// of kind NotClosed when the table has not been closed: the receiver answers
// "not run" for every request without a record, and only a closed table
// guarantees that none of these starts here later.
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

// entry returns the table entry that r describes.
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
