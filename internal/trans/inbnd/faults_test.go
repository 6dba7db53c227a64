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

// rawAnswer returns a handler that writes text to the connection as it is and
// closes the connection.
func rawAnswer(text string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
	}
}

// TestTargetFaults checks the state that is reported for various answers of the
// target, complete and broken ones: to the attempt itself, to a later attempt
// on the same ticket, and to a query.
func TestTargetFaults(t *testing.T) {
	tests := map[string]struct {
		script fasthttp.RequestHandler
		want   reply.State
		// status is the HTTP status of a later attempt on the same ticket.
		status int
	}{
		"whole": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") },
			want:   reply.Done,
			status: 200,
		},
		"error of the target": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) },
			want:   reply.Done,
			status: 500,
		},
		"503 without the outcome header": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) },
			want:   reply.Done,
			status: 503,
		},
		"503 with the outcome not-run": {
			script: func(ctx *fasthttp.RequestCtx) {
				ctx.SetStatusCode(503)
				ctx.Response.Header.Set(header.Outcome, header.NotRun)
			},
			want:   reply.NotRun,
			status: 503,
		},
		"answer too large to keep": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 2*maxAnswerBytes)) },
			want:   reply.Done,
			status: 410,
		},
		"answer too large to forward": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 20*maxAnswerBytes)) },
			want:   reply.Unknown,
			status: 409,
		},
		"answer to another attempt": {
			script: func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(header.Attempt, "another") },
			want:   reply.Unknown,
			status: 409,
		},
		"no answer": {
			script: rawAnswer(""),
			want:   reply.Unknown,
			status: 409,
		},
		"interrupted in the header": {
			script: rawAnswer("HTTP/1.1 200 OK\r\nContent-"),
			want:   reply.Unknown,
			status: 409,
		},
		"body shorter than its Content-Length": {
			script: rawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"),
			want:   reply.Unknown,
			status: 409,
		},
		"interrupted between chunks": {
			script: rawAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
			want:   reply.Unknown,
			status: 409,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, clock.System(), tt.script)
			if _, r := fx.run(fx.attempt("read")); r.State != tt.want {
				t.Errorf("idempotent: state %q, want %q", r.State, tt.want)
			}
			fx.awaitArrival()
			h := fx.attemptOnTicket(self)
			first, r := fx.run(h)
			if r.State != tt.want {
				t.Errorf("non-idempotent: state %q, want %q", r.State, tt.want)
			}
			fx.awaitArrival()
			again := fx.attemptOnTicket(self)
			resp, r := fx.run(again)
			if r.State != tt.want || resp.StatusCode() != tt.status {
				t.Errorf("second attempt: state %q, status %d, want %q, %d", r.State, resp.StatusCode(), tt.want, tt.status)
			}
			if tt.status < 400 && string(resp.Body()) != string(first.Body()) {
				t.Errorf("second attempt: body %q, want that of the first attempt, %q", resp.Body(), first.Body())
			}
			if _, r := fx.query(again); r.State != tt.want {
				t.Errorf("query: state %q, want %q", r.State, tt.want)
			}
			if n := len(fx.arrived); n != 0 {
				t.Errorf("%d more requests reached the target", n)
			}
		})
	}
}

// TestArrivals checks the replies to attempts that must not reach the target:
// invalid ones, and those that a query or a cancellation has fenced before.
func TestArrivals(t *testing.T) {
	tests := map[string]struct {
		hop  func(fx *fixture) hop.Hop
		key  []byte
		want reply.State
	}{
		"forged": {
			hop:  func(fx *fixture) hop.Hop { return fx.attempt("read") },
			key:  []byte("another key of 16"),
			want: reply.NotRun,
		},
		"addressed to another target": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attempt("read")
				h.Target = "shop-2"
				return h
			},
			want: reply.NotRun,
		},
		"content that does not match the digest": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attempt("read")
				h.Digest++
				return h
			},
			want: reply.NotRun,
		},
		"deadline passed": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attempt("read")
				h.Remaining = 0
				return h
			},
			want: reply.NotRun,
		},
		"non-idempotent without a ticket": {
			hop:  func(fx *fixture) hop.Hop { return fx.attempt("pay") },
			want: reply.NotRun,
		},
		"ticket of another target": {
			hop:  func(fx *fixture) hop.Hop { return fx.attemptOnTicket("shop-2") },
			want: reply.Unknown,
		},
		"ticket of another caller": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attemptOnTicket(self)
				h.Caller = "xaalis"
				return h
			},
			want: reply.Unknown,
		},
		"queried before it arrived": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attempt("read")
				if _, r := fx.query(h); r.State != reply.NotRun {
					fx.t.Errorf("query: state %q, want not-run", r.State)
				}
				return h
			},
			want: reply.NotRun,
		},
		"ticket queried before it arrived": {
			hop: func(fx *fixture) hop.Hop {
				if _, r := fx.query(fx.attemptOnTicket(self)); r.State != reply.NotRun {
					fx.t.Errorf("query: state %q, want not-run", r.State)
				}
				return fx.attemptOnTicket(self)
			},
			want: reply.NotRun,
		},
		"cancelled before it arrived": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attempt("read")
				fx.cancel(h)
				return h
			},
			want: reply.NotRun,
		},
		"ticket cancelled before it arrived": {
			hop: func(fx *fixture) hop.Hop {
				h := fx.attemptOnTicket(self)
				fx.cancel(h)
				return h
			},
			want: reply.NotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, clock.System(), func(*fasthttp.RequestCtx) {})
			key := tt.key
			if key == nil {
				key = testKey
			}
			h := tt.hop(fx)
			if _, r := fx.send(fasthttp.MethodPost, h.Path, h, key); r.State != tt.want {
				t.Errorf("state %q, want %q", r.State, tt.want)
			}
			if n := len(fx.arrived); n != 0 {
				t.Errorf("%d requests reached the target", n)
			}
		})
	}
}

// TestReplayedHop checks that an attempt that arrives twice runs only once, and
// that only the reply to the first arrival returns retry units. Units that are
// returned twice would enlarge the retry budget of the request.
func TestReplayedHop(t *testing.T) {
	for _, path := range []string{"read", "pay"} {
		fx := newFixture(t, clock.System(), func(*fasthttp.RequestCtx) {})
		h := fx.attempt(path)
		if path == "pay" {
			h = fx.attemptOnTicket(self)
		}
		if _, r := fx.run(h); r.State != reply.Done || r.RetryUnits != h.RetryUnits {
			t.Errorf("%s: state %q, %d units, want done and all units", path, r.State, r.RetryUnits)
		}
		if _, r := fx.run(h); r.State != reply.Unknown || r.RetryUnits != 0 {
			t.Errorf("%s, second arrival: state %q, %d units, want unknown and none", path, r.State, r.RetryUnits)
		}
		fx.awaitArrival()
		if n := len(fx.arrived); n != 0 {
			t.Errorf("%s: %d more requests reached the target", path, n)
		}
	}
}

// TestQueue checks that an attempt that is cancelled or expires while it waits
// for a slot is answered as not-run, returns all its retry units, and does not
// reach the target.
func TestQueue(t *testing.T) {
	tests := map[string]func(fx *fixture, f *clock.Fake, h hop.Hop){
		"cancelled in the queue": func(fx *fixture, _ *clock.Fake, h hop.Hop) { fx.cancel(h) },
		"deadline passed in the queue": func(fx *fixture, f *clock.Fake, _ hop.Hop) {
			f.Advance(shortDeadline + 1)
			fx.server.Tick()
		},
	}
	for name, end := range tests {
		for _, path := range []string{"read", "pay"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := clock.NewFake(clock.Hour)
				released := make(chan struct{})
				fx := newFixture(t, f.Clock(), func(*fasthttp.RequestCtx) { receiveEvent(t, released, "the test ends") })
				first := fx.attempt("read")
				first.Remaining = clock.Hour
				running := fx.start(first)
				fx.awaitArrival()
				h := fx.attempt(path)
				if path == "pay" {
					h = fx.attemptOnTicket(self)
				}
				h.Remaining = shortDeadline
				waiting := fx.start(h)
				for fx.server.Stats().Lanes[0].Queued == 0 {
					if len(waiting) > 0 {
						t.Fatalf("not queued: %+v", <-waiting)
					}
				}
				end(fx, f, h)
				if r := receiveEvent(t, waiting, "the queued attempt is answered"); r.State != reply.NotRun || r.RetryUnits != h.RetryUnits {
					t.Errorf("state %q, %d units, want not-run and all units", r.State, r.RetryUnits)
				}
				if _, r := fx.query(h); path == "pay" && r.State != reply.NotRun {
					t.Errorf("query: state %q, want not-run", r.State)
				}
				close(released)
				if r := receiveEvent(t, running, "the first attempt is answered"); r.State != reply.Done {
					t.Errorf("first: state %q, want done", r.State)
				}
				if n := len(fx.arrived); n != 0 {
					t.Errorf("%d more requests reached the target", n)
				}
			})
		}
	}
}

// shortDeadline is the time to the deadline of an attempt that a test lets
// expire.
const shortDeadline = 10 * clock.Second
