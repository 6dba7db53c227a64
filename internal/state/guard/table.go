// Package guard holds the table with which the daemon beside a target makes
// sure that a request which may not be repeated runs at most once there, and
// that "not run" can be trusted.
//
// # Entries
//
// A [Table] maps request ids to entries. [Table.Begin] makes an entry in the
// held state and tells exactly one arrival that it may go on. [Table.Start]
// moves it to started just before the request is sent to the target; until
// then [Table.Refuse] may turn it into a tombstone instead. A started entry
// ends as done with its whole answer, as cut when the exchange broke off, or
// as a tombstone when the request provably never reached the target. Every
// verdict NotRun is backed by a fence set before it is given: a tombstone, or
// a generation that is started no more.
//
// # Generations
//
// The table counts generations. It advances them on its own monotonic clock,
// four in a window, and starts only requests whose ticket names the present
// generation or the one before. An outcome stays for a whole window after the
// request ended, so an entry is forgotten only when its ticket can no longer
// be started. An absent entry of an old generation therefore proves that the
// request never ran, unless the table has since forgotten a request of that
// generation or a later one that did run; a single mark remembers how far it
// has forgotten.
//
// # Bounds
//
// The table is bounded in entries and in bytes of answers, and room for the
// longest answer that is kept is set aside before a request is started; those
// that are only held need none, so a long queue does not fill the table. When
// there is no room for a new arrival the table closes all generations up to
// the present one, which fences every unseen ticket without an entry, and
// opens the next. The same is done by degrees when tombstones pile up: the
// next generation opens early, and the tombstones of the closed one are
// dropped.
//
// A Table has one mutex and may be used from any goroutine. It reads no
// clock: each call is given the present of one monotonic clock.
package guard

import (
	"sync"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults and proportions of a table.
const (
	// DefaultEntries bounds the entries when Config.Entries is zero.
	DefaultEntries = 65_536
	// DefaultBytes bounds the answers when Config.Bytes is zero.
	DefaultBytes = 32 << 20
	// DefaultMaxAnswerBytes is the longest kept answer when Config.Largest is zero.
	DefaultMaxAnswerBytes = 16 << 10
	// DefaultWindow is the window when Config.Window is zero.
	DefaultWindow = 10 * clock.Minute

	// generationsPerWindow sets how often a generation begins.
	generationsPerWindow = 4
	// tombstoneDivisor is the fraction of the entries, as a divisor, that the
	// tombstones of one generation may take before the next begins early.
	tombstoneDivisor = 8
)

// Config configures a Table. Zero values take the defaults.
type Config struct {
	// Entries bounds the number of entries.
	Entries int
	// Bytes bounds the memory of kept answers.
	Bytes int
	// MaxAnswerBytes bounds the memory of one kept answer.
	MaxAnswerBytes int
	// Window is how long an outcome is kept after the request ended.
	Window clock.Milli
	// Target is the name of the guarded target.
	Target string
	// Incarnation identifies this run of the daemon; no other run of any
	// daemon may have the same.
	Incarnation uint64
	// Now is the present.
	Now clock.Milli
}

type state uint8

const (
	held state = iota + 1
	started
	done
	doneTooLarge
	interrupted
	tombstone
)

type entry struct {
	state      state
	generation uint64
	digest     uint64
	// expires is the instant at which an ended entry may be forgotten.
	expires clock.Milli
	answer  Answer
}

// Table is the memory of one guard.
type Table struct {
	mu      sync.Mutex
	cfg     Config
	entries map[string]*entry

	// generation is the present one, floor the lowest that is still started.
	generation    uint64
	minGeneration uint64
	// nextGenerationAt is the instant at which the nextGenerationAt generation begins.
	nextGenerationAt clock.Milli
	// forgotten is the highest generation of a forgotten request that ran or
	// may have run.
	forgotten uint64
	closed    bool
	exportSeq uint64

	// ended lists the entries other than tombstones in the order of until.
	ended queue
	// tombstones lists the tombstones in the order in which they were made.
	tombstones queue
	// newTombstones counts the tombstones made in the present generation.
	newTombstones int
	// live counts the held and started requests, running the started ones.
	live        int
	running     int
	answerBytes int
	stats       Stats
}

// Stats counts what a table has said and holds.
type Stats struct {
	// Entries, Live, Tombstones and Bytes are the present use of the bounds.
	// Live counts the held and started requests.
	Entries    int
	Live       int
	Tombstones int
	Bytes      int
	// Generation is the present one.
	Generation uint64
	// Begun, Replayed, Refused, Unknown and Large count verdicts and endings
	// since the start; Closings counts the times the table was full.
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

// Begin decides about an arrival of the request on ticket t. Digest sums up
// the request's content; an arrival with another digest than the
// first gets Mismatch. After Fresh the caller must end the entry with Start
// and one of Finish, Fail and Unrun, or with Refuse.
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

// Query tells what is known of the request on ticket t. When the request has
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

// Start reports whether the held request id may be sent to the target now.
// It must be called right before sending. False means: do not send; the
// request was refused meanwhile, or there is no room for its answer and it is
// to be refused.
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

// Finish ends the started request id with its whole answer, of which the
// table takes ownership. It reports whether the answer is kept; a longer one
// than the bound is remembered as done only.
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

// Fail ends the started request id when the exchange with the target broke
// off and nobody can tell whether it ran.
func (t *Table) Fail(now clock.Milli, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.state != started {
		return
	}
	t.end(now, id, e, interrupted)
}

// Refuse fences the request id if it is held and has not been started. Only
// when it returns true may the caller be told that the request did not run.
func (t *Table) Refuse(now clock.Milli, id string) bool { return t.fence(now, id, held) }

// RefuseStarted fences the started request id when it provably never reached the
// target's work: no connection could be made, or the target itself turned it
// away unrun. It returns false when there is no such request.
func (t *Table) RefuseStarted(now clock.Milli, id string) bool { return t.fence(now, id, started) }

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

// Sweep forgets what may be forgotten and advances the generation. It is
// called about once a second.
func (t *Table) Sweep(now clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
}

// Close stops the table from starting anything more. Unseen tickets are
// refused from now on; held and started requests go on to their end.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Stamp returns the stamp that new tickets should carry.
func (t *Table) Stamp(now clock.Milli) ticket.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.stamp()
}

// Stats returns the table's counts.
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
