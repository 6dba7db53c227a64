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
	// patience is short, so that the side soon asks about an attempt.
	patience = 5 * clock.Millisecond
	// brokenWait bounds what only a broken test waits for.
	brokenWait = 10 * time.Second
	// quietWait is the time that messages under way are given.
	quietWait = 50 * time.Millisecond
)

var testKey = []byte("0123456789abcdef")

// question is one message to a guard: an attempt or a question about one.
type question struct {
	*fasthttp.RequestCtx
	hop hop.Hop
	// word is "run", "ask", "cancel" or "stamp".
	word string
	// nth counts the messages with this word to this guard, from 1.
	nth int
}

// answer replies as a guard of the first incarnation does.
func (q question) answer(state reply.State, change func(*reply.Reply)) {
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

// cut ends the connection without an answer.
func (q question) cut() {
	q.HijackSetNoResponse(true)
	q.Hijack(func(net.Conn) {})
}

// world is an outbound side in front of scripted guards, in one process.
type world struct {
	t      testing.TB
	server *Server
	set    *rules.Set
	script func(q question)

	mu        sync.Mutex
	listeners map[string]*fasthttputil.InmemoryListener
	count     map[string]int
}

// newWorld returns a world of the targets shop-1 and shop-2 whose guards all
// follow the script.
func newWorld(t testing.TB, script func(q question)) *world {
	t.Helper()
	w := &world{
		t:         t,
		script:    script,
		listeners: make(map[string]*fasthttputil.InmemoryListener),
		count:     make(map[string]int),
	}
	set, err := rules.New(document(), "digest")
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
		MinQueryDelay: patience,
		Nonce:         7,
	})
	return w
}

func document() rules.Document {
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

func (w *world) listen(target *rules.Target) {
	ln := fasthttputil.NewInmemoryListener()
	w.listeners[addrOf(target)] = ln
	s := &fasthttp.Server{
		Handler: w.guard(target.Name),
	}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = ln.Close() })
}

// close makes all guards unreachable.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ln := range w.listeners {
		_ = ln.Close()
	}
}

// countAttempts returns a counter of the attempts that the side begins.
func (w *world) countAttempts() *atomic.Int64 {
	n := new(atomic.Int64)
	w.server.cfg.Metrics.Attempts = func() { n.Add(1) }
	return n
}

// guard serves the port of one guard by the script.
func (w *world) guard(name string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h, err := w.server.keys.Open(string(ctx.Request.Header.Peek(header.Hop)))
		if err != nil || h.Target != name {
			w.t.Errorf("guard of %s: hop for %q, %v", name, h.Target, err)
		}
		word := "run"
		switch {
		case string(ctx.Path()) == stampPath:
			word = "stamp"
		case string(ctx.Path()) == outcomePath && ctx.IsDelete():
			word = "cancel"
		case string(ctx.Path()) == outcomePath:
			word = "ask"
		}
		w.mu.Lock()
		w.count[name+" "+word]++
		w.count[word]++
		nth := w.count[name+" "+word]
		w.mu.Unlock()
		w.script(question{
			RequestCtx: ctx,
			hop:        h,
			word:       word,
			nth:        nth,
		})
	}
}

// counted returns how often a word was sent, to one guard ("name word") or to
// all ("word").
func (w *world) counted(word string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count[word]
}

func (w *world) connect(addr string, _ time.Duration) (net.Conn, error) {
	w.mu.Lock()
	ln := w.listeners[addr]
	w.mu.Unlock()
	if ln == nil {
		return nil, net.ErrClosed
	}
	return ln.Dial()
}

// refuse makes the guard of a target refuse connections.
func (w *world) refuse(name string) {
	target, _ := w.set.Target(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.listeners, addrOf(target))
}

// settleLatency teaches the side that calls usually take about a millisecond.
func (w *world) settleLatency() {
	const path = "shop/read"
	op, _ := w.set.Op(path)
	now := w.server.cfg.Clock.Now()
	// The first choice makes the targets known.
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

// call makes one call from outside.
func (w *world) call(path string, fields map[string]string) *fasthttp.Response {
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

// quiet is closed after a while in which messages under way arrive. A test that
// uses it can miss a fault on a slow machine and never reports a false one.
func (w *world) quiet() <-chan struct{} {
	ch := make(chan struct{})
	time.AfterFunc(quietWait, func() { close(ch) })
	return ch
}

// receive waits for an event of the script.
func receive(t testing.TB, ch <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(brokenWait):
		t.Errorf("waited in vain until %s", what)
	}
}

// parent starts a request on the target beside the side and returns it with
// the header fields of its deeper calls.
func (w *world) parent(path string, units int) (*chain.Request, map[string]string) {
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

// leave withdraws a target.
func (w *world) leave(name string) {
	old := *w.server.cfg.View.Load()
	old.Members = map[string]view.Member{
		name: {
			Leaving: true,
		},
	}
	w.server.cfg.View.Store(&old)
}

// forget starts the counting of messages anew.
func (w *world) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.count)
}

// answerAgain makes the digest of the reply fit a changed body.
func (q question) answerAgain() {
	r, err := reply.Parse(string(q.Response.Header.Peek(header.Reply)))
	if err != nil {
		panic(err)
	}
	r.Digest = AnswerDigest(q.Response.StatusCode(), q.Response.Body())
	q.Response.Header.Set(header.Reply, r.String())
}
