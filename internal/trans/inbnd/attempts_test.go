package inbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestQueryOfUnseenAttempt checks that an attempt is reported as not-run only if
// no earlier process can have run it.
func TestQueryOfUnseenAttempt(t *testing.T) {
	const uptime = 10 * clock.Second
	tests := map[string]struct {
		age             clock.Milli
		sameIncarnation bool
		want            attemptState
	}{
		"made after this process started": {
			age:  uptime - maxQueryDelay - 1,
			want: fenced,
		},
		"may have been made before this process started": {
			age:  uptime - maxQueryDelay,
			want: forgotten,
		},
		"addressed to this process": {
			age:             uptime - 1,
			sameIncarnation: true,
			want:            fenced,
		},
		"made before this process started": {
			age:  uptime + 1,
			want: forgotten,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := clock.Hour
			if got := newAttemptTable(start).query(start+uptime, hop.Hop{
				Attempt: "a",
				Age:     tt.age,
			}, tt.sameIncarnation); got != tt.want {
				t.Errorf("query() = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestFenceOutlastsAttempt checks that a fenced attempt stays fenced while it may
// still arrive, however many rotations that takes, and is dropped afterwards.
func TestFenceOutlastsAttempt(t *testing.T) {
	tests := map[string]func(table *attemptTable, now clock.Milli, h hop.Hop){
		"by a query":        func(table *attemptTable, now clock.Milli, h hop.Hop) { table.query(now, h, true) },
		"by a cancellation": func(table *attemptTable, now clock.Milli, h hop.Hop) { table.cancel(now, h) },
	}
	for name, fence := range tests {
		t.Run(name, func(t *testing.T) {
			now := clock.Hour
			table := newAttemptTable(now)
			h := hop.Hop{
				Attempt:   "a",
				Remaining: 10 * clock.Minute,
			}
			fence(table, now, h)
			for end := now + h.Remaining; now < end; now += clock.Second {
				table.rotate(now)
				if got := table.stateOf(h.Attempt); got != fenced {
					t.Fatalf("state %d after %d ms, want fenced", got, now-clock.Hour)
				}
			}
			for end := now + 3*minRetention; now < end; now += clock.Second {
				table.rotate(now)
			}
			if got := table.stateOf(h.Attempt); got != unseen {
				t.Errorf("state %d in the end, want unseen", got)
			}
		})
	}
}
