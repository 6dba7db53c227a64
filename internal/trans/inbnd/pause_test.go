package inbnd

import (
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// TestPause simulates a pause of the process past the deadline of an attempt, in
// turn at each reading of the clock. The target must not receive an attempt
// after its deadline, or an attempt that is then reported as not-run.
func TestPause(t *testing.T) {
	for _, path := range []string{"read", "pay"} {
		for reading := range 16 {
			t.Run(path+" "+strconv.Itoa(reading), func(t *testing.T) {
				f := clock.NewFake(clock.Hour)
				c := f.Clock()
				var readingsLeft atomic.Int64
				readingsLeft.Store(-1)
				now := c.Now
				c.Now = func() clock.Milli {
					if readingsLeft.Add(-1) == 0 {
						f.Advance(shortDeadline + exchangeGrace/2)
					}
					return now()
				}
				deadlines := make(chan string, 1)
				fx := newFixture(t, c, func(ctx *fasthttp.RequestCtx) {
					deadlines <- string(ctx.Request.Header.Peek(header.Deadline))
				})
				h := fx.attempt(path)
				if path == "pay" {
					h = fx.attemptOnTicket(self)
				}
				h.Remaining = shortDeadline
				readingsLeft.Store(int64(reading) + 1)
				_, r := fx.run(h)
				for !fx.server.IsIdle() {
					runtime.Gosched()
				}
				select {
				case text := <-deadlines:
					if n, err := strconv.Atoi(text); err != nil || n <= 0 || r.State == reply.NotRun {
						t.Errorf("the target received the attempt with a deadline of %q ms, and the reply has state %q", text, r.State)
					}
				default:
					if r.State == reply.Done {
						t.Error("state done, but the target received no attempt")
					}
				}
			})
		}
	}
}
