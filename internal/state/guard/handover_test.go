package guard

import (
	"errors"
	"testing"

	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// closedTable returns a closed table that holds one request in each of these
// states: done, done with an answer too large to keep, interrupted, started,
// and refused.
func closedTable(t *testing.T) *Table {
	t.Helper()
	g := newTable()
	runRequest(t, g, 0, newTicket("done", 1), "x")
	runRequest(t, g, 0, newTicket("large", 1), string(make([]byte, 512)))
	for _, id := range []string{"cut", "live", "refused"} {
		g.Begin(0, newTicket(id, 1), 0)
	}
	g.Refuse(0, "refused")
	g.Start("cut")
	g.Fail(0, "cut")
	g.Start("live")
	g.Close()
	return g
}

func export(t *testing.T, g *Table, bytes int) []Handover {
	t.Helper()
	parts, err := g.Export(0, bytes)
	if err != nil {
		t.Fatalf("Export: %v", err)
	}
	return parts
}

func TestExportNeedsClose(t *testing.T) {
	g := newTable()
	var e *Error
	if _, err := g.Export(0, 1); !errors.As(err, &e) || e.Kind != NotClosed {
		t.Errorf("Export of an open table = %v, want kind open", err)
	}
}

func TestHandoverStore(t *testing.T) {
	g := closedTable(t)
	first := export(t, g, 1)
	g.Finish(0, "live", answer("late"))
	second := export(t, g, 1<<20)
	if len(first) != 4 || len(second) != 1 {
		t.Fatalf("exports have %d and %d parts, want 4 and 1", len(first), len(second))
	}
	importAll := func(s *HandoverStore) {
		for _, h := range first {
			if err := s.Import(0, h); err != nil {
				t.Fatalf("Import: %v", err)
			}
		}
	}
	tests := map[string]struct {
		fill   func(s *HandoverStore)
		id     string
		at     clock.Milli
		digest uint64
		found  bool
		want   Verdict
	}{
		"nothing imported": {
			fill: func(*HandoverStore) {},
			id:   "done",
		},
		"done": {
			fill:  importAll,
			id:    "done",
			found: true,
			want: Verdict{
				Status: Done,
				Answer: answer("x"),
			},
		},
		"other content": {
			fill:   importAll,
			id:     "done",
			digest: 5,
			found:  true,
			want:   Verdict{Status: Mismatch},
		},
		"large": {
			fill:  importAll,
			id:    "large",
			found: true,
			want: Verdict{
				Status: Done,
				Reason: AnswerTooLarge,
			},
		},
		"cut": {
			fill:  importAll,
			id:    "cut",
			found: true,
			want: Verdict{
				Status: Unknown,
				Reason: Interrupted,
			},
		},
		"still running when exported": {
			fill:  importAll,
			id:    "live",
			found: true,
			want: Verdict{
				Status: Unknown,
				Reason: Interrupted,
			},
		},
		"ended before a later export": {
			fill: func(s *HandoverStore) {
				_ = s.Import(0, second[0])
				importAll(s)
			},
			id:    "live",
			found: true,
			want: Verdict{
				Status: Done,
				Answer: answer("late"),
			},
		},
		"refused": {
			fill:  importAll,
			id:    "refused",
			found: true,
			want: Verdict{
				Status: NotRun,
				Reason: Closed,
			},
		},
		"a part is missing": {
			fill:  func(s *HandoverStore) { _ = s.Import(0, first[0]) },
			id:    "never seen",
			found: true,
			want: Verdict{
				Status: Unknown,
				Reason: Partial,
			},
		},
		"parts arrive twice and out of order": {
			fill: func(s *HandoverStore) {
				importAll(s)
				for i := range first {
					_ = s.Import(0, first[len(first)-1-i])
				}
			},
			id:    "never seen",
			found: true,
			want: Verdict{
				Status: NotRun,
				Reason: Closed,
			},
		},
		"passed on by a store that holds only some parts": {
			fill: func(s *HandoverStore) {
				intermediate := NewHandoverStore(HandoverStoreConfig{})
				_ = intermediate.Import(0, first[1])
				for _, h := range intermediate.Export(window / 2) {
					_ = s.Import(0, h)
				}
			},
			id:    "never seen",
			found: true,
			want: Verdict{
				Status: Unknown,
				Reason: Partial,
			},
		},
		"passed on whole": {
			fill: func(s *HandoverStore) {
				intermediate := NewHandoverStore(HandoverStoreConfig{})
				importAll(intermediate)
				for _, h := range intermediate.Export(window / 2) {
					_ = s.Import(0, h)
				}
			},
			at:    window/2 - 1,
			id:    "done",
			found: true,
			want: Verdict{
				Status: Done,
				Answer: answer("x"),
			},
		},
		"dropped after the window": {
			fill: importAll,
			id:   "done",
			at:   window,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewHandoverStore(HandoverStoreConfig{})
			tt.fill(s)
			v, found := s.Begin(tt.at, newTicket(tt.id, 1), tt.digest)
			if found != tt.found || !isSameVerdict(v, tt.want) {
				t.Errorf("Begin = %+v, %v; want %+v, %v", v, found, tt.want, tt.found)
			}
			if tt.digest != 0 {
				return
			}
			if v, _ := s.Query(tt.at, newTicket(tt.id, 1)); !isSameVerdict(v, tt.want) {
				t.Errorf("Query = %+v, want %+v", v, tt.want)
			}
		})
	}
}

func isSameVerdict(a, b Verdict) bool {
	return a.Status == b.Status && a.Reason == b.Reason && string(a.Answer.Body) == string(b.Answer.Body)
}

func TestHandoverStoreForgottenGenerations(t *testing.T) {
	s := NewHandoverStore(HandoverStoreConfig{})
	_ = s.Import(0, Handover{
		Incarnation: ownIncarnation,
		ExportSeq:   1,
		Parts:       1,
		Forgotten:   3,
		Window:      window,
	})
	for generation, want := range map[uint64]Status{
		3: Unknown,
		4: NotRun,
	} {
		if v, _ := s.Query(0, newTicket("a", generation)); v.Status != want {
			t.Errorf("generation %d: %+v, want %v", generation, v, want)
		}
	}
	if _, found := s.Query(0, ticket.Ticket{Incarnation: ownIncarnation + 1}); found {
		t.Error("the store answered for another incarnation")
	}
}

// A daemon that passes a stored handover on needs the name of the target that
// it came from, to find the successors of that target.
func TestHandoverNamesItsTarget(t *testing.T) {
	g := New(Config{
		Target:      "payment-1",
		Incarnation: ownIncarnation,
	})
	g.Close()
	s := NewHandoverStore(HandoverStoreConfig{})
	for _, h := range export(t, g, 1) {
		if err := s.Import(0, h); err != nil {
			t.Fatalf("Import: %v", err)
		}
	}
	passed := s.Export(1)
	if len(passed) != 1 || passed[0].Target != "payment-1" || passed[0].Incarnation != ownIncarnation {
		t.Errorf("passed on %+v, want the handover of payment-1", passed)
	}
}

func TestImportErrors(t *testing.T) {
	g := closedTable(t)
	parts := export(t, g, 1)
	tests := map[string]struct {
		bytes  int
		change func(h *Handover)
		want   Kind
	}{
		"part out of range": {
			change: func(h *Handover) { h.Part = h.Parts },
			want:   Malformed,
		},
		"another number of parts": {
			change: func(h *Handover) { h.Parts++ },
			want:   Malformed,
		},
		"another forgotten generation": {
			change: func(h *Handover) { h.Forgotten++ },
			want:   Malformed,
		},
		"no room": {
			bytes:  parts[0].Records[0].size(),
			change: func(*Handover) {},
			want:   NoRoom,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewHandoverStore(HandoverStoreConfig{Bytes: tt.bytes})
			if err := s.Import(0, parts[0]); err != nil {
				t.Fatalf("Import of the first part: %v", err)
			}
			h := parts[1]
			tt.change(&h)
			var e *Error
			if err := s.Import(0, h); !errors.As(err, &e) || e.Kind != tt.want {
				t.Errorf("Import = %v, want kind %v", err, tt.want)
			}
			if v, _ := s.Query(0, newTicket("never seen", 1)); v.Status != Unknown {
				t.Errorf("Query after a refused part = %+v, want Unknown", v)
			}
		})
	}
}
