package flow

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// overload makes s state that its target is overloaded, and returns what a message to
// another daemon carries, with the needs of the request that it answers.
func (s testSide) overload(c *clock.Fake, v *model.View, needs []room.Need) []guard.Field {
	for range 400 {
		s.in.rooms.arrive(c.Now(), 50)
		s.in.rooms.state(c.Now(), room.Own{
			Service:  room.KeyOf("deep"),
			Target:   room.KeyOf("t"),
			Capacity: 1,
		})
		c.Advance(1)
	}
	return s.in.rooms.with(c.Now(), v, nil, needs)
}

// publicView returns a view with accounts in force, and one route, which is public.
func publicView(t *testing.T) *model.View {
	v := accountsView(t, "hut")
	v.Config.Hosts = map[string][]model.Route{
		"h": {
			{
				Name:     testRoute.Name,
				Prefix:   "/",
				Services: testRoute.Services,
				Public:   true,
			},
		},
	}
	v.Fleet.Loaded = true
	return v
}

// Guards against callers' requests that are let in although a service four calls below
// has no room, and against calls of running requests that are refused because of it.
func TestEntryDecidesForTheChain(t *testing.T) {
	c := clock.NewFake(clock.Minute)
	v := publicView(t)
	entry, deep := newTestSide(c, v), newTestSide(c, v)
	core, lines := observer.New(zap.InfoLevel)
	entry.out.cfg.Log = zap.New(core)
	entry.in.cfg.Log = entry.out.cfg.Log
	entry.out.cfg.Metrics.Answered = func(string, clock.Milli) {}
	ask := func(id string) string {
		entry.out.Handle(context.Background(), &http1.Request{
			Host:    "h",
			URI:     "/",
			Arrived: c.Now(),
			Fields: []guard.Field{
				{
					Name:  "Id",
					Value: id,
				},
			},
		})
		answered := lines.FilterMessage(event.Answered.Text).All()
		return answered[len(answered)-1].ContextMap()["reason"].(string)
	}
	for range 300 {
		ask("early")
		c.Advance(1)
	}
	fields := deep.overload(c, v, []room.Need{
		{
			Service: room.KeyOf("deep"),
			Calls:   8,
		},
	})
	needs, left := entry.out.local.rooms.take(&entry.out.cfg, fields)
	if len(needs) != 1 || len(left) > 0 {
		t.Fatalf("needs %v, fields %v", needs, left)
	}
	root := entry.enter(v, "x", "")
	entry.out.local.rooms.learnNeeds(&entry.out.cfg, root, needs, false)
	refused, last := 0, ""
	for i := range 100 {
		if last = ask(string(rune('0' + i))); last == peer.ReasonNoRoom {
			refused++
		}
		c.Advance(1)
	}
	if refused < 50 {
		t.Errorf("%d of 100 are refused, the last with %q", refused, last)
	}
	if got := ask("x.1"); got == peer.ReasonNoRoom {
		t.Error("a call whose request is not known here is refused")
	}
	c.Advance(clock.Second)
	for i := range 50 {
		if got := ask(string(rune('0' + i))); got == peer.ReasonNoRoom {
			t.Fatal("a request is refused a second after the last statement")
		}
	}
	c.Advance(quietTime)
	entry.in.Tick()
	if n := lines.FilterMessage(event.HoldsBack.Text).Len(); n != 1 {
		t.Errorf("%d times event 410", n)
	}
	if n := lines.FilterMessage(event.LetsIn.Text).Len(); n != 1 {
		t.Errorf("%d times event 411", n)
	}
}

// Guards against news that is sent or believed where no client accounts are
// configured, that a caller makes up, that the target gets to see, or that comes from
// another region.
func TestNewsBetweenDaemons(t *testing.T) {
	c := clock.NewFake(clock.Minute)
	on, off := publicView(t), accountsView(t)
	made := []guard.Field{
		{
			Name:  peer.HeaderLoad,
			Value: "made up",
		},
	}
	calm := newTestSide(c, on)
	if got := calm.in.rooms.with(c.Now(), on, made, nil); len(got) > 0 {
		t.Errorf("sent while nothing is overloaded: %v", got)
	}
	busy := newTestSide(c, on)
	fields := busy.overload(c, on, nil)
	if http1.Get(fields, peer.HeaderLoad) == "" {
		t.Fatal("nothing is sent")
	}
	if got := busy.in.rooms.with(c.Now(), off, made, nil); len(got) > 0 {
		t.Errorf("sent where it is off: %v", got)
	}
	elsewhere, old := newTestSide(c, on), newTestSide(c, off)
	elsewhere.in.rooms.region = room.KeyOf("elsewhere")
	tests := map[string]struct {
		side testSide
		in   []guard.Field
		want bool
	}{
		"same region": {
			side: calm,
			in:   fields,
			want: true,
		},
		"another region": {
			side: elsewhere,
			in:   fields,
		},
		"off": {
			side: old,
			in:   fields,
		},
		"nonsense": {
			side: newTestSide(c, on),
			in:   made,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, left := tt.side.in.rooms.take(&tt.side.in.cfg, tt.in); len(left) > 0 {
				t.Errorf("%v stays for the target", left)
			}
			if got := tt.side.in.rooms.room.IsActive(c.Now()); got != tt.want {
				t.Errorf("believed: %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a decision at the entry for configurations without client accounts,
// which have not asked for it.
func TestRoomsAreOnForAccounts(t *testing.T) {
	uploads := accountsView(t)
	uploads.Config.Hosts = map[string][]model.Route{
		"h": {
			{
				Upload: true,
			},
		},
	}
	for v, want := range map[*model.View]bool{accountsView(t, "hut"): true, accountsView(t): false, uploads: false, {}: false} {
		if got := newTestSide(clock.NewFake(clock.Minute), v).in.rooms.isOn(v); got != want {
			t.Errorf("%+v: got %t", v.Config, got)
		}
	}
}
