package outbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/header"
)

// ticketFor returns a sealed ticket for shop/pay at the named target.
func (w *fixture) ticketFor(target string) string {
	w.t.Helper()
	sealed, err := w.server.cfg.Tickets.Seal(ticket.Ticket{
		ID:          "a-request-id-of-22-chars",
		Caller:      "armor",
		Path:        "shop/pay",
		Target:      target,
		Addr:        "127.0.0.9:7001",
		Root:        "root",
		Incarnation: 1,
		Generation:  1,
		Window:      60_000,
	})
	if err != nil {
		w.t.Fatalf("seal a ticket: %v", err)
	}
	return sealed
}

// TestSuccessorsOfReplacedTarget checks that the outcomes that a stopped daemon
// handed over are still found after the rules no longer list its target.
func TestSuccessorsOfReplacedTarget(t *testing.T) {
	w := newFixture(t, func(q guardRequest) {
		if q.kind == "ask" {
			q.answer(reply.Done, nil)
			return
		}
		t.Errorf("%s was sent to %s", q.kind, q.hop.Target)
	})
	resp := w.call("shop/pay", map[string]string{
		header.Ticket: w.ticketFor("shop-0"),
	})
	if outcomeOf(resp) != header.Done {
		t.Errorf("outcome %q, body %s, want done", outcomeOf(resp), resp.Body())
	}
}

// TestOutcome checks the answer to a caller's outcome query, whose ticket names
// the target shop-1.
func TestOutcome(t *testing.T) {
	answers := func(state reply.State, change func(*reply.Reply)) func(guardRequest) {
		return func(q guardRequest) { q.answer(state, change) }
	}
	another := func(r *reply.Reply) { r.Stamp.Incarnation = 2 }
	tests := map[string]struct {
		// guard serves the queries to the ticket's target, successor those to
		// the other target.
		guard, successor func(guardRequest)
		sealed           string
		secret           string
		want             string
		status           int
	}{
		"done": {
			guard:  answers(reply.Done, nil),
			want:   header.Done,
			status: 200,
		},
		"never seen": {
			guard:  answers(reply.NotRun, nil),
			want:   header.NotRun,
			status: 503,
		},
		"running": {
			guard:  answers(reply.Running, nil),
			want:   header.Unknown,
			status: 503,
		},
		"cut": {
			guard:     answers(reply.Unknown, nil),
			successor: func(guardRequest) { t.Error("a successor was queried although the incarnation still runs") },
			want:      header.Unknown,
			status:    503,
		},
		"another incarnation, and the successor has the answer": {
			guard:     answers(reply.Unknown, another),
			successor: answers(reply.Done, nil),
			want:      header.Done,
			status:    200,
		},
		"another incarnation, and the successor has proof of not-run": {
			guard:     answers(reply.Unknown, another),
			successor: answers(reply.NotRun, nil),
			want:      header.NotRun,
			status:    503,
		},
		"another incarnation, and no daemon has the outcome": {
			guard:     answers(reply.Unknown, another),
			successor: answers(reply.Unknown, nil),
			want:      header.Unknown,
			status:    504,
		},
		"guard resets the connection": {
			guard:     guardRequest.disconnect,
			successor: answers(reply.Unknown, nil),
			want:      header.Unknown,
			status:    504,
		},
		"forged ticket": {
			sealed: "AAAA",
			want:   header.Unknown,
			status: 403,
		},
		"no caller": {
			secret: "guess",
			want:   header.Unknown,
			status: 401,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(q guardRequest) {
				if q.kind != "ask" {
					t.Errorf("%s was sent", q.kind)
				}
				if q.hop.Target == "shop-1" {
					tt.guard(q)
					return
				}
				tt.successor(q)
			})
			sealed := tt.sealed
			if sealed == "" {
				sealed = w.ticketFor("shop-1")
			}
			resp := w.queryOutcome(sealed, tt.secret)
			if got := outcomeOf(resp); got != tt.want || resp.StatusCode() != tt.status {
				t.Errorf("outcome %q, status %d, want %q, %d; body %s", got, resp.StatusCode(), tt.want, tt.status, resp.Body())
			}
		})
	}
}

// queryOutcome makes a caller's outcome query for the ticket. An empty secret
// stands for the valid one.
func (w *fixture) queryOutcome(sealed, secret string) *fasthttp.Response {
	if secret == "" {
		secret = testSecret
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI(outcomePath)
	ctx.Request.Header.Set(header.Ticket, sealed)
	ctx.Request.Header.Set(fasthttp.HeaderAuthorization, bearer+secret)
	w.server.Handler(ctx)
	return &ctx.Response
}

// TestStampOnSilentConnection checks that a ticket is offered although the pooled
// connection to the guard no longer delivers anything.
func TestStampOnSilentConnection(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	w := newFixture(t, nil)
	w.script = func(q guardRequest) {
		if q.kind == "stamp" && w.requestCount("stamp") == 1 {
			<-done
		}
		q.answer(reply.Ended, nil)
	}
	resp := w.call("shop/pay", nil)
	if resp.StatusCode() != fasthttp.StatusPreconditionRequired || len(resp.Header.Peek(header.Ticket)) == 0 {
		t.Errorf("status %d, body %s, want a ticket", resp.StatusCode(), resp.Body())
	}
}
