package inbnd

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	self        = "shop-1"
	incarnation = 5
	// brokenWait bounds what only a broken test waits for.
	brokenWait = 10 * time.Second
	// largest bounds a kept answer, in bytes.
	largest = 1000
)

var testKey = []byte("0123456789abcdef")

// world is an inbound side with one slot in front of a scripted target.
type world struct {
	t       testing.TB
	server  *Server
	tickets *ticket.Keys
	target  *fasthttputil.InmemoryListener
	// arrived delivers the path of each message that reaches the target.
	arrived chan string
	next    int
	script  fasthttp.RequestHandler
}

// serve replaces the script before the first message.
func (w *world) serve(script fasthttp.RequestHandler) { w.script = script }

// newWorld returns a world whose target serves by the script.
func newWorld(t testing.TB, c clock.Clock, script fasthttp.RequestHandler) *world {
	t.Helper()
	w := &world{
		t:       t,
		script:  script,
		target:  fasthttputil.NewInmemoryListener(),
		arrived: make(chan string, 64),
	}
	s := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			w.arrived <- string(ctx.Method()) + " " + string(ctx.Path())
			w.script(ctx)
		},
		Logger: zap.NewStdLog(zap.NewNop()),
	}
	go func() { _ = s.Serve(w.target) }()
	t.Cleanup(func() { _ = w.target.Close() })
	set, err := rules.New(document(), "digest")
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	if w.tickets, err = ticket.NewKeys(testKey); err != nil {
		t.Fatalf("keys: %v", err)
	}
	cell := view.NewCell()
	cell.Store(&view.View{
		Rules: set,
		Ready: true,
	})
	w.server = New(Config{
		Self:    self,
		Target:  "127.0.0.1:80",
		Clock:   c,
		Keys:    [][]byte{testKey},
		Tickets: w.tickets,
		View:    cell,
		Guard: guard.New(guard.Config{
			MaxAnswerBytes: largest,
			Target:         self,
			Incarnation:    incarnation,
			Now:            c.Now(),
		}),
		Handovers: guard.NewHandoverStore(guard.HandoverStoreConfig{}),
		Gate: admit.Config{
			Slots: 1,
			Conns: 4,
		},
		Chains: chain.NewTable(),
		Routes: route.New(route.Config{}, c.Now()),
		Pool: pool.New(pool.Config{
			Conns:       4,
			IdleTimeout: clock.Minute,
			DialTimeout: clock.Second,
			MaxBody:     10_000,
			Connect: func(string, time.Duration) (net.Conn, error) {
				return w.target.Dial()
			},
		}),
		RequestLog: reqlog.NewRing(16),
		Metrics: Metrics{
			Answered:  func(Answered) {},
			Cancelled: func() {},
		},
		Log: zap.NewNop(),
	})
	return w
}

func document() rules.Document {
	doc := rules.Document{
		Version: 1,
		Author:  "tests",
		Reason:  "tests",
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1"},
			},
		},
		Services: []rules.Service{
			{
				Name:  "shop",
				Owner: "tests",
				Operations: []rules.Operation{
					{
						Name:       "read",
						Importance: rules.Normal,
						Deadline:   20 * clock.Second,
					},
					{
						Name:       "pay",
						Importance: rules.Normal,
						AtMostOnce: true,
						Deadline:   20 * clock.Second,
					},
				},
				Instances: []rules.Instance{
					{
						Name:     self,
						Place:    "west/w1",
						Host:     "127.0.0.1",
						Inbound:  7001,
						Outbound: 7002,
						Control:  7003,
						Operator: 7004,
						Slots:    1,
						Conns:    4,
					},
				},
			},
		},
	}
	return doc
}

// request returns the request of an attempt, for its digest.
func request(path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("/" + path)
	req.Header.SetHost("daemon")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("body")
	return req
}

// attempt returns the hop of a new attempt at an operation.
func (w *world) attempt(path string) hop.Hop {
	w.next++
	return hop.Hop{
		Attempt:     "attempt-" + strconv.Itoa(w.next),
		ID:          "id",
		Root:        "root",
		Target:      self,
		Path:        "shop/" + path,
		Caller:      "armor",
		Importance:  rules.Normal,
		Remaining:   20 * clock.Second,
		RetryUnits:  3,
		Incarnation: incarnation,
		Digest:      outbnd.RequestDigest(request("shop/" + path)),
	}
}

// onTicket returns the hop of a new attempt on one ticket for the target.
func (w *world) onTicket(target string) hop.Hop {
	const id = "a"
	w.t.Helper()
	h := w.attempt("pay")
	sealed, err := w.tickets.Seal(ticket.Ticket{
		ID:          id,
		Caller:      h.Caller,
		Path:        h.Path,
		Target:      target,
		Addr:        "127.0.0.1:7001",
		Root:        "root",
		Incarnation: incarnation,
		Generation:  1,
		Window:      clock.Minute,
	})
	if err != nil {
		w.t.Fatalf("seal a ticket: %v", err)
	}
	h.ID = id
	h.Ticket = sealed
	return h
}

// send brings a message about h under the key and returns the answer and what
// the reply header says.
func (w *world) send(method, path string, h hop.Hop, key []byte) (*fasthttp.Response, reply.Reply) {
	w.t.Helper()
	sealed, err := hop.NewKeys([][]byte{key}).Seal(h)
	if err != nil {
		w.t.Errorf("seal: %v", err)
	}
	ctx := &fasthttp.RequestCtx{}
	request(path).CopyTo(&ctx.Request)
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.Set(header.Hop, sealed)
	w.server.Handler(ctx)
	r, err := reply.Parse(string(ctx.Response.Header.Peek(header.Reply)))
	if err != nil {
		w.t.Errorf("%s %s: reply: %v", method, path, err)
	}
	return &ctx.Response, r
}

// run makes an attempt.
func (w *world) run(h hop.Hop) (*fasthttp.Response, reply.Reply) {
	return w.send(fasthttp.MethodPost, h.Path, h, testKey)
}

// ask asks what became of an attempt.
func (w *world) ask(h hop.Hop) (*fasthttp.Response, reply.Reply) {
	return w.send(fasthttp.MethodGet, "outcome", h, testKey)
}

// giveUp cancels an attempt.
func (w *world) giveUp(h hop.Hop) {
	w.send(fasthttp.MethodDelete, "outcome", h, testKey)
}

// start makes an attempt and returns without its reply.
func (w *world) start(h hop.Hop) <-chan reply.Reply {
	ch := make(chan reply.Reply, 1)
	go func() {
		_, r := w.run(h)
		ch <- r
	}()
	return ch
}

// await waits for the next message at the target.
func (w *world) await() {
	w.t.Helper()
	receive(w.t, w.arrived, "a message reaches the target")
}

// receive waits for an event.
func receive[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	var none T
	select {
	case v := <-ch:
		return v
	case <-time.After(brokenWait):
		t.Errorf("waited in vain until %s", what)
		return none
	}
}
