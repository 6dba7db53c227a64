package model

import (
	"slices"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

func newTargets(ids ...string) []Target {
	targets := make([]Target, 0, len(ids))
	for _, id := range ids {
		targets = append(targets, Target{
			ID:      id,
			Service: "s",
		})
	}
	return targets
}

func (f Fleet) ids() []string {
	ids := make([]string, 0, len(f.Targets))
	for _, t := range f.ByService("s") {
		ids = append(ids, t.ID)
	}
	return ids
}

// Records that expire during an outage of the store are missing from the first
// list after it. Their targets must be kept for MissingGrace and no longer,
// unless they are written again or removed.
func TestLapsedTargets(t *testing.T) {
	before := Fleet{}.WithList(0, newTargets("a", "b"), false)
	tests := map[string]struct {
		keepMissing bool
		after       func(f Fleet) Fleet
		now         clock.Milli
		want        []string
	}{
		"missing from a list without an outage: dropped at once": {
			want: []string{"a"},
		},
		"missing after an outage: kept": {
			keepMissing: true,
			now:         MissingGrace - 1,
			want:        []string{"a", "b"},
		},
		"missing after an outage: dropped after MissingGrace": {
			keepMissing: true,
			now:         MissingGrace,
			want:        []string{"a"},
		},
		"second list after an outage does not prolong it": {
			keepMissing: true,
			after:       func(f Fleet) Fleet { return f.WithList(MissingGrace-1, newTargets("a"), true) },
			now:         MissingGrace,
			want:        []string{"a"},
		},
		"later list without an outage does not shorten it": {
			keepMissing: true,
			after:       func(f Fleet) Fleet { return f.WithList(MissingGrace-1, newTargets("a"), false) },
			now:         MissingGrace - 1,
			want:        []string{"a", "b"},
		},
		"record written again: kept for good": {
			keepMissing: true,
			after:       func(f Fleet) Fleet { return f.WithTarget(newTargets("b")[0]) },
			now:         MissingGrace,
			want:        []string{"a", "b"},
		},
		"record removed: dropped at once": {
			keepMissing: true,
			after:       func(f Fleet) Fleet { return f.Without("b") },
			want:        []string{"a"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := before.WithList(0, newTargets("a"), tt.keepMissing)
			if tt.after != nil {
				f = tt.after(f)
			}
			f, _ = f.WithoutExpired(tt.now)
			if got := f.ids(); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			if got := before.ids(); !slices.Equal(got, []string{"a", "b"}) {
				t.Errorf("the fleet before changed to %v", got)
			}
		})
	}
}
