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

func TestLapsedTargets(t *testing.T) {
	before := Fleet{}.WithList(0, newTargets("a", "b"), false)
	tests := map[string]struct {
		lapse bool
		after func(f Fleet) Fleet
		now   clock.Milli
		want  []string
	}{
		"a list while the store was there counts at once": {
			want: []string{"a"},
		},
		"a record missing after the store was away is kept": {
			lapse: true,
			now:   MissingGrace - 1,
			want:  []string{"a", "b"},
		},
		"not for ever": {
			lapse: true,
			now:   MissingGrace,
			want:  []string{"a"},
		},
		"nor does a second list prolong it": {
			lapse: true,
			after: func(f Fleet) Fleet { return f.WithList(MissingGrace-1, newTargets("a"), true) },
			now:   MissingGrace,
			want:  []string{"a"},
		},
		"a list while the store is there does not cut it short": {
			lapse: true,
			after: func(f Fleet) Fleet { return f.WithList(MissingGrace-1, newTargets("a"), false) },
			now:   MissingGrace - 1,
			want:  []string{"a", "b"},
		},
		"a record written again ends the lapse": {
			lapse: true,
			after: func(f Fleet) Fleet { return f.WithTarget(newTargets("b")[0]) },
			now:   MissingGrace,
			want:  []string{"a", "b"},
		},
		"a removal ends it too": {
			lapse: true,
			after: func(f Fleet) Fleet { return f.Without("b") },
			want:  []string{"a"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := before.WithList(0, newTargets("a"), tt.lapse)
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
