package reqlog

import (
	"fmt"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestFlood adds many refused requests of low importance. An entry of high
// importance and one of unknown outcome must still be found.
func TestFlood(t *testing.T) {
	const size = 50
	r := NewRing(size)
	r.Add(Entry{
		Time:       1,
		ID:         "paid",
		Importance: rules.Vital,
		Outcome:    "done",
	})
	r.Add(Entry{
		Time:    2,
		ID:      "lost",
		Outcome: unknownOutcome,
	})
	if since := r.CompleteSince(); since != 0 {
		t.Errorf("CompleteSince = %d before any entry was overwritten", since)
	}
	for n := range clock.Milli(1000) {
		r.Add(Entry{
			Time:    3 + n,
			Root:    "flood",
			ID:      fmt.Sprintf("shed-%d", n),
			Outcome: "not-run",
		})
	}
	for _, id := range []string{"paid", "lost", "shed-999"} {
		if len(r.Find(id)) != 1 {
			t.Errorf("the entry of %s was overwritten", id)
		}
	}
	if n := len(r.Find("flood")); n != size/parts {
		t.Errorf("%d entries of the flood are kept, want %d", n, size/parts)
	}
	all := r.Find("")
	for n := 1; n < len(all); n++ {
		if all[n].Time < all[n-1].Time {
			t.Errorf("entry %d is older than the one before", n)
		}
	}
	if since, want := r.CompleteSince(), all[2].Time; since != want {
		t.Errorf("CompleteSince = %d, want %d, the time of the oldest entry of the flood", since, want)
	}
}
