// Package guard implements the table with which the daemon beside a target
// ensures that a non-idempotent request runs there at most once, and that the
// answer "not run" can be trusted.
//
// # Entries
//
// A [Table] maps request ids to entries. [Table.Begin] creates an entry in the
// held state and returns [Fresh] to exactly one arrival of the request, which
// may then go on. [Table.Start] moves the entry to the started state just
// before the request is sent to the target; until then [Table.Refuse] may turn
// it into a tombstone instead. A started entry ends in one of three ways: done,
// with the whole answer; interrupted, when the exchange with the target broke
// off; or a tombstone, when the request provably never reached the target.
// Each [NotRun] verdict is backed by a fence that was set before the verdict
// is returned: a tombstone, or a closed generation, whose tickets are no longer
// started.
//
// # Generations
//
// The table counts generations and advances them on its own monotonic clock,
// four in a window. It starts only requests whose ticket names the present
// generation or the one before. The outcome of a request is kept for a whole
// window after its end, so an entry is forgotten only when its ticket can no
// longer be started. A ticket of an old generation that has no entry therefore
// proves that the request never ran, unless the table has already forgotten a
// request of that generation or a later one that ran or may have run. The
// table remembers the highest forgotten generation, a single number, to tell
// the two cases apart.
//
// # Bounds
//
// The table is bounded in entries and in bytes of answers. Starting a request
// reserves room for the longest answer that is kept. Held requests reserve
// none, so a long queue does not fill the table. When there is no room for a
// new arrival, the table closes all generations up to the present one, which
// fences every unseen ticket without storing an entry for it, and begins the
// next. Tombstones are bounded in a similar way: when many have been made, the
// next generation begins early, and the tombstones of the generation that
// closes are dropped.
//
// A Table has one mutex and may be used from any goroutine. It reads no clock:
// the caller passes the present time to each call, always of the same
// monotonic clock.
package guard

import (
	"sync"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults and proportions of a table.
const (
	// DefaultEntries bounds the number of entries when Config.Entries is zero.
	DefaultEntries = 65_536
	// DefaultBytes bounds the memory of kept answers when Config.Bytes is zero.
	DefaultBytes = 32 << 20
	// DefaultMaxAnswerBytes bounds one kept answer when Config.MaxAnswerBytes
	// is zero.
	DefaultMaxAnswerBytes = 16 << 10
	// DefaultWindow is how long outcomes are kept when Config.Window is zero.
	DefaultWindow = 10 * clock.Minute

	// generationsPerWindow is the number of generations that begin in one
	// window.
	generationsPerWindow = 4
	// tombstoneDivisor bounds the tombstones of one generation to
	// Config.Entries divided by it; the next generation begins early when they
	// reach that bound.
	tombstoneDivisor = 8
)

// Config configures a Table. Zero values take the defaults.
type Config struct {
	// Entries bounds the number of entries.
	Entries int
	// Bytes bounds the memory of kept answers.
	Bytes int
	// MaxAnswerBytes bounds the memory of one kept answer. A longer answer is
	// not kept, only that its request is done.
	MaxAnswerBytes int
	// Window is how long an outcome is kept after the request ended.
	Window clock.Milli
	// Target is the name of the guarded target.
	Target string
	// Incarnation identifies this run of the daemon. No other run of any daemon
	// may have the same.
	Incarnation uint64
	// Now is the present time of the clock that later calls pass.
	Now clock.Milli
}

// state is the state of an entry.
type state uint8

const (
	// held: the request has arrived but has not been sent to the target.
	held state = iota + 1
	// started: the request may have been sent to the target.
	started
	// done: the request ran, and its answer is kept.
	done
	// doneTooLarge: the request ran, and its answer was too long to keep.
	doneTooLarge
	// interrupted: the exchange with the target broke off, so it is unknown
	// whether the request ran.
	interrupted
	// tombstone: the request did not run and never will.
	tombstone
)

type entry struct {
	state      state
	generation uint64
	digest     uint64
	// expires is the instant from which an ended entry may be forgotten.
	expires clock.Milli
	answer  Answer
}

// Table holds the entries of the requests that one target was sent.
type Table struct {
	mu      sync.Mutex
	cfg     Config
	entries map[string]*entry

	// generation is the present generation; minGeneration is the lowest one
	// whose tickets are still started.
	generation    uint64
	minGeneration uint64
	// nextGenerationAt is the instant at which the next generation begins.
	nextGenerationAt clock.Milli
	// forgotten is the highest generation of a forgotten request that ran or
	// may have run.
	forgotten uint64
	closed    bool
	// exportSeq is the number of exports so far.
	exportSeq uint64

	// ended lists the ended entries other than tombstones, in the order in
	// which they expire.
	ended queue
	// tombstones lists the tombstones in the order in which they were made.
	tombstones queue
	// newTombstones counts the tombstones made in the present generation.
	newTombstones int
	// live counts the held and started requests, running the started ones.
	live    int
	running int
	// answerBytes is the memory that the kept answers take.
	answerBytes int
	stats       Stats
}

// Stats holds the present use of a table and its counts.
type Stats struct {
	// Entries, Live, Tombstones and Bytes are the present use of the bounded
	// resources. Live counts the held and started requests; Bytes is the memory
	// of kept answers.
	Entries    int
	Live       int
	Tombstones int
	Bytes      int
	// Generation is the present generation.
	Generation uint64
	// The rest counts since the start. Begun counts Fresh verdicts, Replayed
	// the arrivals of a request that had an entry already, Refused the requests
	// that were fenced or answered as not run, Unknown the verdicts Unknown,
	// and TooLarge the answers that were too long to keep. Closings counts how
	// often the table was full and closed its generations.
	Begun    uint64
	Replayed uint64
	Refused  uint64
	Unknown  uint64
	TooLarge uint64
	Closings uint64
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:              cfg,
		entries:          make(map[string]*entry),
		generation:       1,
		minGeneration:    1,
		nextGenerationAt: cfg.Now + cfg.Window/generationsPerWindow,
	}
}

func (c Config) withDefaults() Config {
	if c.Entries <= 0 {
		c.Entries = DefaultEntries
	}
	if c.Bytes <= 0 {
		c.Bytes = DefaultBytes
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	c.MaxAnswerBytes = min(c.MaxAnswerBytes, c.Bytes)
	return c
}

// Begin decides about an arrival of the request on ticket tk. Digest identifies
// the content of the request; an arrival whose digest differs from that of the
// first gets Mismatch. After Fresh the caller must either call Refuse or call
// Start and then one of Finish, Fail and RefuseStarted.
func (t *Table) Begin(now clock.Milli, tk ticket.Ticket, digest uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.find(tk); e != nil {
		t.stats.Replayed++
		if e.state != tombstone && e.digest != digest {
			return t.newVerdict(Mismatch, NoReason)
		}
		return t.entryVerdict(e)
	}
	if v, ok := t.decideUnseen(tk); ok {
		return v
	}
	if !t.hasRoom() {
		t.closeGenerations()
		return t.newVerdict(NotRun, Full)
	}
	t.entries[tk.ID] = &entry{
		state:      held,
		generation: tk.Generation,
		digest:     digest,
	}
	t.live++
	t.stats.Begun++
	return t.newVerdict(Fresh, NoReason)
}

// Query returns what is known of the request on ticket tk. If the request has
// never arrived, Query fences it, so that it never runs.
func (t *Table) Query(now clock.Milli, tk ticket.Ticket) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.find(tk); e != nil {
		return t.entryVerdict(e)
	}
	if v, ok := t.decideUnseen(tk); ok {
		return v
	}
	if len(t.entries) >= t.cfg.Entries {
		t.closeGenerations()
		return t.newVerdict(NotRun, Full)
	}
	t.entries[tk.ID] = &entry{generation: tk.Generation}
	t.makeTombstone(tk.ID, t.entries[tk.ID])
	return t.newVerdict(NotRun, Fenced)
}

// Start marks the held request id as started and returns true if it may be sent
// to the target now. The caller must call it right before sending. False means
// that the request must not be sent: either it has been refused meanwhile, or
// there is no room for its answer and the caller must refuse it.
func (t *Table) Start(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.state != held || !t.hasRoomForAnswer() {
		return false
	}
	e.state = started
	t.running++
	return true
}

// Finish ends the started request id with its whole answer and takes ownership
// of the answer. It reports whether the answer is kept: if it takes more than
// Config.MaxAnswerBytes, the table remembers only that the request is done.
func (t *Table) Finish(now clock.Milli, id string, a Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.state != started {
		return false
	}
	if a.Size() > t.cfg.MaxAnswerBytes {
		t.stats.TooLarge++
		t.end(now, id, e, doneTooLarge)
		return false
	}
	e.answer = a
	t.answerBytes += a.Size()
	t.end(now, id, e, done)
	return true
}

// Fail ends the started request id when the exchange with the target broke off
// and it is unknown whether the request ran.
func (t *Table) Fail(now clock.Milli, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.state != started {
		return
	}
	t.end(now, id, e, interrupted)
}

// Refuse fences the request id if it is held but not started. The daemon may
// report the request as not run only if Refuse returns true.
func (t *Table) Refuse(now clock.Milli, id string) bool { return t.fence(now, id, held) }

// RefuseStarted fences the started request id when it provably did not run: no
// connection to the target could be made, or the target itself rejected the
// request without running it. It returns false when there is no such started
// request.
func (t *Table) RefuseStarted(now clock.Milli, id string) bool { return t.fence(now, id, started) }

// fence turns the entry of id into a tombstone if its state is from, and
// reports whether it did.
func (t *Table) fence(now clock.Milli, id string, from state) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.state != from {
		return false
	}
	t.live--
	if from == started {
		t.running--
	}
	t.advance(now)
	t.makeTombstone(id, e)
	t.stats.Refused++
	return true
}

// Sweep forgets expired entries and advances the generation. Call it about once
// a second.
func (t *Table) Sweep(now clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
}

// Close stops the table from starting requests that it has not seen: their
// tickets are refused from now on. Requests that are held or started already go
// on to their end.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Stamp returns the stamp that new tickets for this target should carry.
func (t *Table) Stamp(now clock.Milli) ticket.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.stamp()
}

// Stats returns the table's present use and counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Entries = len(t.entries)
	s.Live = t.live
	s.Tombstones = t.tombstones.len()
	s.Bytes = t.answerBytes
	s.Generation = t.generation
	return s
}
