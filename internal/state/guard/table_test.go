package guard

import (
	"strconv"
	"testing"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	ownIncarnation = 41
	window         = 400 * clock.Second
	generationSpan = window / generationsPerWindow
)

func newTable() *Table {
	return New(Config{
		Entries:        16,
		Bytes:          4096,
		MaxAnswerBytes: 512,
		Window:         window,
		Incarnation:    ownIncarnation,
	})
}

func newTicket(id string, generation uint64) ticket.Ticket {
	return ticket.Ticket{
		ID:          id,
		Incarnation: ownIncarnation,
		Generation:  generation,
	}
}

func answer(body string) Answer {
	return Answer{
		Status: 200,
		Body:   []byte(body),
	}
}

// runRequest begins, starts and finishes a request.
func runRequest(t *testing.T, g *Table, now clock.Milli, tk ticket.Ticket, body string) {
	t.Helper()
	if v := g.Begin(now, tk, 0); v.Status != Fresh {
		t.Fatalf("Begin(%s) = %+v, want Fresh", tk.ID, v)
	}
	if !g.Start(tk.ID) {
		t.Fatalf("Start(%s) refused", tk.ID)
	}
	g.Finish(now, tk.ID, answer(body))
}

func TestVerdicts(t *testing.T) {
	begin := func(g *Table) { g.Begin(0, newTicket("a", 1), 0) }
	start := func(g *Table) {
		begin(g)
		g.Start("a")
	}
	tests := map[string]struct {
		prepare func(g *Table)
		at      clock.Milli
		ticket  ticket.Ticket
		digest  uint64
		// begin and query are the statuses that Begin and, on a separate table,
		// Query return after prepare. Both give reason, except that Query gives
		// Fenced where Begin returns Fresh.
		begin  Status
		query  Status
		reason Reason
	}{
		"never seen": {
			ticket: newTicket("a", 1),
			begin:  Fresh,
			query:  NotRun,
		},
		"held": {
			prepare: begin,
			ticket:  newTicket("a", 1),
			begin:   Running,
			query:   Running,
		},
		"started": {
			prepare: start,
			ticket:  newTicket("a", 1),
			begin:   Running,
			query:   Running,
		},
		"done": {
			prepare: func(g *Table) {
				start(g)
				g.Finish(0, "a", answer("x"))
			},
			ticket: newTicket("a", 1),
			begin:  Done,
			query:  Done,
		},
		"done, answer too long to keep": {
			prepare: func(g *Table) {
				start(g)
				g.Finish(0, "a", answer(string(make([]byte, 512))))
			},
			ticket: newTicket("a", 1),
			begin:  Done,
			query:  Done,
			reason: AnswerTooLarge,
		},
		"other content under the same id": {
			prepare: start,
			ticket:  newTicket("a", 1),
			digest:  5,
			begin:   Mismatch,
			query:   Running,
		},
		"cut": {
			prepare: func(g *Table) {
				start(g)
				g.Fail(0, "a")
			},
			ticket: newTicket("a", 1),
			begin:  Unknown,
			query:  Unknown,
			reason: Interrupted,
		},
		"refused while held": {
			prepare: func(g *Table) {
				begin(g)
				g.Refuse(0, "a")
			},
			ticket: newTicket("a", 1),
			begin:  NotRun,
			query:  NotRun,
		},
		"rejected by the target without running": {
			prepare: func(g *Table) {
				start(g)
				g.RefuseStarted(0, "a")
			},
			ticket: newTicket("a", 1),
			begin:  NotRun,
			query:  NotRun,
		},
		"cannot be refused once started": {
			prepare: func(g *Table) {
				start(g)
				g.Refuse(0, "a")
			},
			ticket: newTicket("a", 1),
			begin:  Running,
			query:  Running,
		},
		"cannot be started or finished after a refusal": {
			prepare: func(g *Table) {
				begin(g)
				g.Refuse(0, "a")
				g.Start("a")
				g.Finish(0, "a", answer("x"))
				g.Fail(0, "a")
			},
			ticket: newTicket("a", 1),
			begin:  NotRun,
			query:  NotRun,
		},
		"queried before it arrived": {
			prepare: func(g *Table) { g.Query(0, newTicket("a", 1)) },
			ticket:  newTicket("a", 1),
			begin:   NotRun,
			query:   NotRun,
		},
		"another incarnation": {
			ticket: ticket.Ticket{
				ID:          "a",
				Incarnation: ownIncarnation + 1,
				Generation:  1,
			},
			begin:  Unknown,
			query:  Unknown,
			reason: OtherIncarnation,
		},
		"previous generation is still started": {
			at:     generationSpan,
			ticket: newTicket("a", 1),
			begin:  Fresh,
			query:  NotRun,
		},
		"older generation is not started": {
			prepare: func(g *Table) { g.Sweep(generationSpan) },
			at:      2 * generationSpan,
			ticket:  newTicket("a", 1),
			begin:   NotRun,
			query:   NotRun,
			reason:  Stale,
		},
		"outcome is kept for the window": {
			prepare: func(g *Table) {
				start(g)
				g.Finish(generationSpan, "a", answer("x"))
			},
			at:     generationSpan + window - 1,
			ticket: newTicket("a", 1),
			begin:  Done,
			query:  Done,
		},
		"outcome is forgotten after the window": {
			prepare: func(g *Table) {
				start(g)
				g.Finish(0, "a", answer("x"))
				g.Sweep(generationSpan)
				g.Sweep(2 * generationSpan)
			},
			at:     window,
			ticket: newTicket("a", 1),
			begin:  Unknown,
			query:  Unknown,
			reason: Forgotten,
		},
		"never run, while outcomes of later generations are kept": {
			prepare: func(g *Table) {
				g.Sweep(generationSpan)
				g.Begin(generationSpan, newTicket("b", 2), 0)
				g.Start("b")
				g.Finish(generationSpan, "b", answer("x"))
				g.Sweep(2 * generationSpan)
			},
			at:     window,
			ticket: newTicket("a", 1),
			begin:  NotRun,
			query:  NotRun,
			reason: Stale,
		},
		"generation that has not begun": {
			ticket: newTicket("a", 2),
			begin:  Unknown,
			query:  Unknown,
			reason: Ahead,
		},
		"closed table forgets nothing": {
			prepare: func(g *Table) {
				start(g)
				g.Finish(0, "a", answer("x"))
				g.Close()
			},
			at:     2 * window,
			ticket: newTicket("a", 1),
			begin:  Done,
			query:  Done,
		},
		"closed": {
			prepare: func(g *Table) { g.Close() },
			ticket:  newTicket("a", 1),
			begin:   NotRun,
			query:   NotRun,
			reason:  Closed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			prepared := func() *Table {
				g := newTable()
				if tt.prepare != nil {
					tt.prepare(g)
				}
				return g
			}
			if v := prepared().Begin(tt.at, tt.ticket, tt.digest); v.Status != tt.begin || v.Reason != tt.reason {
				t.Errorf("Begin = %+v, want %v for reason %v", v, tt.begin, tt.reason)
			}
			reason := tt.reason
			if tt.begin == Fresh {
				reason = Fenced
			}
			if v := prepared().Query(tt.at, tt.ticket); v.Status != tt.query || v.Reason != reason {
				t.Errorf("Query = %+v, want %v for reason %v", v, tt.query, reason)
			}
		})
	}
}

// A full table refuses unseen tickets, keeps the outcomes that it holds, never
// starts a ticket that it has refused, and starts new tickets once it has room
// again.
func TestFull(t *testing.T) {
	tests := map[string]struct {
		cfg  Config
		fits int
	}{
		"entries": {
			cfg: Config{
				Entries: 4,
			},
			fits: 4,
		},
		"bytes, with the longest answer reserved": {
			cfg: Config{
				Bytes:          answerOverheadBytes + 1000,
				MaxAnswerBytes: 1000,
			},
			fits: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.cfg.Window = window
			tt.cfg.Incarnation = ownIncarnation
			g := New(tt.cfg)
			for i := range tt.fits {
				runRequest(t, g, 0, newTicket(strconv.Itoa(i), 1), "x")
			}
			late := newTicket("late", g.Stamp(0).Generation)
			v := g.Begin(0, late, 0)
			if v.Status != NotRun || v.Reason != Full {
				t.Fatalf("Begin on a full table = %+v, want NotRun, Full", v)
			}
			for i := range tt.fits {
				if v := g.Query(window-1, newTicket(strconv.Itoa(i), 1)); v.Status != Done || string(v.Answer.Body) != "x" {
					t.Errorf("Query(%d) = %+v, want the kept answer", i, v)
				}
			}
			if v := g.Begin(window, late, 0); v.Status == Fresh {
				t.Errorf("a refused ticket was started: %+v", v)
			}
			if v := g.Begin(window, newTicket("new", g.Stamp(window).Generation), 0); v.Status != Fresh {
				t.Errorf("Begin with a new ticket = %+v, want Fresh", v)
			}
		})
	}
}

// Held requests reserve no room for answers, so a long queue does not fill the
// table. If there is no room when a request is to be started, it is not started
// and can still be refused.
func TestHeldNeedNoRoomForAnswers(t *testing.T) {
	g := New(Config{
		Bytes:          2 * 1000,
		MaxAnswerBytes: 1000,
		Window:         window,
		Incarnation:    ownIncarnation,
	})
	started := 0
	for i := range 10 {
		if v := g.Begin(0, newTicket(strconv.Itoa(i), 1), 0); v.Status != Fresh {
			t.Fatalf("Begin %d = %+v, want Fresh", i, v)
		}
	}
	for i := range 10 {
		id := strconv.Itoa(i)
		if g.Start(id) {
			started++
		} else if !g.Refuse(0, id) {
			t.Errorf("request %s can be neither started nor refused", id)
		}
	}
	if started != 2 {
		t.Errorf("%d requests started, there is room for 2 answers", started)
	}
}

// During a long run of refusals, tombstones take only a bounded share of the
// table, and a caller that mints each ticket with the stamp of the last verdict
// is never refused because of an outdated stamp.
func TestTombstonesStayBounded(t *testing.T) {
	g := New(Config{
		Entries:     64,
		Window:      window,
		Incarnation: ownIncarnation,
	})
	stamp := g.Stamp(0)
	for i := range 10_000 {
		id := strconv.Itoa(i)
		v := g.Begin(0, newTicket(id, stamp.Generation), 0)
		if v.Status != Fresh {
			t.Fatalf("Begin %d = %+v, want Fresh", i, v)
		}
		if !g.Refuse(0, id) {
			t.Fatalf("Refuse %d returned false", i)
		}
		stamp = v.Stamp
		if n := g.Stats().Tombstones; n > 2*64/tombstoneDivisor {
			t.Fatalf("%d tombstones of 64 entries", n)
		}
	}
	if v := g.Begin(0, newTicket("0", 1), 0); v.Status != NotRun {
		t.Errorf("a ticket whose tombstone was dropped got %+v, want NotRun", v)
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	g := New(Config{
		Entries:     DefaultEntries,
		Window:      window,
		Incarnation: ownIncarnation,
	})
	ids := make([]string, 1<<17)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	var now clock.Milli
	a := answer("ok")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += window / 20_000
		id := ids[i%len(ids)]
		if v := g.Begin(now, newTicket(id, g.Stamp(now).Generation), 0); v.Status != Fresh {
			b.Fatalf("Begin = %+v", v)
		}
		g.Start(id)
		g.Finish(now, id, a)
	}
}
