package outbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// TestGuardFaults checks the outcome that a caller receives when the answer of a
// guard is damaged, belongs to another attempt or is lost. Each fault hits only
// the first attempt. The guards' replies to status queries vary by case, and
// further attempts succeed.
func TestGuardFaults(t *testing.T) {
	withChange := func(change func(*reply.Reply)) func(guardRequest) {
		return func(q guardRequest) { q.answer(reply.Done, change) }
	}
	withReply := func(text string) func(guardRequest) {
		return func(q guardRequest) {
			q.answer(reply.Done, nil)
			q.Response.Header.Set(header.Reply, text)
		}
	}
	faults := map[string]func(guardRequest){
		"another attempt's answer":     withChange(func(r *reply.Reply) { r.Attempt = "another" }),
		"digest of other content":      withChange(func(r *reply.Reply) { r.Digest++ }),
		"no reply header":              withReply(""),
		"garbage reply header":         withReply("a;b;c"),
		"reply with a negative number": withReply("a;done;-1;0;0.0;0;0;0;0;false;0;0"),
		"connection reset":             guardRequest.disconnect,
		"status changed":               func(q guardRequest) { q.answer(reply.Done, nil); q.SetStatusCode(201) },
		"body changed":                 func(q guardRequest) { q.answer(reply.Done, nil); q.SetBodyString("crossed") },
		"answer without its end": func(q guardRequest) {
			q.answer(reply.Done, nil)
			q.Response.Header.SetContentLength(1000)
			q.Response.SkipBody = true
			q.SetConnectionClose()
		},
	}
	queries := map[string]struct {
		ask reply.State
		// read and pay are the outcomes of an idempotent and of a
		// non-idempotent call.
		read, pay string
		// runs is the number of attempts of the idempotent call.
		runs int
	}{
		"fenced": {
			ask:  reply.NotRun,
			read: header.Done,
			pay:  header.NotRun,
			runs: 2,
		},
		"ran": {
			ask:  reply.Done,
			read: header.Done,
			pay:  header.Done,
			runs: 1,
		},
		"not known": {
			ask:  reply.Unknown,
			read: header.Done,
			pay:  header.Unknown,
			runs: 2,
		},
		"ended": {
			ask:  reply.Ended,
			read: header.Done,
			pay:  header.Unknown,
			runs: 2,
		},
	}
	for name, fault := range faults {
		for query, tt := range queries {
			t.Run(name+", "+query, func(t *testing.T) {
				w := newFixture(t, nil)
				// The scripted replies to queries are true only of the first
				// attempt, so no late other attempt may be queried.
				w.server.cfg.MinQueryDelay = clock.FromDuration(eventTimeout)
				w.script = func(q guardRequest) {
					switch {
					case q.kind == "run" && w.requestCount("run") == 1:
						fault(q)
					case q.kind == "ask":
						q.answer(tt.ask, nil)
					default:
						q.answer(reply.Done, nil)
					}
				}
				resp := w.call("shop/read", nil)
				if got := outcomeOf(resp); got != tt.read {
					t.Errorf("idempotent: outcome %q, want %q; body %s", got, tt.read, resp.Body())
				}
				if body := string(resp.Body()); tt.read == header.Done && body != "answer of shop-1" && body != "answer of shop-2" {
					t.Errorf("idempotent: body %q is not a complete answer", body)
				}
				if n := w.requestCount("run"); n != tt.runs {
					t.Errorf("idempotent: %d attempts, want %d", n, tt.runs)
				}
				w.resetCounts()
				resp = w.call("shop/pay", map[string]string{
					header.Ticket: w.ticketFor("shop-1"),
				})
				if got := outcomeOf(resp); got != tt.pay {
					t.Errorf("on a ticket: outcome %q, want %q; body %s", got, tt.pay, resp.Body())
				}
				if n := w.requestCount("run"); n != 1 {
					t.Errorf("on a ticket: %d attempts, want 1", n)
				}
			})
		}
	}
}

// TestUnreachable checks that a call to unreachable daemons is not-run only if no
// other daemon can have sent the same request before.
func TestUnreachable(t *testing.T) {
	tests := map[string]struct {
		refuse []string
		path   string
		ticket bool
		want   string
	}{
		"one of two": {
			refuse: []string{"shop-1"},
			path:   "shop/read",
			want:   header.Done,
		},
		"both": {
			refuse: []string{"shop-1", "shop-2"},
			path:   "shop/read",
			want:   header.NotRun,
		},
		"both, before there is a ticket": {
			refuse: []string{"shop-1", "shop-2"},
			path:   "shop/pay",
			want:   header.NotRun,
		},
		"both, on a ticket": {
			refuse: []string{"shop-1", "shop-2"},
			path:   "shop/pay",
			ticket: true,
			want:   header.Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(q guardRequest) { q.answer(reply.Done, nil) })
			for _, target := range tt.refuse {
				w.refuseConnections(target)
			}
			fields := map[string]string{}
			if tt.ticket {
				fields[header.Ticket] = w.ticketFor("shop-1")
			}
			resp := w.call(tt.path, fields)
			if got := outcomeOf(resp); got != tt.want {
				t.Errorf("outcome %q, want %q; body %s", got, tt.want, resp.Body())
			}
		})
	}
}

// TestPassedOn checks which header fields are forwarded to the guard and to the
// caller.
func TestPassedOn(t *testing.T) {
	w := newFixture(t, func(q guardRequest) {
		for _, name := range []string{header.Ticket, header.Outcome, header.Attempt, header.ID, "X-Own"} {
			q.Response.Header.Set(name, "of the target")
		}
		q.answer(reply.Done, nil)
		for name, value := range q.Request.Header.All() {
			switch string(name) {
			case fasthttp.HeaderAuthorization, header.Context, header.Deadline, header.Importance, header.Reply, header.Ticket:
				t.Errorf("%s: %s was sent to the guard", name, value)
			}
		}
	})
	resp := w.call("shop/read", map[string]string{
		header.Importance: "spare",
		header.Deadline:   "9000",
		header.Reply:      "forged",
	})
	want := map[string]string{
		"X-Own":        "of the target",
		header.Outcome: header.Done,
		header.Ticket:  "",
		header.Attempt: "",
		header.Reply:   "",
	}
	for name, value := range want {
		if got := string(resp.Header.Peek(name)); got != value {
			t.Errorf("%s: %q, want %q", name, got, value)
		}
	}
	if got := string(resp.Header.Peek(header.ID)); got == "" || got == "of the target" {
		t.Errorf("%s: %q, want the request's", header.ID, got)
	}
}

// TestProblemOfGuard checks that a guard's refusal reaches the caller as a failure
// with the outcome not-run, even if the guard's body is not a valid problem.
func TestProblemOfGuard(t *testing.T) {
	bodies := map[string]string{
		"no JSON":              "oops",
		"no status":            "{}",
		"status of success":    `{"title":"x","status":200,"outcome":"done"}`,
		"status out of bounds": `{"title":"x","status":7}`,
		"outcome of its own":   `{"title":"x","status":503,"outcome":"done"}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(q guardRequest) {
				q.answer(reply.NotRun, nil)
				q.SetBodyString(body)
				q.updateDigest()
			})
			resp := w.call("shop/read", nil)
			if resp.StatusCode() < 400 || resp.StatusCode() > 599 || outcomeOf(resp) != header.NotRun {
				t.Errorf("status %d, outcome %q, want a failure and not-run", resp.StatusCode(), outcomeOf(resp))
			}
		})
	}
}
