package sock

import (
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a connection that is given up because its peer reads nothing for a
// while (LOST), and against one that is kept though nothing answers any more.
func TestSilenceIsNotAShutWindow(t *testing.T) {
	const every = 500 * clock.Millisecond
	owed := func(acked uint64, segments uint32, resend clock.Milli) Delivery {
		return Delivery{
			IsOwed:   true,
			Acked:    acked,
			Segments: segments,
			Resend:   resend,
		}
	}
	shut := Delivery{
		Acked:    6000,
		Segments: 4,
		Resend:   200,
	}
	tests := map[string]struct {
		// deliveries are observed one each half second; the last one stays.
		deliveries []Delivery
		// silentAt is the instant from which the peer is silent, 0 for never.
		silentAt clock.Milli
	}{
		"nothing is owed": {
			deliveries: []Delivery{{}},
		},
		"the window is shut and probes are answered": {
			deliveries: []Delivery{shut},
		},
		"nothing answers": {
			deliveries: []Delivery{owed(0, 0, 800)},
			silentAt:   2000,
		},
		"nothing answers, and the system waits longer before it sends again": {
			deliveries: []Delivery{owed(0, 0, 2400)},
			silentAt:   3000,
		},
		"bytes are acknowledged slowly": {
			deliveries: []Delivery{owed(1, 0, 400), owed(2, 0, 400), owed(3, 0, 400), {}},
		},
		"bytes that do not fit are sent again and refused": {
			deliveries: []Delivery{
				owed(9, 1, 200), owed(9, 2, 400), owed(9, 3, 800), owed(9, 3, 800), owed(9, 4, 1600), owed(9, 4, 1600),
				owed(9, 4, 1600), owed(9, 4, 1600), owed(9, 5, 3200), owed(9, 5, 3200), owed(9, 5, 3200), owed(9, 5, 3200),
				owed(9, 5, 3200), owed(9, 5, 3200), owed(9, 5, 3200), {},
			},
		},
		"the peer falls silent while its window is shut": {
			deliveries: []Delivery{shut, shut, shut, owed(6000, 4, 1600)},
			silentAt:   3500,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s Silence
			silentAt := clock.Milli(0)
			for now := clock.Milli(0); now < 20*clock.Second && silentAt == 0; now += every {
				d := tt.deliveries[min(int(now/every), len(tt.deliveries)-1)]
				if s.Observe(now, d, 2*clock.Second) {
					silentAt = now
				}
			}
			if silentAt != tt.silentAt {
				t.Errorf("silent at %d, want %d", silentAt, tt.silentAt)
			}
		})
	}
}
