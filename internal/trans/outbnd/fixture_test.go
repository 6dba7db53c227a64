package outbnd

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/hop"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/chain"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/pool"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

const (
	testSecret = "secret"
	// queryDelay is short, so that the server soon queries an attempt.
	queryDelay = 5 * clock.Millisecond
	// eventTimeout bounds the wait for an event; only a failing test reaches it.
	eventTimeout = 10 * time.Second
	// pauseTime is the time for messages in flight to arrive.
	pauseTime = 50 * time.Millisecond
)

var testKey = []byte("0123456789abcdef")

// guardRequest is one request to a guard: an attempt, its cancellation, a status
// query or a query for the stamp.
type guardRequest struct {
	*fasthttp.RequestCtx
	hop hop.Hop
	// kind is "run", "ask", "cancel" or "stamp".
	kind string
	// nth is the number of requests of this kind to this guard so far, from 1.
	nth int
}

// answer replies as a guard of incarnation 1 does. The function change may modify
// the reply, nil changes nothing.
func (q guardRequest) answer(state reply.State, change func(*reply.Reply)) {
	q.SetStatusCode(fasthttp.StatusOK)
	q.SetBodyString("answer of " + q.hop.Target)
	if state != reply.Done {
		q.SetStatusCode(fasthttp.StatusServiceUnavailable)
		q.SetBody(refuse.NotRun(fasthttp.StatusServiceUnavailable, refuse.Shed, "no").Encode())
	}
	r := reply.Reply{
		Attempt:    q.hop.Attempt,
		State:      state,
		RetryUnits: q.hop.RetryUnits,
		Digest:     AnswerDigest(q.Response.StatusCode(), q.Response.Body()),
		Stamp: ticket.Stamp{
			Incarnation: 1,
			Generation:  1,
		},
	}
	if change != nil {
		change(&r)
	}
	q.Response.Header.Set(header.Reply, r.String())
}

// disconnect closes the connection without an answer.
func (q guardRequest) disconnect() {
	q.HijackSetNoResponse(true)
	q.Hijack(func(net.Conn) {})
}

// fixture is a server in front of scripted guards in the same process.
type fixture struct {
	t      testing.TB
	server *Server
	set    *rules.Set
	script func(q guardRequest)

	mu        sync.Mutex
	listeners map[string]*fasthttputil.InmemoryListener
	count     map[string]int
}

// newFixture returns a fixture with the targets shop-1 and shop-2, whose guards
// both follow the script.
func newFixture(t testing.TB, script func(q guardRequest)) *fixture {
	t.Helper()
	w := &fixture{
		t:         t,
		script:    script,
		listeners: make(map[string]*fasthttputil.InmemoryListener),
		count:     make(map[string]int),
	}
	set, err := rules.New(testDocument(), "digest")
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	w.set = set
	for _, target := range set.Targets("shop") {
		w.listen(target)
	}
	tickets, err := ticket.NewKeys(testKey)
	if err != nil {
		t.Fatalf("keys: %v", err)
	}
	cell := view.NewCell()
	cell.Store(&view.View{
		Rules: set,
		Ready: true,
	})
	c := clock.System()
	w.server = New(Config{
		Self:    "shop-1",
		Clock:   c,
		Keys:    [][]byte{testKey},
		Tickets: tickets,
		View:    cell,
		Routes: route.New(route.Config{
			Region: "west",
			Centre: "w1",
			Ratio: retry.RatioConfig{
				PerThousand: 1000,
				Burst:       1000,
			},
		}, c.Now()),
		Chains: chain.NewTable(),
		Pool: pool.New(pool.Config{
			Conns:       64,
			IdleTimeout: clock.Minute,
			DialTimeout: clock.Second,
			MaxBody:     1 << 20,
			Connect:     w.connect,
		}),
		RequestLog: reqlog.NewRing(16),
		Metrics: Metrics{
			Answered: func(Answered) {},
			Attempts: func() {},
			Retries:  func() {},
			Hedges:   func() {},
			Resolved: func(string) {},
		},
		Log:           zap.NewNop(),
		Window:        clock.Minute,
		MinQueryDelay: queryDelay,
		Nonce:         7,
	})
	return w
}

func testDocument() rules.Document {
	sum := sha256.Sum256([]byte(testSecret))
	doc := rules.Document{
		Version:     1,
		Author:      "tests",
		Reason:      "tests",
		RetryBudget: 4,
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1"},
			},
		},
		Callers: []rules.Caller{
			{
				Name:    "armor",
				Secret:  hex.EncodeToString(sum[:]),
				Ceiling: rules.Vital,
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
						Hedge:      true,
					},
					{
						Name:       "order",
						Importance: rules.Normal,
						AtMostOnce: true,
						Deadline:   20 * clock.Second,
						Calls:      []string{"shop/pay"},
					},
					{
						Name:       "pay",
						Importance: rules.Vital,
						AtMostOnce: true,
						Deadline:   20 * clock.Second,
					},
					{
						Name:       "list",
						Importance: rules.Normal,
						Deadline:   20 * clock.Second,
						Calls:      []string{"shop/read"},
					},
					{
						Name:       "top",
						Importance: rules.Normal,
						Deadline:   20 * clock.Second,
						Calls:      []string{"shop/list"},
					},
				},
			},
		},
	}
	for i, name := range []string{"shop-1", "shop-2"} {
		doc.Services[0].Instances = append(doc.Services[0].Instances, rules.Instance{
			Name:     name,
			Place:    "west/w1",
			Host:     "127.0.0." + string(rune('1'+i)),
			Inbound:  7001,
			Outbound: 7002,
			Control:  7003,
			Operator: 7004,
			Slots:    8,
			Conns:    64,
		})
	}
	return doc
}

func (w *fixture) listen(target *rules.Target) {
	ln := fasthttputil.NewInmemoryListener()
	w.listeners[addrOf(target)] = ln
	s := &fasthttp.Server{
		Handler: w.guard(target.Name),
	}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = ln.Close() })
}

// close makes all guards unreachable.
func (w *fixture) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ln := range w.listeners {
		_ = ln.Close()
	}
}

// countAttempts returns a counter of the attempts that the server starts.
func (w *fixture) countAttempts() *atomic.Int64 {
	n := new(atomic.Int64)
	w.server.cfg.Metrics.Attempts = func() { n.Add(1) }
	return n
}

// guard returns the handler of one guard. It counts each request and passes it to
// the script.
func (w *fixture) guard(name string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h, err := w.server.keys.Open(string(ctx.Request.Header.Peek(header.Hop)))
		if err != nil || h.Target != name {
			w.t.Errorf("guard of %s received a hop for %q: %v", name, h.Target, err)
		}
		kind := "run"
		switch {
		case string(ctx.Path()) == stampPath:
			kind = "stamp"
		case string(ctx.Path()) == outcomePath && ctx.IsDelete():
			kind = "cancel"
		case string(ctx.Path()) == outcomePath:
			kind = "ask"
		}
		w.mu.Lock()
		w.count[name+" "+kind]++
		w.count[kind]++
		nth := w.count[name+" "+kind]
		w.mu.Unlock()
		w.script(guardRequest{
			RequestCtx: ctx,
			hop:        h,
			kind:       kind,
			nth:        nth,
		})
	}
}

// requestCount returns the number of requests of a kind to one guard ("name kind")
// or to all guards ("kind").
func (w *fixture) requestCount(kind string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count[kind]
}

func (w *fixture) connect(addr string, _ time.Duration) (net.Conn, error) {
	w.mu.Lock()
	ln := w.listeners[addr]
	w.mu.Unlock()
	if ln == nil {
		return nil, net.ErrClosed
	}
	return ln.Dial()
}

// refuseConnections makes the guard of a target refuse connections.
func (w *fixture) refuseConnections(name string) {
	target, _ := w.set.Target(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.listeners, addrOf(target))
}

// seedLatency records calls that took about a millisecond, so that the server
// knows a hedge delay.
func (w *fixture) seedLatency() {
	const path = "shop/read"
	op, _ := w.set.Op(path)
	now := w.server.cfg.Clock.Now()
	// The routing table knows a target only after the first choice.
	if _, err := w.server.cfg.Routes.Choose(now, w.server.cfg.View.Load(), "shop", pick.Query{
		Op: path,
	}); err != nil {
		w.t.Fatalf("choose: %v", err)
	}
	for range 64 {
		f := w.server.cfg.Routes.Started(now-1, op, "shop-1")
		w.server.cfg.Routes.Finished(now, op, f, pick.Done)
		w.server.cfg.Routes.Succeeded(now, "armor", "shop")
	}
}

// call makes one call. Without a context token among the fields it is a call from
// outside.
func (w *fixture) call(path string, fields map[string]string) *fasthttp.Response {
	w.t.Helper()
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/" + path)
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetBodyString("body")
	if fields[header.Context] == "" {
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, bearer+testSecret)
	}
	for name, value := range fields {
		ctx.Request.Header.Set(name, value)
	}
	w.server.Handler(ctx)
	return &ctx.Response
}

func outcomeOf(resp *fasthttp.Response) string {
	return string(resp.Header.Peek(header.Outcome))
}

// afterPause returns a channel that is closed after a pause in which messages in
// flight arrive. On a slow machine a test that uses it can miss a fault, but
// never reports a false one.
func (w *fixture) afterPause() <-chan struct{} {
	ch := make(chan struct{})
	time.AfterFunc(pauseTime, func() { close(ch) })
	return ch
}

// receiveEvent waits until ch is closed or delivers, and fails the test at
// eventTimeout.
func receiveEvent(t testing.TB, ch <-chan struct{}, event string) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(eventTimeout):
		t.Errorf("timed out waiting until %s", event)
	}
}

// addParent starts a request on the target beside the server. It returns the
// request and the header fields of its downstream calls.
func (w *fixture) addParent(path string, units int) (*chain.Request, map[string]string) {
	w.t.Helper()
	r, err := w.server.cfg.Chains.Add(chain.Context{
		Root:       "0123456789abcdef0123456789abcdef",
		Path:       path,
		Caller:     "armor",
		Importance: rules.Normal,
		Deadline:   w.server.cfg.Clock.Now() + 20*clock.Second,
	}, units)
	if err != nil {
		w.t.Fatalf("parent: %v", err)
	}
	return r, map[string]string{
		header.Context: r.Token,
	}
}

// markLeaving marks a target as leaving.
func (w *fixture) markLeaving(name string) {
	old := *w.server.cfg.View.Load()
	old.Members = map[string]view.Member{
		name: {
			Leaving: true,
		},
	}
	w.server.cfg.View.Store(&old)
}

// resetCounts sets all request counts to 0.
func (w *fixture) resetCounts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.count)
}

// updateDigest recomputes the digest of the reply after a change of the body.
func (q guardRequest) updateDigest() {
	r, err := reply.Parse(string(q.Response.Header.Peek(header.Reply)))
	if err != nil {
		panic(err)
	}
	r.Digest = AnswerDigest(q.Response.StatusCode(), q.Response.Body())
	q.Response.Header.Set(header.Reply, r.String())
}
