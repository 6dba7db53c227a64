package guard

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// HandoverStoreConfig configures a Shelf. Zero values take the defaults of a table.
type HandoverStoreConfig struct {
	// Bytes bounds the memory of all hand-overs.
	Bytes int
	// Window bounds how long a hand-over is kept.
	Window clock.Milli
}

// HandoverStore keeps the tables that stopped daemons have handed over. It answers
// for their incarnations and never starts anything. It has one mutex and may
// be used from any goroutine.
type HandoverStore struct {
	mu      sync.Mutex
	cfg     HandoverStoreConfig
	volumes map[uint64]*volume
	bytes   int
}

// volume is the hand-over of one incarnation.
type volume struct {
	target    string
	series    uint64
	parts     []bool
	missing   int
	forgotten uint64
	entries   map[string]shelved
	bytes     int
	until     clock.Milli
}

// shelved is an entry and the part of the hand-over that it came in.
type shelved struct {
	entry *entry
	part  int
}

// NewHandoverStore returns an empty shelf.
func NewHandoverStore(cfg HandoverStoreConfig) *HandoverStore {
	if cfg.Bytes <= 0 {
		cfg.Bytes = DefaultBytes
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &HandoverStore{
		cfg:     cfg,
		volumes: make(map[uint64]*volume),
	}
}

// MaxParts bounds the parts of one hand-over.
const MaxParts = 4096

var (
	errPart   = errors.New("part number out of range")
	errSeries = errors.New("part does not fit the other parts of its series")
	errBytes  = errors.New("no room for the part")
)

// Import takes one part of a hand-over. Parts may come in any order and more
// than once; a part of an older series than the newest seen is ignored. It
// returns an *Error of kind Malformed or Crowded; the requests of a part that
// was not taken stay unknown.
func (s *HandoverStore) Import(now clock.Milli, h Handover) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if h.Parts < 1 || h.Parts > MaxParts || h.Part < 0 || h.Part >= h.Parts {
		return fail("import", Malformed, errPart)
	}
	v := s.volumes[h.Incarnation]
	switch {
	case v == nil || h.ExportSeq > v.series:
		return s.replace(now, v, h)
	case h.ExportSeq < v.series || len(v.parts) == h.Parts && v.parts[h.Part]:
		return nil
	case len(v.parts) != h.Parts || v.forgotten != h.Forgotten:
		return fail("import", Malformed, errSeries)
	}
	return s.add(v, h)
}

// replace puts the first part of a newer series in the place of old.
func (s *HandoverStore) replace(now clock.Milli, old *volume, h Handover) error {
	v := &volume{
		target:    h.Target,
		series:    h.ExportSeq,
		parts:     make([]bool, h.Parts),
		missing:   h.Parts,
		forgotten: h.Forgotten,
		entries:   make(map[string]shelved, len(h.Records)),
		until:     now + min(max(h.Window, 0), s.cfg.Window),
	}
	freed := 0
	if old != nil {
		freed = old.bytes
	}
	s.bytes -= freed
	if err := s.add(v, h); err != nil {
		s.bytes += freed
		return err
	}
	s.volumes[h.Incarnation] = v
	return nil
}

func (s *HandoverStore) add(v *volume, h Handover) error {
	n := 0
	for _, r := range h.Records {
		n += r.size()
	}
	if s.bytes+n > s.cfg.Bytes {
		return fail("import", NoRoom, errBytes)
	}
	for _, r := range h.Records {
		v.entries[r.ID] = shelved{
			entry: r.entry(),
			part:  h.Part,
		}
	}
	v.parts[h.Part] = true
	v.missing--
	v.bytes += n
	s.bytes += n
	return nil
}

// Begin decides about an arrival of the request on ticket t as Table.Begin
// does, but never says Fresh. It returns false when the shelf holds nothing
// of the ticket's incarnation.
func (s *HandoverStore) Begin(now clock.Milli, tk ticket.Ticket, digest uint64) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.volume(now, tk)
	if !ok {
		return Verdict{}, false
	}
	if e := v.entries[tk.ID].entry; e != nil && e.digest != digest {
		return Verdict{Status: Mismatch}, true
	}
	return v.verdict(tk), true
}

// Query tells what the shelf knows of the request on ticket t. It returns
// false when the shelf holds nothing of the ticket's incarnation.
func (s *HandoverStore) Query(now clock.Milli, tk ticket.Ticket) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.volume(now, tk)
	if !ok {
		return Verdict{}, false
	}
	return v.verdict(tk), true
}

// Export returns all parts that the shelf holds, in the parts in which they
// came, for the shelf of another daemon when this one stops.
func (s *HandoverStore) Export(now clock.Milli) []Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	all := make([]Handover, 0, len(s.volumes))
	for _, incarnation := range slices.Sorted(maps.Keys(s.volumes)) {
		all = append(all, s.volumes[incarnation].export(now, incarnation)...)
	}
	return all
}

// Sweep drops the hand-overs whose window has passed.
func (s *HandoverStore) Sweep(now clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
}

// Bytes returns the memory of all hand-overs on the shelf.
func (s *HandoverStore) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *HandoverStore) volume(now clock.Milli, tk ticket.Ticket) (*volume, bool) {
	s.sweep(now)
	v, ok := s.volumes[tk.Incarnation]
	return v, ok
}

func (s *HandoverStore) sweep(now clock.Milli) {
	for incarnation, v := range s.volumes {
		if v.until > now {
			continue
		}
		s.bytes -= v.bytes
		delete(s.volumes, incarnation)
	}
}

// export returns the parts of v that have arrived.
func (v *volume) export(now clock.Milli, incarnation uint64) []Handover {
	parts := make([]Handover, len(v.parts))
	for i := range parts {
		parts[i] = Handover{
			Target:      v.target,
			Incarnation: incarnation,
			ExportSeq:   v.series,
			Part:        i,
			Parts:       len(parts),
			Forgotten:   v.forgotten,
			Window:      v.until - now,
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		h := &parts[e.part]
		h.Records = append(h.Records, e.entry.record(id))
	}
	arrived := parts[:0]
	for i, h := range parts {
		if v.parts[i] {
			arrived = append(arrived, h)
		}
	}
	return arrived
}

func (v *volume) verdict(tk ticket.Ticket) Verdict {
	if e := v.entries[tk.ID].entry; e != nil {
		return e.verdict()
	}
	if v.missing > 0 {
		return Verdict{
			Status: Unknown,
			Reason: Partial,
		}
	}
	if tk.Generation <= v.forgotten {
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
