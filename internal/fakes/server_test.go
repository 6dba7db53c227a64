package fakes

import "testing"

// TestCloseRightAfterStart guards against a Close that hangs because the
// goroutine of the server has not yet called Serve.
func TestCloseRightAfterStart(t *testing.T) {
	for range 200 {
		r, err := NewRoster(RosterConfig{})
		if err != nil {
			t.Fatalf("NewRoster() = %v", err)
		}
		if err := r.Close(); err != nil {
			t.Fatalf("Close() = %v", err)
		}
	}
}
