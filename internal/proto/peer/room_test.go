package peer

import "testing"

// Guards against a throughput that is read as another one, and against values from
// outside that are believed though they make no sense.
func TestParseRoom(t *testing.T) {
	for _, want := range []float64{0.1, 12.3, 4000} {
		r, err := ParseRoom(Room{Throughput: want}.String())
		if err != nil || r.Throughput != want {
			t.Errorf("got %v and %v, want %v", r.Throughput, err, want)
		}
	}
	for _, value := range []string{"", "-1", "x!", "1.5", "zzzzzzzzzz", "zzzzzzzzzzzzzzzzzzzz"} {
		if r, err := ParseRoom(value); err == nil || !r.IsUnknown() {
			t.Errorf("ParseRoom(%q) = %v, %v, want an error", value, r, err)
		}
	}
}
