package inbnd

import (
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// raw answers with bytes of its own and ends the connection.
func raw(text string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
	}
}

// TestTargetFaults checks what is said of an attempt whose target answers in
// one way or another, at once and when asked again.
func TestTargetFaults(t *testing.T) {
	tests := map[string]struct {
		script fasthttp.RequestHandler
		want   reply.State
		// status is that of a later answer on the same ticket.
		status int
	}{
		"whole": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") },
			want:   reply.Done,
			status: 200,
		},
		"failure of its own": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) },
			want:   reply.Done,
			status: 500,
		},
		"refusal without an outcome": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) },
			want:   reply.Done,
			status: 503,
		},
		"refusal before it ran": {
			script: func(ctx *fasthttp.RequestCtx) {
				ctx.SetStatusCode(503)
				ctx.Response.Header.Set(header.Outcome, header.NotRun)
			},
			want:   reply.NotRun,
			status: 503,
		},
		"too large to keep": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 2*largest)) },
			want:   reply.Done,
			status: 410,
		},
		"too large to pass on": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 20*largest)) },
			want:   reply.Unknown,
			status: 409,
		},
		"answer of another attempt": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(header.Attempt, "another") },
			want:   reply.Unknown,
			status: 409,
		},
		"no answer": {
			script: raw(""),
			want:   reply.Unknown,
			status: 409,
		},
		"cut in the header": {
			script: raw("HTTP/1.1 200 OK\r\nContent-"),
			want:   reply.Unknown,
			status: 409,
		},
		"shorter than announced": {
			script: raw("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"),
			want:   reply.Unknown,
			status: 409,
		},
		"cut between chunks": {
			script: raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
			want:   reply.Unknown,
			status: 409,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, clock.System(), tt.script)
			if _, r := w.run(w.attempt("read")); r.State != tt.want {
				t.Errorf("repeatable: state %q, want %q", r.State, tt.want)
			}
			w.await()
			h := w.onTicket(self)
			first, r := w.run(h)
			if r.State != tt.want {
				t.Errorf("on a ticket: state %q, want %q", r.State, tt.want)
			}
			w.await()
			again := w.onTicket(self)
			resp, r := w.run(again)
			if r.State != tt.want || resp.StatusCode() != tt.status {
				t.Errorf("again: state %q, status %d, want %q, %d", r.State, resp.StatusCode(), tt.want, tt.status)
			}
			if tt.status < 400 && string(resp.Body()) != string(first.Body()) {
				t.Errorf("again: body %q, want the first, %q", resp.Body(), first.Body())
			}
			if _, r := w.ask(again); r.State != tt.want {
				t.Errorf("asked: state %q, want %q", r.State, tt.want)
			}
			if n := len(w.arrived); n != 0 {
				t.Errorf("%d messages more reached the target", n)
			}
		})
	}
}

// TestArrivals checks attempts that must not reach the target.
func TestArrivals(t *testing.T) {
	tests := map[string]struct {
		hop  func(w *world) hop.Hop
		key  []byte
		want reply.State
	}{
		"forged": {
			hop:  func(w *world) hop.Hop { return w.attempt("read") },
			key:  []byte("another key of 16"),
			want: reply.NotRun,
		},
		"for another target": {
			hop: func(w *world) hop.Hop {
				h := w.attempt("read")
				h.Target = "shop-2"
				return h
			},
			want: reply.NotRun,
		},
		"other content than was sealed": {
			hop: func(w *world) hop.Hop {
				h := w.attempt("read")
				h.Digest++
				return h
			},
			want: reply.NotRun,
		},
		"no time left": {
			hop: func(w *world) hop.Hop {
				h := w.attempt("read")
				h.Remaining = 0
				return h
			},
			want: reply.NotRun,
		},
		"once-only without a ticket": {
			hop:  func(w *world) hop.Hop { return w.attempt("pay") },
			want: reply.NotRun,
		},
		"ticket of another target": {
			hop:  func(w *world) hop.Hop { return w.onTicket("shop-2") },
			want: reply.Unknown,
		},
		"ticket of another caller": {
			hop: func(w *world) hop.Hop {
				h := w.onTicket(self)
				h.Caller = "xaalis"
				return h
			},
			want: reply.Unknown,
		},
		"asked about before": {
			hop: func(w *world) hop.Hop {
				h := w.attempt("read")
				if _, r := w.ask(h); r.State != reply.NotRun {
					w.t.Errorf("asked: state %q, want not-run", r.State)
				}
				return h
			},
			want: reply.NotRun,
		},
		"ticket asked about before": {
			hop: func(w *world) hop.Hop {
				if _, r := w.ask(w.onTicket(self)); r.State != reply.NotRun {
					w.t.Errorf("asked: state %q, want not-run", r.State)
				}
				return w.onTicket(self)
			},
			want: reply.NotRun,
		},
		"given up before": {
			hop: func(w *world) hop.Hop {
				h := w.attempt("read")
				w.giveUp(h)
				return h
			},
			want: reply.NotRun,
		},
		"ticket given up before": {
			hop: func(w *world) hop.Hop {
				h := w.onTicket(self)
				w.giveUp(h)
				return h
			},
			want: reply.NotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, clock.System(), func(*fasthttp.RequestCtx) {})
			key := tt.key
			if key == nil {
				key = testKey
			}
			h := tt.hop(w)
			if _, r := w.send(fasthttp.MethodPost, h.Path, h, key); r.State != tt.want {
				t.Errorf("state %q, want %q", r.State, tt.want)
			}
			if n := len(w.arrived); n != 0 {
				t.Errorf("%d messages reached the target", n)
			}
		})
	}
}

// TestReplayedHop checks that an attempt that arrives twice runs once, and that
// the second arrival gives no units back beside the first.
func TestReplayedHop(t *testing.T) {
	for _, path := range []string{"read", "pay"} {
		w := newWorld(t, clock.System(), func(*fasthttp.RequestCtx) {})
		h := w.attempt(path)
		if path == "pay" {
			h = w.onTicket(self)
		}
		if _, r := w.run(h); r.State != reply.Done || r.RetryUnits != h.RetryUnits {
			t.Errorf("%s: state %q, %d units, want done and all units", path, r.State, r.RetryUnits)
		}
		if _, r := w.run(h); r.State != reply.Unknown || r.RetryUnits != 0 {
			t.Errorf("%s again: state %q, %d units, want unknown and none", path, r.State, r.RetryUnits)
		}
		w.await()
		if n := len(w.arrived); n != 0 {
			t.Errorf("%s: %d messages more reached the target", path, n)
		}
	}
}

// TestQueue checks attempts that wait for the one slot.
func TestQueue(t *testing.T) {
	tests := map[string]func(w *world, f *clock.Fake, h hop.Hop){
		"given up": func(w *world, _ *clock.Fake, h hop.Hop) { w.giveUp(h) },
		"deadline passed": func(w *world, f *clock.Fake, _ hop.Hop) {
			f.Advance(h10 + 1)
			w.server.Tick()
		},
	}
	for name, end := range tests {
		for _, path := range []string{"read", "pay"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := clock.NewFake(clock.Hour)
				released := make(chan struct{})
				w := newWorld(t, f.Clock(), func(*fasthttp.RequestCtx) { receive(t, released, "the test ends") })
				first := w.attempt("read")
				first.Remaining = clock.Hour
				running := w.start(first)
				w.await()
				h := w.attempt(path)
				if path == "pay" {
					h = w.onTicket(self)
				}
				h.Remaining = h10
				waiting := w.start(h)
				for w.server.Stats().Lanes[0].Queued == 0 {
					if len(waiting) > 0 {
						t.Fatalf("not queued: %+v", <-waiting)
					}
				}
				end(w, f, h)
				if r := receive(t, waiting, "the queued attempt is answered"); r.State != reply.NotRun || r.RetryUnits != h.RetryUnits {
					t.Errorf("state %q, %d units, want not-run and all units", r.State, r.RetryUnits)
				}
				if _, r := w.ask(h); path == "pay" && r.State != reply.NotRun {
					t.Errorf("asked: state %q, want not-run", r.State)
				}
				close(released)
				if r := receive(t, running, "the first attempt is answered"); r.State != reply.Done {
					t.Errorf("first: state %q, want done", r.State)
				}
				if n := len(w.arrived); n != 0 {
					t.Errorf("%d messages more reached the target", n)
				}
			})
		}
	}
}

// h10 is a deadline that a test lets pass.
const h10 = 10 * clock.Second
