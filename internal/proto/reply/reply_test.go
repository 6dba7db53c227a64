package reply

import (
	"errors"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/header"
)

func sample() Reply {
	return Reply{
		Attempt:    "a-1",
		State:      NotRun,
		RetryUnits: 3,
		Digest:     1 << 63,
		Threshold:  admit.Highest(),
		Short: Lane{
			Running: 4,
			Limit:   5,
		},
		Long: Lane{
			Running: 6,
			Limit:   7,
		},
		Leaving: true,
		Stamp: ticket.Stamp{
			Incarnation: 8,
			Generation:  9,
		},
	}
}

func TestParse(t *testing.T) {
	text := sample().String()
	parts := strings.Split(text, separator)
	with := func(i int, part string) string {
		changed := append([]string(nil), parts...)
		changed[i] = part
		return strings.Join(changed, separator)
	}
	if got, err := Parse(text); err != nil || got != sample() {
		t.Errorf("Parse(%q) = %+v, %v", text, got, err)
	}
	tests := map[string]string{
		"empty":                       "",
		"one field missing":           strings.Join(parts[1:], separator),
		"one field too many":          text + separator,
		"longer than allowed":         strings.Repeat("x", maxBytes) + text,
		"unknown state":               with(1, "finished"),
		"negative units":              with(2, "-1"),
		"too many units":              with(2, "4294967296"),
		"digest is not a number":      with(3, "xyz"),
		"bad threshold":               with(4, "x"),
		"running is not a number":     with(5, ""),
		"leaving is not a boolean":    with(9, "maybe"),
		"incarnation is not a number": with(10, "-2"),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(text)
			var e *Error
			if !errors.As(err, &e) || e.Kind != Malformed || got != (Reply{}) {
				t.Errorf("Parse(%q) = %+v, %v, want an error", text, got, err)
			}
		})
	}
}

// TestOutcome checks that a caller gets a definite outcome only for the two
// states that the guard is certain of.
func TestOutcome(t *testing.T) {
	tests := map[State]string{
		Done:              header.Done,
		NotRun:            header.NotRun,
		Running:           header.Unknown,
		Ended:             header.Unknown,
		Unknown:           header.Unknown,
		State("anything"): header.Unknown,
	}
	for state, want := range tests {
		if got := state.Outcome(); got != want {
			t.Errorf("%q.Outcome() = %q, want %q", state, got, want)
		}
	}
}

// FuzzParse checks that any text which Parse accepts gives the same Reply after
// another round of String and Parse.
func FuzzParse(f *testing.F) {
	f.Add(sample().String())
	f.Add(Reply{State: Done}.String())
	f.Add("a;b;c")
	f.Add(strings.Repeat(separator, numFields-1))
	f.Add("a;done;00;0;0.0;0;0;0;0;T;0;0")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		if r.RetryUnits < 0 || r.Short.Running < 0 || r.Long.Limit < 0 {
			t.Errorf("Parse(%q) = %+v", text, r)
		}
		if again, err := Parse(r.String()); err != nil || again != r {
			t.Errorf("Parse(%q) = %+v, %v, want %+v", r.String(), again, err, r)
		}
	})
}
