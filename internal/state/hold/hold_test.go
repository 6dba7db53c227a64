package hold

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLargeMessagesLeaveRoom checks the bounds that the package promises, for
// any number of messages that grow without end.
func TestLargeMessagesLeaveRoom(t *testing.T) {
	const (
		limit = 1 << 20
		step  = 1 << 10
	)
	tests := map[string]struct {
		messages int
	}{
		"one": {
			messages: 1,
		},
		"eight": {
			messages: 8,
		},
		"a hundred": {
			messages: 100,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(limit)
			holds := make([]*Hold, tt.messages)
			for i := range holds {
				holds[i] = p.Open()
			}
			for grew := true; grew; {
				grew = false
				for _, h := range holds {
					grew = h.Grow(step) || grew
				}
			}
			for i, h := range holds {
				if h.bytes > limit/2 {
					t.Errorf("message %d takes %d of %d bytes", i, h.bytes, limit)
				}
			}
			left := limit - p.Stats().Used
			if want := limit/(tt.messages+1) - tt.messages*step; left < want {
				t.Errorf("%d bytes are left, want %d or more", left, want)
			}
			if small := p.Open(); !small.Grow(step) {
				t.Error("a small message has no room beside large ones")
			}
		})
	}
}

// TestBytesAreConserved checks that a pool is empty after all holds were
// released, whatever was done to them, and never above its limit.
func TestBytesAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		p := NewPool(limit)
		holds := []*Hold{p.Open(), p.Open(), p.Open()}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := rapid.SampledFrom(holds).Draw(t, "hold")
			n := rapid.IntRange(0, limit).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				h.Shrink(n)
			case 1:
				h.Release()
			default:
				h.Grow(n)
			}
			if used := p.Stats().Used; used < 0 || used > limit {
				t.Fatalf("%d of %d bytes are used", used, limit)
			}
		}
		for _, h := range holds {
			h.Release()
		}
		if used := p.Stats().Used; used != 0 {
			t.Fatalf("%d bytes are used by nobody", used)
		}
	})
}

func TestNilHoldHasNoBound(t *testing.T) {
	var h *Hold
	if !h.Grow(1 << 40) {
		t.Fatal("a nil hold refused to grow")
	}
	h.Shrink(1)
	h.Release()
}
