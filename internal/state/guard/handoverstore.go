package guard

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// HandoverStoreConfig configures a HandoverStore. Zero values take the defaults
// of a table.
type HandoverStoreConfig struct {
	// Bytes bounds the memory of all stored handovers.
	Bytes int
	// Window bounds how long a handover is kept, whatever the handover itself
	// says.
	Window clock.Milli
}

// HandoverStore holds the tables that other daemons handed over when they
// stopped. It answers for their incarnations and never starts a request. It has
// one mutex and may be used from any goroutine.
type HandoverStore struct {
	mu     sync.Mutex
	cfg    HandoverStoreConfig
	tables map[uint64]*storedTable
	bytes  int
}

// storedTable is the handover of one incarnation.
type storedTable struct {
	target    string
	exportSeq uint64
	// arrived says for each part whether it has been stored; missing counts the
	// parts that have not.
	arrived   []bool
	missing   int
	forgotten uint64
	entries   map[string]storedEntry
	bytes     int
	// expires is the instant at which the handover is dropped.
	expires clock.Milli
}

// storedEntry is an entry with the number of the part that it arrived in.
type storedEntry struct {
	entry *entry
	part  int
}

// NewHandoverStore returns an empty store.
func NewHandoverStore(cfg HandoverStoreConfig) *HandoverStore {
	if cfg.Bytes <= 0 {
		cfg.Bytes = DefaultBytes
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &HandoverStore{
		cfg:    cfg,
		tables: make(map[uint64]*storedTable),
	}
}

// MaxParts bounds the number of parts of one handover.
const MaxParts = 4096

var (
	errPartNumber   = errors.New("part number out of range")
	errPartMismatch = errors.New("part does not fit the other parts of its series")
	errNoRoom       = errors.New("no room for the part")
)

// Import stores one part of a handover. Parts may arrive in any order and more
// than once; a part of an older export than the newest known one is ignored. It
// returns an *Error of kind Malformed or NoRoom and then stores nothing of the
// part, so its requests stay unknown.
func (s *HandoverStore) Import(now clock.Milli, h Handover) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if h.Parts < 1 || h.Parts > MaxParts || h.Part < 0 || h.Part >= h.Parts {
		return fail("import", Malformed, errPartNumber)
	}
	st := s.tables[h.Incarnation]
	switch {
	case st == nil || h.ExportSeq > st.exportSeq:
		return s.replace(now, st, h)
	case h.ExportSeq < st.exportSeq || len(st.arrived) == h.Parts && st.arrived[h.Part]:
		return nil
	case len(st.arrived) != h.Parts || st.forgotten != h.Forgotten:
		return fail("import", Malformed, errPartMismatch)
	}
	return s.add(st, h)
}

// replace starts a new stored table with h, the first part to arrive of a newer
// export, and drops old, which may be nil.
func (s *HandoverStore) replace(now clock.Milli, old *storedTable, h Handover) error {
	st := &storedTable{
		target:    h.Target,
		exportSeq: h.ExportSeq,
		arrived:   make([]bool, h.Parts),
		missing:   h.Parts,
		forgotten: h.Forgotten,
		entries:   make(map[string]storedEntry, len(h.Records)),
		expires:   now + min(max(h.Window, 0), s.cfg.Window),
	}
	freed := 0
	if old != nil {
		freed = old.bytes
	}
	s.bytes -= freed
	if err := s.add(st, h); err != nil {
		s.bytes += freed
		return err
	}
	s.tables[h.Incarnation] = st
	return nil
}

// add puts the records of part h into st, or returns an error and changes
// nothing.
func (s *HandoverStore) add(st *storedTable, h Handover) error {
	size := 0
	for _, r := range h.Records {
		size += r.size()
	}
	if s.bytes+size > s.cfg.Bytes {
		return fail("import", NoRoom, errNoRoom)
	}
	for _, r := range h.Records {
		st.entries[r.ID] = storedEntry{
			entry: r.entry(),
			part:  h.Part,
		}
	}
	st.arrived[h.Part] = true
	st.missing--
	st.bytes += size
	s.bytes += size
	return nil
}

// Begin decides about an arrival of the request on ticket tk like
// [Table.Begin], except that the verdict is never Fresh. It returns false when
// the store holds nothing of the ticket's incarnation.
func (s *HandoverStore) Begin(now clock.Milli, tk ticket.Ticket, digest uint64) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.storedTable(now, tk)
	if !ok {
		return Verdict{}, false
	}
	if e := st.entries[tk.ID].entry; e != nil && e.digest != digest {
		return Verdict{Status: Mismatch}, true
	}
	return st.verdict(tk), true
}

// Query returns what is known of the request on ticket tk. It returns false
// when the store holds nothing of the ticket's incarnation.
func (s *HandoverStore) Query(now clock.Milli, tk ticket.Ticket) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.storedTable(now, tk)
	if !ok {
		return Verdict{}, false
	}
	return st.verdict(tk), true
}

// Export returns every stored part, split as it arrived. A stopping daemon
// sends them on to the store of another daemon.
func (s *HandoverStore) Export(now clock.Milli) []Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	all := make([]Handover, 0, len(s.tables))
	for _, incarnation := range slices.Sorted(maps.Keys(s.tables)) {
		all = append(all, s.tables[incarnation].export(now, incarnation)...)
	}
	return all
}

// Sweep drops the handovers whose window has passed.
func (s *HandoverStore) Sweep(now clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
}

// Bytes returns the memory that all stored handovers take.
func (s *HandoverStore) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// storedTable returns the stored table of the ticket's incarnation. It first
// drops the tables that have expired.
func (s *HandoverStore) storedTable(now clock.Milli, tk ticket.Ticket) (*storedTable, bool) {
	s.sweep(now)
	st, ok := s.tables[tk.Incarnation]
	return st, ok
}

func (s *HandoverStore) sweep(now clock.Milli) {
	for incarnation, st := range s.tables {
		if st.expires > now {
			continue
		}
		s.bytes -= st.bytes
		delete(s.tables, incarnation)
	}
}

// export returns the parts of st that have arrived. Their window is the time
// that st has left.
func (st *storedTable) export(now clock.Milli, incarnation uint64) []Handover {
	parts := make([]Handover, len(st.arrived))
	for i := range parts {
		parts[i] = Handover{
			Target:      st.target,
			Incarnation: incarnation,
			ExportSeq:   st.exportSeq,
			Part:        i,
			Parts:       len(parts),
			Forgotten:   st.forgotten,
			Window:      st.expires - now,
		}
	}
	for _, id := range slices.Sorted(maps.Keys(st.entries)) {
		e := st.entries[id]
		h := &parts[e.part]
		h.Records = append(h.Records, e.entry.record(id))
	}
	arrived := parts[:0]
	for i, h := range parts {
		if st.arrived[i] {
			arrived = append(arrived, h)
		}
	}
	return arrived
}

// verdict returns what st says about the request on ticket tk. The absence of a
// record proves nothing while a part is missing.
func (st *storedTable) verdict(tk ticket.Ticket) Verdict {
	if e := st.entries[tk.ID].entry; e != nil {
		return e.verdict()
	}
	if st.missing > 0 {
		return Verdict{
			Status: Unknown,
			Reason: Partial,
		}
	}
	if tk.Generation <= st.forgotten {
		return Verdict{
			Status: Unknown,
			Reason: Forgotten,
		}
	}
	return Verdict{
		Status: NotRun,
		Reason: Closed,
	}
}
