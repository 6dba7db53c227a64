package outbnd

import (
	"testing"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// TestPanicInAnAttempt plants a panic in the exchange with a guard: the caller is
// told that the outcome is unknown, and the next call is served.
func TestPanicInAnAttempt(t *testing.T) {
	w := newFixture(t, func(q guardRequest) { q.answer(reply.Done, nil) })
	pool := w.server.cfg.Pool
	w.server.cfg.Pool = nil
	if resp := w.call("shop/read", nil); outcomeOf(resp) != header.Unknown {
		t.Errorf("outcome %q after a panic, want %q", outcomeOf(resp), header.Unknown)
	}
	w.server.cfg.Pool = pool
	if resp := w.call("shop/read", nil); outcomeOf(resp) != header.Done {
		t.Errorf("outcome %q of the next call, want %q", outcomeOf(resp), header.Done)
	}
}
