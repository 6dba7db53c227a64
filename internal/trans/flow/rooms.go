package flow

import (
	"sync"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// kindLoad is the kind of statements about overloaded services.
	kindLoad = "load"
	// noRoomRetryAfter is the Retry-After of requests whose chain of calls has no room.
	noRoomRetryAfter = 300 * clock.Millisecond
	// quietTime is the time without a refusal after which event 411 is logged.
	quietTime = 2 * clock.Second
)

// rooms knows which chains of calls have room. The two sides of a daemon share it. It
// is safe for concurrent use.
type rooms struct {
	mu     sync.Mutex
	room   *room.Room
	region uint32
	// heldBack counts the requests that were refused since event 410, and heldBackAt
	// is the instant of the last one.
	heldBack   int
	heldBackAt clock.Milli
	// loads and flows are the scratch space of with.
	loads [room.MaxLoads]room.Load
	flows [room.MaxNeeds]room.Flow
}

func newRooms(cfg *Config) *rooms {
	return &rooms{
		room: room.New(room.Config{
			Incarnation: max(int64(cfg.Clock.Wall()/clock.Second), 1),
		}),
		region: room.KeyOf(cfg.Self.Region),
	}
}

// isOn reports whether entries decide for whole chains of calls.
func (k *rooms) isOn(v *model.View) bool {
	// Where demand is uneven but callers don't compete, the choice over regions serves
	// more than a decision at the entry, which sees the regions apart.
	return v.Config != nil && v.Config.Accounts.InForce()
}

// decide reports whether a caller's request is let in.
func (k *rooms) decide(cfg *Config, now clock.Milli, c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isOn(c.view) {
		return true
	}
	level, ok := k.room.Decide(now, c.route.Name, room.KeyOf(c.service), c.importance, c.root)
	if ok {
		return true
	}
	cfg.Metrics.HeldBack()
	if k.heldBack == 0 {
		event.Warn(cfg.Log, event.HoldsBack, zap.String("route", c.route.Name), zap.Float64("level", level))
	}
	k.heldBack++
	k.heldBackAt = now
	return false
}

// arrive counts a request for the host's own target, which is expected to need a slot
// for cost, and done corrects that by what it took.
func (k *rooms) arrive(now, cost clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.room.Arrive(now, cost)
}

func (k *rooms) done(now, cost, took clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.room.Done(now, cost, took)
}

// state makes a statement about the host's own target if one is due.
func (k *rooms) state(now clock.Milli, o room.Own) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.room.State(now, o)
}

// tick logs the end of the time in which requests were refused.
func (k *rooms) tick(cfg *Config, now clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heldBack > 0 && now-k.heldBackAt >= quietTime {
		event.Info(cfg.Log, event.LetsIn, zap.Int("refused", k.heldBack))
		k.heldBack = 0
	}
}

// with returns fields with this daemon's news, in place of any that they have.
func (k *rooms) with(now clock.Milli, v *model.View, fields []guard.Field, needs []room.Need) []guard.Field {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isOn(v) && k.room.IsActive(now) {
		n := peer.RoomNews{
			Region: k.region,
			Needs:  needs,
			Loads:  k.room.Pending(now, k.loads[:0]),
		}
		if len(n.Loads) > 0 {
			n.Flows = k.room.Flows(now, k.flows[:0])
		}
		if !n.IsEmpty() {
			return http1.WithField(fields, peer.HeaderLoad, n.String())
		}
	}
	if http1.Get(fields, peer.HeaderLoad) == "" {
		return fields
	}
	return http1.WithoutField(fields, peer.HeaderLoad)
}

// take takes the news in the fields of a message of another daemon. It returns the
// needs that it brings and the fields without it.
func (k *rooms) take(cfg *Config, fields []guard.Field) ([]room.Need, []guard.Field) {
	value := http1.Get(fields, peer.HeaderLoad)
	if value == "" {
		return nil, fields
	}
	fields = http1.WithoutField(fields, peer.HeaderLoad)
	n, err := peer.ParseRoomNews(value)
	if err != nil {
		event.Warn(cfg.Log, event.Malformed, zap.Error(err))
		cfg.Metrics.StatementIgnored(kindLoad)
		return nil, fields
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isOn(cfg.View()) {
		return nil, fields
	}
	if n.Region != k.region {
		// Regions are apart: what one has room for is no use to the other.
		return n.Needs, fields
	}
	now, wall := cfg.Clock.Now(), cfg.Clock.Wall()
	for _, l := range n.Loads {
		if r := k.room.Merge(now, wall, l); r == room.Invalid || r == room.Full {
			cfg.Metrics.StatementIgnored(kindLoad)
		}
	}
	for _, f := range n.Flows {
		if k.room.MergeFlow(now, f) == room.Invalid {
			cfg.Metrics.StatementIgnored(kindLoad)
		}
	}
	return n.Needs, fields
}

// learnNeeds records what an answer told of the calls that the request of c needed, for
// its route and for the request that made c. spills says that calls like c may go to the
// other region.
func (k *rooms) learnNeeds(cfg *Config, c *call, needs []room.Need, spills bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := cfg.Clock.Now()
	if !k.isOn(c.view) || !k.room.IsActive(now) {
		return
	}
	for _, n := range needs {
		if k.room.LearnNeed(now, c.route.Name, n) == room.Invalid {
			cfg.Metrics.StatementIgnored(kindLoad)
		}
	}
	if c.parent != nil {
		own := room.Need{
			Service: room.KeyOf(c.service),
			Calls:   1,
			Spills:  spills,
		}
		c.parent.needs = k.room.AddCall(now, own, needs, c.parent.needs)
	}
}

// needsOf returns the calls that a request in progress has needed. Only those to
// overloaded services are known.
func (k *rooms) needsOf(p *Parent) []room.Need {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]room.Need(nil), p.needs...)
}
