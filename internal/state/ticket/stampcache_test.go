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
		heard []Stamp
		drop  bool
		at    clock.Milli
		want  Stamp
		fresh bool
	}{
		"never heard": {},
		"heard just now": {
			heard: []Stamp{stamp(1, 3)},
			at:    DefaultMaxStampAge - 1,
			want:  stamp(1, 3),
			fresh: true,
		},
		"heard too long ago": {
			heard: []Stamp{stamp(1, 3)},
			at:    DefaultMaxStampAge,
			want:  stamp(1, 3),
		},
		"an answer that was overtaken": {
			heard: []Stamp{stamp(1, 3), stamp(1, 2)},
			want:  stamp(1, 3),
			fresh: true,
		},
		"a new incarnation starts over": {
			heard: []Stamp{stamp(9, 3), stamp(1, 1)},
			want:  stamp(1, 1),
			fresh: true,
		},
		"no stamp in an answer": {
			heard: []Stamp{stamp(1, 3), {}},
			want:  stamp(1, 3),
			fresh: true,
		},
		"connection lost": {
			heard: []Stamp{stamp(1, 3)},
			drop:  true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cache := NewStampCache(StampCacheConfig{})
			for _, s := range tt.heard {
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
