package flow

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// testLimiter is the limiter of a daemon that is alone and its own lender. The account
// "hut" may make 20 requests a second.
type testLimiter struct {
	*limiter
	fake *clock.Fake
	view *model.View

	mu      sync.Mutex
	results map[string]int
	// hold is called before an answer of the lender counts.
	hold func()
}

func newTestLimiter(t *testing.T) *testLimiter {
	t.Helper()
	accounts, err := acct.New([]acct.Entry{
		{
			Account: acct.Account{
				Name: "hut",
				Rate: 20,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	l := &testLimiter{
		fake:    clock.NewFake(clock.Second),
		results: make(map[string]int),
		hold:    func() {},
		view: &model.View{
			Config: &model.Config{
				Version:  1,
				Accounts: accounts,
			},
			Fleet: model.Fleet{
				Loaded: true,
				Targets: map[string]model.Target{
					"t": {
						ID:   "t",
						Addr: "127.0.0.1:1",
					},
				},
			},
		},
	}
	cfg := Config{
		Clock: l.fake.Clock(),
		View:  func() *model.View { return l.view },
		Log:   zap.NewNop(),
		Self: Self{
			TargetAddr: "127.0.0.1:1",
		},
		Metrics: Metrics{
			Quota: func(result string) {
				l.hold()
				l.mu.Lock()
				defer l.mu.Unlock()
				l.results[result]++
			},
		},
		Quota: quota.Bounds{
			Window: 5 * clock.Second,
			Over:   0.25,
			Slack:  20,
		},
		Incarnation: 1,
	}.withDefaults()
	l.limiter = newLimiter(&cfg, nil)
	return l
}

// pass lets time pass, in which the limiter sends what is due.
func (l *testLimiter) pass(d clock.Milli) {
	l.refreshAccounts(l.view.Config)
	for ; d > 0; d -= 50 {
		l.fake.Advance(50)
		for _, o := range l.due(l.view) {
			l.exchange(&o)
		}
	}
}

// countWaiting returns the number of requests that wait for tokens.
func (l *testLimiter) countWaiting() int {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	return len(l.lines["hut"].waiting)
}

// takeMany takes tokens for n requests at once and returns how many got one.
func (l *testLimiter) takeMany(t *testing.T, n int) int {
	t.Helper()
	verdicts := make(chan quota.Verdict, n)
	for range n {
		go func() { verdicts <- l.take(t.Context(), l.view, "hut").Verdict }()
	}
	ran := 0
	for range n {
		switch v := <-verdicts; v {
		case quota.Run:
			ran++
		case quota.Limited:
		case quota.Wait, quota.Unreached:
			t.Errorf("verdict %d", v)
		}
	}
	return ran
}

// Guards against requests that spend a token twice or wait for nothing, and against a
// message for each of many requests that wait.
func TestRequestsShareTokensAndMessages(t *testing.T) {
	l := newTestLimiter(t)
	l.pass(10 * clock.Second)
	before := l.results[quotaAnswered]
	l.hold = func() {
		for l.countWaiting() < 200 {
			time.Sleep(time.Millisecond)
		}
		l.hold = func() {}
	}
	if got := l.takeMany(t, 200); got != 20 {
		t.Errorf("%d requests ran, want 20", got)
	}
	if sent := l.results[quotaAnswered] - before; sent > 2 {
		t.Errorf("%d messages for 200 requests, want that of the first and one of the others at most", sent)
	}
	l.pass(500 * clock.Millisecond)
	if got := l.takeMany(t, 200); got < 9 || got > 11 {
		t.Errorf("%d requests ran half a second later, want about 10", got)
	}
}

// Guards against requests that count towards a limit and should not.
func TestNeedsToken(t *testing.T) {
	limited := identity{
		account: &acct.Account{
			Rate: 1,
		},
	}
	call := limited
	call.isCall = true
	tests := map[string]struct {
		who  identity
		span clock.Milli
		want bool
	}{
		"account with a limit": {
			who:  limited,
			span: clock.Second,
			want: true,
		},
		"call of a target": {
			who:  call,
			span: clock.Second,
		},
		"account without a limit": {
			who: identity{
				account: &acct.Account{},
			},
			span: clock.Second,
		},
		"public route": {
			span: clock.Second,
		},
		"no bounds in the settings": {
			who: limited,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := &Outbound{}
			o.cfg.Quota.Window = tt.span
			if got := o.needsToken(tt.who); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a daemon that answers 503 because it has not looked for lenders yet.
func TestRequestBeforeTheFirstTick(t *testing.T) {
	l := newTestLimiter(t)
	if d := l.take(t.Context(), l.view, "hut"); d.Verdict != quota.Run {
		t.Errorf("verdict %d, want the token of the initial share", d.Verdict)
	}
}

// Guards against the loss of the token of a request that did not run.
func TestTokenOfARequestThatDidNotRunIsUsedAgain(t *testing.T) {
	l := newTestLimiter(t)
	l.pass(10 * clock.Second)
	d := l.take(t.Context(), l.view, "hut")
	if l.takeMany(t, 50) != 19 {
		t.Fatal("want 19 tokens after the first")
	}
	l.release("hut", d.Until)
	if got := l.takeMany(t, 50); got != 1 {
		t.Errorf("%d requests ran, want 1", got)
	}
	l.pass(200 * clock.Millisecond)
	l.release("hut", d.Until-clock.Second)
	l.pass(50 * clock.Millisecond)
	if got := l.takeMany(t, 50); got < 5 || got > 6 {
		t.Errorf("%d requests ran, want 5 and the one that was given back late", got)
	}
}

// Guards against nonsense that has an effect or is not counted, and against a lender
// that lends while it stops.
func TestQuotaMessagesFromOutside(t *testing.T) {
	l := newTestLimiter(t)
	l.pass(10 * clock.Second)
	n := newTestInbound(zap.NewNop())
	n.OnQuota = l.handle
	ask := func(value string) guard.Answer {
		return n.Handle(context.Background(), &http1.Request{
			Fields: []guard.Field{
				{
					Name:  peer.HeaderQuota,
					Value: value,
				},
			},
		}).Answer
	}
	a, _ := quota.NewTable(quota.Bounds{}, limitsOf(l.view.Config)).Account("hut")
	m := quota.Message{
		Sender:  7,
		Seq:     1,
		Members: 1,
		Account: a.Hash,
		Want:    5,
	}
	got := ask(peer.FormatQuota(&m))
	if lent, err := peer.ParseLent(http1.Get(got.Fields, peer.HeaderQuota)); got.Status != 200 || err != nil || lent != 5 {
		t.Errorf("status %d, lent %d and %v, want 200 and 5", got.Status, lent, err)
	}
	for _, value := range []string{peer.FormatQuota(&m), "nonsense", "1,0,1,,0,0,0"} {
		if got := ask(value); got.Status != 400 {
			t.Errorf("%q: status %d, want 400", value, got.Status)
		}
	}
	if l.results[quotaRefused] != 3 {
		t.Errorf("%d messages counted as refused, want 3", l.results[quotaRefused])
	}
	n.Drain()
	m.Seq = 2
	if got := ask(peer.FormatQuota(&m)); got.Status != 503 {
		t.Errorf("status %d while the daemon stops, want 503", got.Status)
	}
}

// Guards against allocations for each request whose token is at hand.
func TestTakeAllocatesNothing(t *testing.T) {
	l := newTestLimiter(t)
	l.pass(10 * clock.Second)
	d := l.take(t.Context(), l.view, "hut")
	if n := testing.AllocsPerRun(100, func() {
		l.release("hut", d.Until)
		d = l.take(t.Context(), l.view, "hut")
	}); n > 0 || d.Verdict != quota.Run {
		t.Errorf("%v allocations, verdict %d", n, d.Verdict)
	}
}
