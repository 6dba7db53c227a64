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
	// eventTimeout bounds the wait for an event. It only passes if the test
	// fails.
	eventTimeout = 10 * time.Second
	// maxAnswerBytes bounds an answer that the guard keeps.
	maxAnswerBytes = 1000
)

var testKey = []byte("0123456789abcdef")

// fixture is a [Server] with one slot, in front of a target that answers by a
// script.
type fixture struct {
	t       testing.TB
	server  *Server
	tickets *ticket.Keys
	target  *fasthttputil.InmemoryListener
	// arrived receives the method and path of each request that reaches the
	// target.
	arrived chan string
	// attempts is the number of attempts made so far.
	attempts int
	script   fasthttp.RequestHandler
}

// setScript replaces the script. It must be called before the first request.
func (fx *fixture) setScript(script fasthttp.RequestHandler) { fx.script = script }

// newFixture returns a fixture whose target answers with script.
func newFixture(t testing.TB, c clock.Clock, script fasthttp.RequestHandler) *fixture {
	t.Helper()
	fx := &fixture{
		t:       t,
		script:  script,
		target:  fasthttputil.NewInmemoryListener(),
		arrived: make(chan string, 64),
	}
	s := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			fx.arrived <- string(ctx.Method()) + " " + string(ctx.Path())
			fx.script(ctx)
		},
		Logger: zap.NewStdLog(zap.NewNop()),
	}
	go func() { _ = s.Serve(fx.target) }()
	t.Cleanup(func() { _ = fx.target.Close() })
	ruleSet, err := rules.New(testDocument(), "digest")
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	if fx.tickets, err = ticket.NewKeys(testKey); err != nil {
		t.Fatalf("keys: %v", err)
	}
	cell := view.NewCell()
	cell.Store(&view.View{
		Rules: ruleSet,
		Ready: true,
	})
	fx.server = New(Config{
		Self:    self,
		Target:  "127.0.0.1:80",
		Clock:   c,
		Keys:    [][]byte{testKey},
		Tickets: fx.tickets,
		View:    cell,
		Guard: guard.New(guard.Config{
			MaxAnswerBytes: maxAnswerBytes,
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
				return fx.target.Dial()
			},
		}),
		RequestLog: reqlog.NewRing(16),
		Metrics: Metrics{
			Answered:  func(Answered) {},
			Cancelled: func() {},
		},
		Log: zap.NewNop(),
	})
	return fx
}

// testDocument returns rules with an idempotent operation, read, and a
// non-idempotent one, pay.
func testDocument() rules.Document {
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

// testRequest returns the request of each attempt at an operation.
func testRequest(path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("/" + path)
	req.Header.SetHost("daemon")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("body")
	return req
}

// attempt returns the hop of a new attempt at an operation of the service shop.
func (fx *fixture) attempt(path string) hop.Hop {
	fx.attempts++
	return hop.Hop{
		Attempt:     "attempt-" + strconv.Itoa(fx.attempts),
		ID:          "id",
		Root:        "root",
		Target:      self,
		Path:        "shop/" + path,
		Caller:      "armor",
		Importance:  rules.Normal,
		Remaining:   20 * clock.Second,
		RetryUnits:  3,
		Incarnation: incarnation,
		Digest:      outbnd.RequestDigest(testRequest("shop/" + path)),
	}
}

// attemptOnTicket returns the hop of a new non-idempotent attempt. All tickets
// for one target have the same id, so these are attempts of one request.
func (fx *fixture) attemptOnTicket(target string) hop.Hop {
	const id = "a"
	fx.t.Helper()
	h := fx.attempt("pay")
	sealed, err := fx.tickets.Seal(ticket.Ticket{
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
		fx.t.Fatalf("seal a ticket: %v", err)
	}
	h.ID = id
	h.Ticket = sealed
	return h
}

// send handles a request with the hop h, sealed under key, and returns the
// response and its reply header.
func (fx *fixture) send(method, path string, h hop.Hop, key []byte) (*fasthttp.Response, reply.Reply) {
	fx.t.Helper()
	sealed, err := hop.NewKeys([][]byte{key}).Seal(h)
	if err != nil {
		fx.t.Errorf("seal: %v", err)
	}
	ctx := &fasthttp.RequestCtx{}
	testRequest(path).CopyTo(&ctx.Request)
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.Set(header.Hop, sealed)
	fx.server.Handler(ctx)
	r, err := reply.Parse(string(ctx.Response.Header.Peek(header.Reply)))
	if err != nil {
		fx.t.Errorf("%s %s: reply: %v", method, path, err)
	}
	return &ctx.Response, r
}

// run makes an attempt and returns the response and its reply header.
func (fx *fixture) run(h hop.Hop) (*fasthttp.Response, reply.Reply) {
	return fx.send(fasthttp.MethodPost, h.Path, h, testKey)
}

// query queries the outcome of an attempt.
func (fx *fixture) query(h hop.Hop) (*fasthttp.Response, reply.Reply) {
	return fx.send(fasthttp.MethodGet, "outcome", h, testKey)
}

// cancel cancels an attempt.
func (fx *fixture) cancel(h hop.Hop) {
	fx.send(fasthttp.MethodDelete, "outcome", h, testKey)
}

// start makes an attempt in the background. The channel receives its reply
// header.
func (fx *fixture) start(h hop.Hop) <-chan reply.Reply {
	ch := make(chan reply.Reply, 1)
	go func() {
		_, r := fx.run(h)
		ch <- r
	}()
	return ch
}

// awaitArrival waits until the next request reaches the target.
func (fx *fixture) awaitArrival() {
	fx.t.Helper()
	receiveEvent(fx.t, fx.arrived, "a request reaches the target")
}

// receiveEvent waits for a value on ch. If none arrives in time, it fails the
// test and returns the zero value.
func receiveEvent[T any](t testing.TB, ch <-chan T, event string) T {
	t.Helper()
	var none T
	select {
	case v := <-ch:
		return v
	case <-time.After(eventTimeout):
		t.Errorf("timed out waiting until %s", event)
		return none
	}
}
