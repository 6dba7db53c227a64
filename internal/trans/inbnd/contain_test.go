package inbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestPanicInAnExchange plants a panic in the exchange with the target: the
// outcome is unknown, the slot is free again, and the next attempt is served.
func TestPanicInAnExchange(t *testing.T) {
	tests := map[string]struct {
		attempt func(fx *fixture) hop.Hop
	}{
		"idempotent": {
			attempt: func(fx *fixture) hop.Hop { return fx.attempt("read") },
		},
		"on a ticket": {
			attempt: func(fx *fixture) hop.Hop { return fx.attemptOnTicket(self) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, clock.System(), func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
			pool := fx.server.cfg.Pool
			fx.server.cfg.Pool = nil
			if _, r := fx.run(tt.attempt(fx)); r.State != reply.Unknown {
				t.Errorf("state %q after a panic, want %q", r.State, reply.Unknown)
			}
			fx.server.cfg.Pool = pool
			if !fx.server.IsIdle() {
				t.Error("the slot of the attempt is still held")
			}
			if _, r := fx.run(fx.attempt("read")); r.State != reply.Done {
				t.Errorf("state %q of the next attempt, want %q", r.State, reply.Done)
			}
		})
	}
}
