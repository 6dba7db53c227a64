package ticket

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

func newKeys(t testing.TB, secrets ...string) *Keys {
	t.Helper()
	list := make([][]byte, 0, len(secrets))
	for _, s := range secrets {
		list = append(list, []byte(s))
	}
	keys, err := NewKeys(list...)
	if err != nil {
		t.Fatalf("NewKeys: %v", err)
	}
	return keys
}

const (
	oldSecret = "0123456789abcdef-old"
	newSecret = "0123456789abcdef-new"
)

func sampleTicket() Ticket {
	return Ticket{
		ID:          NewID([EntropyBytes]byte{1, 2, 3}),
		Caller:      "wallet",
		Path:        "payment/pay",
		Target:      "payment-1",
		Addr:        "127.0.0.1:7001",
		Root:        "root",
		Incarnation: 1 << 63,
		Generation:  7,
		Window:      10 * clock.Minute,
	}
}

func TestSealRoundTrip(t *testing.T) {
	keys := newKeys(t, newSecret)
	text := rapid.StringN(1, MaxFieldBytes, MaxFieldBytes)
	rapid.Check(t, func(t *rapid.T) {
		want := Ticket{
			ID:          text.Draw(t, "id"),
			Caller:      text.Draw(t, "caller"),
			Path:        text.Draw(t, "path"),
			Target:      text.Draw(t, "target"),
			Addr:        rapid.StringN(0, MaxFieldBytes, MaxFieldBytes).Draw(t, "addr"),
			Root:        rapid.StringN(0, MaxFieldBytes, MaxFieldBytes).Draw(t, "root"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Generation:  rapid.Uint64().Draw(t, "generation"),
			Window:      clock.Milli(rapid.Int64Range(0, 1<<62).Draw(t, "window")),
		}
		sealed, err := keys.Seal(want)
		if err != nil {
			t.Fatalf("Seal: %v", err)
		}
		if len(sealed) > MaxSealedBytes {
			t.Fatalf("sealed text has %d bytes, bound %d", len(sealed), MaxSealedBytes)
		}
		got, err := keys.Open(sealed)
		if err != nil || got != want {
			t.Fatalf("Open = %+v, %v; want %+v", got, err, want)
		}
	})
}

// Open must refuse a sealed text in which any single character was changed.
func TestOpenRefusesAnyChange(t *testing.T) {
	keys := newKeys(t, newSecret)
	sealed, err := keys.Seal(sampleTicket())
	if err != nil {
		t.Fatalf("Seal: %v", err)
	}
	for i := range sealed {
		changed := []byte(sealed)
		changed[i] = 'A'
		if changed[i] == sealed[i] {
			changed[i] = 'B'
		}
		if _, err := keys.Open(string(changed)); err == nil {
			t.Errorf("Open accepted a text changed at position %d", i)
		}
	}
}

func TestOpenErrors(t *testing.T) {
	keys := newKeys(t, newSecret)
	sealed, err := keys.Seal(sampleTicket())
	if err != nil {
		t.Fatalf("Seal: %v", err)
	}
	resealed := func(payload []byte) string {
		return base64.RawURLEncoding.EncodeToString(appendMAC(payload, keys.keys[0]))
	}
	long := sampleTicket()
	long.Path = strings.Repeat("p", MaxFieldBytes+1)
	tests := map[string]struct {
		text string
		want Kind
	}{
		"empty": {
			text: "",
			want: Malformed,
		},
		"not base64": {
			text: "!" + sealed,
			want: Malformed,
		},
		"cut": {
			text: sealed[:len(sealed)-8],
			want: Forged,
		},
		"overlong": {
			text: strings.Repeat("A", MaxSealedBytes+1),
			want: Oversize,
		},
		"unknown version": {
			text: resealed(append([]byte{formatVersion + 1}, appendPayload(nil, sampleTicket())[1:]...)),
			want: Malformed,
		},
		"no fields": {
			text: resealed([]byte{formatVersion}),
			want: Malformed,
		},
		"trailing data": {
			text: resealed(append(appendPayload(nil, sampleTicket()), 0)),
			want: Malformed,
		},
		"long field": {
			text: resealed(appendPayload(nil, long)),
			want: Malformed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := keys.Open(tt.text)
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want {
				t.Errorf("Open error = %v, want kind %v", err, tt.want)
			}
		})
	}
}

func TestKeyRotation(t *testing.T) {
	tests := map[string]struct {
		sealer *Keys
		opener *Keys
		want   bool
	}{
		"old key still opens": {
			sealer: newKeys(t, oldSecret),
			opener: newKeys(t, newSecret, oldSecret),
			want:   true,
		},
		"new key opens before it is used to seal": {
			sealer: newKeys(t, newSecret, oldSecret),
			opener: newKeys(t, oldSecret, newSecret),
			want:   true,
		},
		"withdrawn key no longer opens": {
			sealer: newKeys(t, oldSecret),
			opener: newKeys(t, newSecret),
			want:   false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sealed, err := tt.sealer.Seal(sampleTicket())
			if err != nil {
				t.Fatalf("Seal: %v", err)
			}
			if _, err := tt.opener.Open(sealed); (err == nil) != tt.want {
				t.Errorf("Open error = %v, want success %v", err, tt.want)
			}
		})
	}
	if _, err := NewKeys([]byte("short")); err == nil {
		t.Error("NewKeys accepted a short secret")
	}
}

func TestMatch(t *testing.T) {
	tk := sampleTicket()
	if err := errors.Join(tk.Match("wallet", "payment/pay"), tk.MatchTarget("payment-1")); err != nil {
		t.Errorf("own ticket: %v", err)
	}
	for name, err := range map[string]error{
		"caller": tk.Match("other", "payment/pay"),
		"path":   tk.Match("wallet", "ledger/pay"),
		"target": tk.MatchTarget("payment-2"),
	} {
		if err == nil {
			t.Errorf("a different %s was accepted", name)
		}
	}
}

func BenchmarkSealOpen(b *testing.B) {
	keys := newKeys(b, newSecret)
	b.ReportAllocs()
	for b.Loop() {
		sealed, err := keys.Seal(sampleTicket())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := keys.Open(sealed); err != nil {
			b.Fatal(err)
		}
	}
}

// Ids must consist of letters and digits: a command line takes an id that
// begins with a hyphen for a flag.
func TestNewIDAlphabet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var random [EntropyBytes]byte
		copy(random[:], rapid.SliceOfN(rapid.Byte(), EntropyBytes, EntropyBytes).Draw(t, "random"))
		id := NewID(random)
		if strings.Trim(id, "0123456789abcdefghijklmnopqrstuv") != "" {
			t.Fatalf("id %q has characters other than lower-case letters and digits", id)
		}
	})
}
