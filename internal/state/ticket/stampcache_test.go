package ticket

import (
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

func TestStampCache(t *testing.T) {
	stamp := func(incarnation, generation uint64) Stamp {
		return Stamp{
			Incarnation: incarnation,
			Generation:  generation,
		}
	}
	tests := map[string]struct {
		received []Stamp
		drop     bool
		at       clock.Milli
		want     Stamp
		fresh    bool
	}{
		"never received": {},
		"received just now": {
			received: []Stamp{stamp(1, 3)},
			at:       DefaultMaxStampAge - 1,
			want:     stamp(1, 3),
			fresh:    true,
		},
		"received too long ago": {
			received: []Stamp{stamp(1, 3)},
			at:       DefaultMaxStampAge,
			want:     stamp(1, 3),
		},
		"answers arrive out of order": {
			received: []Stamp{stamp(1, 3), stamp(1, 2)},
			want:     stamp(1, 3),
			fresh:    true,
		},
		"new incarnation with a lower generation": {
			received: []Stamp{stamp(9, 3), stamp(1, 1)},
			want:     stamp(1, 1),
			fresh:    true,
		},
		"answer without a stamp": {
			received: []Stamp{stamp(1, 3), {}},
			want:     stamp(1, 3),
			fresh:    true,
		},
		"connection lost": {
			received: []Stamp{stamp(1, 3)},
			drop:     true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cache := NewStampCache(StampCacheConfig{})
			for _, s := range tt.received {
				cache.Learn(0, "a", s)
			}
			if tt.drop {
				cache.Drop("a")
			}
			if got, fresh := cache.Stamp(tt.at, "a"); got != tt.want || fresh != tt.fresh {
				t.Errorf("Stamp = %+v, %v; want %+v, %v", got, fresh, tt.want, tt.fresh)
			}
		})
	}
}
