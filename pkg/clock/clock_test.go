package clock

import "testing"

// Guards against an instant that code takes for none because it is 0.
func TestInstantsAreGreaterThanZero(t *testing.T) {
	if now := System().Now(); now <= 0 {
		t.Errorf("the first instant is %d, want more than 0", now)
	}
}
