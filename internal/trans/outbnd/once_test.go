package outbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/header"
)

// ticketFor seals a ticket for shop/pay at the named target.
func (w *world) ticketFor(target string) string {
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

// TestSuccessorsOfReplacedTarget checks that the outcomes of a daemon which stopped as
// planned are found after its host has left the inventory.
func TestSuccessorsOfReplacedTarget(t *testing.T) {
	w := newWorld(t, func(q question) {
		if q.word == "ask" {
			q.answer(reply.Done, nil)
			return
		}
		t.Errorf("%s was sent to %s", q.word, q.hop.Target)
	})
	resp := w.call("shop/pay", map[string]string{
		header.Ticket: w.ticketFor("shop-0"),
	})
	if outcomeOf(resp) != header.Done {
		t.Errorf("outcome %q, body %s, want done", outcomeOf(resp), resp.Body())
	}
}

// TestOutcome checks what a caller is told that asks about a ticket.
func TestOutcome(t *testing.T) {
	answers := func(state reply.State, change func(*reply.Reply)) func(question) {
		return func(q question) { q.answer(state, change) }
	}
	another := func(r *reply.Reply) { r.Stamp.Incarnation = 2 }
	tests := map[string]struct {
		// guard and heir answer for the ticket's target and for others.
		guard, heir func(question)
		sealed      string
		secret      string
		want        string
		status      int
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
			guard:  answers(reply.Unknown, nil),
			heir:   func(question) { t.Error("an heir was asked about a run that still is") },
			want:   header.Unknown,
			status: 503,
		},
		"another run, and the heir knows": {
			guard:  answers(reply.Unknown, another),
			heir:   answers(reply.Done, nil),
			want:   header.Done,
			status: 200,
		},
		"another run, and the heir has proof": {
			guard:  answers(reply.Unknown, another),
			heir:   answers(reply.NotRun, nil),
			want:   header.NotRun,
			status: 503,
		},
		"another run, and nobody knows": {
			guard:  answers(reply.Unknown, another),
			heir:   answers(reply.Unknown, nil),
			want:   header.Unknown,
			status: 504,
		},
		"guard cuts": {
			guard:  question.cut,
			heir:   answers(reply.Unknown, nil),
			want:   header.Unknown,
			status: 504,
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
			w := newWorld(t, func(q question) {
				if q.word != "ask" {
					t.Errorf("%s was sent", q.word)
				}
				if q.hop.Target == "shop-1" {
					tt.guard(q)
					return
				}
				tt.heir(q)
			})
			sealed := tt.sealed
			if sealed == "" {
				sealed = w.ticketFor("shop-1")
			}
			resp := w.ask(sealed, tt.secret)
			if got := outcomeOf(resp); got != tt.want || resp.StatusCode() != tt.status {
				t.Errorf("outcome %q, status %d, want %q, %d; body %s", got, resp.StatusCode(), tt.want, tt.status, resp.Body())
			}
		})
	}
}

// ask asks from outside what became of the request on a ticket.
func (w *world) ask(sealed, secret string) *fasthttp.Response {
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

// TestStampOnSilentConnection checks that a ticket can be had although the kept
// connection to the guard has gone silent.
func TestStampOnSilentConnection(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	w := newWorld(t, nil)
	w.script = func(q question) {
		if q.word == "stamp" && w.counted("stamp") == 1 {
			<-done
		}
		q.answer(reply.Ended, nil)
	}
	resp := w.call("shop/pay", nil)
	if resp.StatusCode() != fasthttp.StatusPreconditionRequired || len(resp.Header.Peek(header.Ticket)) == 0 {
		t.Errorf("status %d, body %s, want a ticket", resp.StatusCode(), resp.Body())
	}
}
