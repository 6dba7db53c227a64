package flow

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// testSide is the two sides of a daemon that nobody reaches.
type testSide struct {
	in  *Inbound
	out *Outbound
}

func newTestSide(c *clock.Fake, v *model.View) testSide {
	cfg := Config{
		Clock: c.Clock(),
		Headers: peer.Headers{
			ID: "Id",
		},
		View:        func() *model.View { return v },
		Log:         zap.NewNop(),
		RetryWindow: clock.Second,
	}
	in := NewInbound(cfg)
	return testSide{
		in:  in,
		out: NewOutbound(cfg, in),
	}
}

// accountsView returns a view of a configuration with the accounts, without any if there
// are no names.
func accountsView(t *testing.T, names ...string) *model.View {
	t.Helper()
	cfg := model.Config{
		Version: 1,
	}
	if len(names) > 0 {
		entries := make([]acct.Entry, 0, len(names))
		for _, name := range names {
			entries = append(entries, acct.Entry{
				Account: acct.Account{
					Name: name,
				},
				Keys: []string{name},
			})
		}
		accounts, err := acct.New(entries)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Accounts = accounts
	}
	return &model.View{
		Config: &cfg,
	}
}

var testRoute = &model.Route{
	Name: "r",
	Services: []model.WeightedService{
		{
			Service: "s",
			Weight:  1,
		},
	},
}

// enter returns the call for a caller's request of an account.
func (s testSide) enter(v *model.View, id, account string) *call {
	a, _ := v.Config.Accounts.ByName(account)
	return s.out.newCall(&http1.Request{
		Arrived: s.out.cfg.Clock.Now(),
	}, entry{
		id:    id,
		view:  v,
		route: testRoute,
		who: identity{
			account: a,
		},
	})
}

// Guards against a call that has another order than its request, also at a daemon that
// knows nothing of the accounts, and against an order that differs from the hash where
// no accounts are in force.
func TestOrderIsTheSameAtEachHop(t *testing.T) {
	c := clock.NewFake(clock.Second)
	with, none := accountsView(t, "calm", "hot"), accountsView(t)
	first, deep := newTestSide(c, with), newTestSide(c, none)
	var root *call
	for range 4000 {
		first.enter(with, "x", "hot")
		first.enter(with, "y", "hot")
		root = first.enter(with, "z", "calm")
		c.Advance(1)
	}
	if root.root == xxhash.Sum64String("z") {
		t.Error("the order of a calm account is the hash beside a hot one")
	}
	hop, err := peer.ParseHop(peer.Hop{
		Path:       root.route.Name,
		Importance: root.importance,
		RootHash:   root.root,
	}.String())
	if err != nil {
		t.Fatal(err)
	}
	parent := deep.in.addRunning("z", "calm", hop)
	child := deep.out.newCall(&http1.Request{}, entry{
		id:     "z.1",
		view:   none,
		route:  testRoute,
		parent: parent,
		who: identity{
			isCall: true,
		},
	})
	if child.root != root.root {
		t.Errorf("the call has the order %x, its request %x", child.root, root.root)
	}
	if got := deep.enter(none, "z", "").root; got != xxhash.Sum64String("z") {
		t.Errorf("without accounts the order is %x", got)
	}
}

// Guards against statements that are sent where no accounts are in force, that a
// caller makes up, or that the target gets to see.
func TestStatementsBetweenDaemons(t *testing.T) {
	c := clock.NewFake(clock.Second)
	with, none := accountsView(t, "calm", "hot"), accountsView(t)
	sender, receiver, old := newTestSide(c, with), newTestSide(c, with), newTestSide(c, none)
	for range 1000 {
		sender.enter(with, "x", "hot")
		c.Advance(1)
	}
	made := []guard.Field{
		{
			Name:  peer.HeaderAsks,
			Value: "00000zz",
		},
	}
	now := c.Now()
	fields := sender.in.ranks.with(now, with, made)
	if got := http1.Get(fields, peer.HeaderAsks); got == "" || got == made[0].Value {
		t.Fatalf("sent %q", got)
	}
	if got := sender.in.ranks.with(now, with, made); len(got) > 0 {
		t.Errorf("sent at once after the last: %v", got)
	}
	if got := old.in.ranks.with(now, none, made); len(got) > 0 {
		t.Errorf("sent without accounts: %v", got)
	}
	for name, side := range map[string]testSide{"with accounts": receiver, "without accounts": old} {
		if left := side.in.ranks.take(&side.in.cfg, fields); len(left) > 0 {
			t.Errorf("%s: %v stays for the target", name, left)
		}
	}
	receiver.enter(with, "y", "calm")
	c.Advance(clock.Second)
	if got := receiver.enter(with, "y", "hot").root; got == xxhash.Sum64String("y") {
		t.Error("the receiver knows no demand")
	}
}
