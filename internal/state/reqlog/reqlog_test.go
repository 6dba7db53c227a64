package reqlog

import (
	"fmt"
	"testing"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestFlood floods a ring with requests of little importance. What matters
// more must still be found.
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
	if reach := r.CompleteSince(); reach != 0 {
		t.Errorf("reach %d before anything was forgotten", reach)
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
			t.Errorf("%s is forgotten", id)
		}
	}
	if n := len(r.Find("flood")); n != size/shares {
		t.Errorf("%d of the flood are kept, want %d", n, size/shares)
	}
	all := r.Find("")
	for n := 1; n < len(all); n++ {
		if all[n].Time < all[n-1].Time {
			t.Errorf("entry %d is older than the one before", n)
		}
	}
	if reach, want := r.CompleteSince(), all[2].Time; reach != want {
		t.Errorf("reach %d, want %d, the time of the oldest of the flood", reach, want)
	}
}
