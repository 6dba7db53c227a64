package hop

import (
	"bytes"
	"encoding/base64"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

var (
	newKey = []byte("the newest key..")
	oldKey = []byte("the one before..")
)

func sample() Hop {
	return Hop{
		Attempt:     "a-1",
		ID:          "id",
		Root:        "root",
		RootHash:    1 << 63,
		Target:      "shop-1",
		Path:        "shop/pay",
		Caller:      "armor",
		Importance:  rules.Vital,
		Depth:       3,
		Remaining:   5 * clock.Second,
		RetryUnits:  2,
		Ticket:      "ticket",
		Digest:      99,
		Age:         7,
		Incarnation: 8,
	}
}

func seal(t testing.TB, key []byte, h Hop) string {
	t.Helper()
	s, err := NewKeys([][]byte{key}).Seal(h)
	if err != nil {
		t.Fatalf("Seal: %v", err)
	}
	return s
}

// macOf returns the MAC of body under the newest key.
func macOf(body []byte) []byte { return mac(NewKeys([][]byte{newKey}).macs[0], body, nil) }

func TestOpen(t *testing.T) {
	good := seal(t, newKey, sample())
	raw, _ := base64.RawURLEncoding.DecodeString(good)
	long := sample()
	long.Ticket = strings.Repeat("x", MaxLen)
	tests := map[string]struct {
		text string
		ok   bool
		kind Kind
	}{
		"sealed with the first key": {
			text: good,
			ok:   true,
		},
		"sealed with another key of the fleet": {
			text: seal(t, oldKey, sample()),
			ok:   true,
		},
		"sealed with a foreign key": {
			text: seal(t, []byte("a foreign key..."), sample()),
			kind: Forged,
		},
		"empty": {
			kind: Malformed,
		},
		"longer than MaxLen": {
			text: seal(t, newKey, long),
			kind: Malformed,
		},
		"not base64": {
			text: "*" + good,
			kind: Malformed,
		},
		"MAC without content": {
			text: base64.RawURLEncoding.EncodeToString(raw[len(raw)-macBytes:]),
			kind: Malformed,
		},
		"valid MAC, but not a hop": {
			text: base64.RawURLEncoding.EncodeToString(append([]byte("x"), macOf([]byte("x"))...)),
			kind: Malformed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, err := NewKeys([][]byte{newKey, oldKey}).Open(tt.text)
			if tt.ok {
				if err != nil || h != sample() {
					t.Errorf("Open = %+v, %v, want the hop", h, err)
				}
				return
			}
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.kind || h != (Hop{}) {
				t.Errorf("Open = %+v, %v, want an error of kind %d", h, err, tt.kind)
			}
		})
	}
}

// TestOpenRefusesAnyChange flips each bit of a sealed hop in turn and checks
// that the result is refused.
func TestOpenRefusesAnyChange(t *testing.T) {
	raw, err := base64.RawURLEncoding.DecodeString(seal(t, newKey, sample()))
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	keys := NewKeys([][]byte{newKey})
	for bit := range 8 * len(raw) {
		raw[bit/8] ^= 1 << (bit % 8)
		if _, err := keys.Open(base64.RawURLEncoding.EncodeToString(raw)); err == nil {
			t.Errorf("Open accepts a hop whose bit %d was flipped", bit)
		}
		raw[bit/8] ^= 1 << (bit % 8)
	}
}

// FuzzOpen passes arbitrary text to Open, and also arbitrary content with a
// valid MAC, which reaches the decoder.
func FuzzOpen(f *testing.F) {
	good := seal(f, newKey, sample())
	body, err := cbor.Marshal(sample())
	if err != nil {
		f.Fatalf("marshal: %v", err)
	}
	f.Add(good, body)
	f.Add("", []byte{})
	f.Add("AAAA", []byte{0xa1, 0x01, 0x9f})
	f.Add(good[:len(good)-1], []byte{0xbf, 0x01, 0x7f})
	f.Add(strings.Repeat("A", MaxLen+1), []byte{0xa1, 0x0a, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	keys := NewKeys([][]byte{newKey})
	f.Fuzz(func(t *testing.T, text string, body []byte) {
		if h, err := keys.Open(text); err == nil && h != sample() {
			t.Errorf("Open(%q) = %+v without the key", text, h)
		}
		sealed := base64.RawURLEncoding.EncodeToString(append(bytes.Clone(body), macOf(body)...))
		h, err := keys.Open(sealed)
		if err != nil {
			return
		}
		again, err := keys.Open(seal(t, newKey, h))
		if err != nil || again != h {
			t.Errorf("Open after sealing again = %+v, %v, want %+v", again, err, h)
		}
	})
}

// BenchmarkSealOpen seals one hop and opens it.
func BenchmarkSealOpen(b *testing.B) {
	keys := NewKeys([][]byte{newKey})
	b.ReportAllocs()
	for b.Loop() {
		s, err := keys.Seal(sample())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := keys.Open(s); err != nil {
			b.Fatal(err)
		}
	}
}
