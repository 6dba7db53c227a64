package inbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// TestGiveUpReachesDeeperCalls checks that cancelling a running attempt also
// cancels its downstream calls.
func TestGiveUpReachesDeeperCalls(t *testing.T) {
	tokens := make(chan string, 1)
	released := make(chan struct{})
	fx := newFixture(t, clock.System(), nil)
	fx.setScript(func(ctx *fasthttp.RequestCtx) {
		if ctx.IsDelete() {
			return
		}
		tokens <- string(ctx.Request.Header.Peek(header.Context))
		receiveEvent(t, released, "the test ends")
	})
	defer close(released)
	h := fx.attempt("read")
	answered := fx.start(h)
	parent, ok := fx.server.cfg.Chains.Find(receiveEvent(t, tokens, "the attempt runs"))
	if !ok {
		t.Fatal("the attempt has no record")
	}
	fx.cancel(h)
	receiveEvent(t, parent.Cancelled(), "the request is marked as cancelled")
	if r := receiveEvent(t, answered, "the attempt is answered"); r.State != reply.Unknown {
		t.Errorf("state %q, want unknown", r.State)
	}
}

// TestRequestLogMarksReplays checks that the request log tells an attempt that
// ran from one that was answered with the kept answer of an earlier attempt.
func TestRequestLogMarksReplays(t *testing.T) {
	fx := newFixture(t, clock.System(), func(*fasthttp.RequestCtx) {})
	for _, kept := range []bool{false, true} {
		if _, r := fx.run(fx.attemptOnTicket(self)); r.State != reply.Done {
			t.Fatalf("state %q, want done", r.State)
		}
		entries := fx.server.cfg.RequestLog.Find("a")
		if last := entries[len(entries)-1]; last.Replayed != kept {
			t.Errorf("entry %d: Replayed = %v, want %v", len(entries), last.Replayed, kept)
		}
	}
}
