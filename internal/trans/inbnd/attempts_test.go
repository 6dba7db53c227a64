package inbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/pkg/clock"
)

func TestQueryOfUnseenAttempt(t *testing.T) {
	const uptime = 10 * clock.Second
	tests := map[string]struct {
		age   clock.Milli
		aimed bool
		want  fate
	}{
		"made while this process ran": {
			age:  uptime - travel - 1,
			want: fenced,
		},
		"may have been made before it started": {
			age:  uptime - travel,
			want: forgotten,
		},
		"aimed at this process": {
			age:   uptime - 1,
			aimed: true,
			want:  fenced,
		},
		"made before it started": {
			age:  uptime + 1,
			want: forgotten,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := clock.Hour
			if got := newTries(start).query(start+uptime, hop.Hop{
				Attempt: "a",
				Age:     tt.age,
			}, tt.aimed); got != tt.want {
				t.Errorf("query() = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestFenceOutlastsAttempt checks that a fenced attempt stays fenced for as
// long as it may arrive, and that it is forgotten afterwards.
func TestFenceOutlastsAttempt(t *testing.T) {
	tests := map[string]func(tr *tries, now clock.Milli, h hop.Hop){
		"by a question":     func(tr *tries, now clock.Milli, h hop.Hop) { tr.query(now, h, true) },
		"by a cancellation": func(tr *tries, now clock.Milli, h hop.Hop) { tr.cancel(now, h) },
	}
	for name, fence := range tests {
		t.Run(name, func(t *testing.T) {
			now := clock.Hour
			tr := newTries(now)
			h := hop.Hop{
				Attempt:   "a",
				Remaining: 10 * clock.Minute,
			}
			fence(tr, now, h)
			for end := now + h.Remaining; now < end; now += clock.Second {
				tr.rotate(now)
				if got := tr.fateOf(h.Attempt); got != fenced {
					t.Fatalf("fate %d after %d ms, want fenced", got, now-clock.Hour)
				}
			}
			for end := now + 3*memory; now < end; now += clock.Second {
				tr.rotate(now)
			}
			if got := tr.fateOf(h.Attempt); got != unseen {
				t.Errorf("fate %d in the end, want unseen", got)
			}
		})
	}
}
