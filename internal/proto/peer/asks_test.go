package peer

import (
	"math"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/fair"
)

// Guards against demand that another daemon reads as a different one.
func TestAsks(t *testing.T) {
	want := []fair.Statement{
		{
			Key:  fair.Keys - 1,
			Rate: fair.MaxRate,
		},
		{
			Rate: fair.MinRate,
		},
		{
			Key:  12345,
			Rate: 3.7,
		},
	}
	got, err := ParseAsks(FormatAsks(want))
	if err != nil || len(got) != len(want) {
		t.Fatalf("got %+v and %v", got, err)
	}
	for i := range want {
		if got[i].Key != want[i].Key || math.Abs(got[i].Rate/want[i].Rate-1) > 0.02 {
			t.Errorf("got %+v, want %+v", got[i], want[i])
		}
	}
}

// Guards against a value from outside that is read as demand out of range, or of more
// accounts than a message may carry.
func FuzzParseAsks(f *testing.F) {
	f.Add("")
	f.Add("0000000")
	f.Add("zzzzzzz")
	f.Add("00-1-1z")
	f.Add(strings.Repeat("00000zz", fair.MaxStatements+1))
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseAsks(text)
		if err != nil {
			return
		}
		if len(got) > fair.MaxStatements || len(got) == 0 {
			t.Errorf("%d statements", len(got))
		}
		for _, s := range got {
			if s.Key >= fair.Keys || !(s.Rate >= fair.MinRate && s.Rate <= fair.MaxRate) {
				t.Errorf("%+v", s)
			}
		}
	})
}
