package peer

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

func TestHopRoundTrip(t *testing.T) {
	text := rapid.StringMatching(`[a-z0-9./-]{0,20}`)
	rapid.Check(t, func(t *rapid.T) {
		want := Hop{
			Target:     text.Draw(t, "target"),
			Path:       text.Draw(t, "path"),
			Importance: rules.Importance(rapid.IntRange(0, int(rules.Vital)).Draw(t, "importance")),
			RootHash:   rapid.Uint64().Draw(t, "root"),
			Depth:      rapid.IntRange(0, 9).Draw(t, "depth"),
			Key:        text.Draw(t, "key"),
			IsQuery:    rapid.Bool().Draw(t, "ask"),
			Repeat:     rapid.Bool().Draw(t, "repeat"),
			Inherited:  rapid.Bool().Draw(t, "inherited"),
			Stamp: ticket.Stamp{
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Generation:  rapid.Uint64().Draw(t, "generation"),
			},
		}
		got, err := ParseHop(want.String())
		if err != nil || got != want {
			t.Fatalf("got %+v and %v, want %+v", got, err, want)
		}
	})
}

func TestWordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Feedback{
			Outcome:       Outcome(rapid.IntRange(0, int(OtherIncarnation)).Draw(t, "outcome")),
			ReachedTarget: rapid.Bool().Draw(t, "arrived"),
			Reason:        rapid.StringMatching(`[a-z0-9-]{0,12}`).Draw(t, "reason"),
			Running:       rapid.IntRange(0, 9999).Draw(t, "running"),
			Limit:         rapid.IntRange(0, 9999).Draw(t, "limit"),
			Leaving:       rapid.Bool().Draw(t, "leaving"),
			Threshold:     admit.Threshold{}.Max(admit.Threshold{}),
			Wait:          clock.Milli(rapid.Int64Range(0, 9999).Draw(t, "wait")),
			Stamp: ticket.Stamp{
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				Generation:  rapid.Uint64().Draw(t, "generation"),
			},
			Received: true,
		}
		got, err := ParseFeedback(want.String())
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v and %v, want %+v", got, err, want)
		}
	})
}

func TestParseEnds(t *testing.T) {
	tests := map[string]struct {
		text string
		want clock.Milli
		ok   bool
	}{
		"a time": {
			text: FormatEnds(1200),
			want: 1200,
			ok:   true,
		},
		"none": {},
		"zero": {
			text: "0",
		},
		"negative": {
			text: "-5",
		},
		"no time": {
			text: "soon",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseEnds(tt.text)
			if got != tt.want || (err == nil) != tt.ok {
				t.Errorf("got %d and %v, want %d", got, err, tt.want)
			}
		})
	}
}

// Guards against a route or a request whose name has a comma, or another byte with a
// meaning, and that every other daemon refuses.
func FuzzNamesSurvive(f *testing.F) {
	f.Add("t", "a,b", "k/1")
	f.Add("", "%", "%2c")
	f.Add("\x00\r\n", "caf\u00e9 \xff", ",,,")
	f.Fuzz(func(t *testing.T, target, path, key string) {
		want := Hop{
			Target: target,
			Path:   path,
			Key:    key,
		}
		text := want.String()
		for i := range len(text) {
			if text[i] <= ' ' || text[i] >= 0x7f {
				t.Fatalf("%q has a byte that a header field can't hold", text)
			}
		}
		got, err := ParseHop(text)
		if err != nil || got != want {
			t.Errorf("got %+v and %v, want %+v", got, err, want)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(Hop{}.String())
	f.Add(Feedback{}.String())
	f.Add(",,,,,,,,,")
	f.Fuzz(func(t *testing.T, text string) {
		if h, err := ParseHop(text); err == nil && !h.Importance.IsValid() {
			t.Errorf("importance %d", h.Importance)
		}
		if feedback, err := ParseFeedback(text); err == nil && (feedback.Running < 0 || feedback.Limit < 0) {
			t.Errorf("negative load: %+v", feedback)
		}
	})
}

// Guards against a proof of another daemon that is taken for younger than it is, or
// for one of another version.
func TestParseFresh(t *testing.T) {
	want := Fresh{
		Version: 1 << 40,
		Age:     1234,
	}
	if got, err := ParseFresh(want.String()); err != nil || got != want {
		t.Errorf("got %+v and %v, want %+v", got, err, want)
	}
	for _, s := range []string{"", "1", "1,", ",1", "1,-1", "-1,1", "1,1,1", "1;1", "zzzzzzzzzzzzzzzzzzzz,1"} {
		if got, err := ParseFresh(s); err == nil {
			t.Errorf("%q is read as %+v", s, got)
		}
	}
}
