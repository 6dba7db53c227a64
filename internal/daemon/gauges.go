package daemon

import (
	"github.com/uber-go/tally/v4"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = clock.Second

// gauges are the metrics that show the current state.
type gauges struct {
	version      tally.Gauge
	confirmedAge tally.Gauge
	ready        tally.Gauge
	stale        tally.Gauge
	leaving      tally.Gauge
	overload     tally.Gauge
	shedShare    tally.Gauge
	limit        tally.Gauge
	running      tally.Gauge
	queued       tally.Gauge
	outbound     tally.Gauge
	entries      tally.Gauge
	bytes        tally.Gauge
	tombstones   tally.Gauge
	timesFull    tally.Gauge
	alive        tally.Gauge
	suspect      tally.Gauge
	dead         tally.Gauge
}

func newGauges(scope tally.Scope) gauges {
	members := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{"state": state}).Gauge("members")
	}
	return gauges{
		version:      scope.Gauge("version"),
		confirmedAge: scope.Gauge("confirmed_age_seconds"),
		ready:        scope.Gauge("ready"),
		stale:        scope.Gauge("stale"),
		leaving:      scope.Gauge("leaving"),
		overload:     scope.Gauge("overload"),
		shedShare:    scope.Gauge("shed_share"),
		limit:        scope.Gauge("limit"),
		running:      scope.Gauge("running"),
		queued:       scope.Gauge("queued"),
		outbound:     scope.Gauge("outbound_busy"),
		entries:      scope.Gauge("guard_entries"),
		bytes:        scope.Gauge("guard_bytes"),
		tombstones:   scope.Gauge("guard_tombstones"),
		timesFull:    scope.Gauge("guard_closings"),
		alive:        members("alive"),
		suspect:      members("suspect"),
		dead:         members("dead"),
	}
}

// update sets the gauges from a status report, the state of the admission gate and
// the number of outbound requests in flight.
func (g gauges) update(s admin.Status, gate admit.Stats, busy int64) {
	g.version.Update(float64(s.ActiveConfig.Version))
	// An unknown age is -1 in the gauge too, not -1 ms converted to seconds.
	age := float64(admin.UnknownAge)
	if s.ActiveConfig.Confirmed != admin.UnknownAge {
		age = s.ActiveConfig.Confirmed.Duration().Seconds()
	}
	g.confirmedAge.Update(age)
	g.ready.Update(flag(s.Ready))
	g.stale.Update(flag(s.Stale))
	g.leaving.Update(flag(s.Leaving))
	g.overload.Update(flag(gate.Overload))
	g.shedShare.Update(gate.Threshold.ShedShare())
	g.limit.Update(float64(gate.Limit))
	g.running.Update(float64(gate.Lanes[rules.Short].Running + gate.Lanes[rules.Long].Running))
	g.queued.Update(float64(gate.Lanes[rules.Short].Queued + gate.Lanes[rules.Long].Queued))
	g.outbound.Update(float64(busy))
	g.entries.Update(float64(s.Guard.Entries))
	g.bytes.Update(float64(s.Guard.Bytes))
	g.tombstones.Update(float64(s.Guard.Tombstones))
	g.timesFull.Update(float64(s.Guard.TimesFull))
	g.alive.Update(float64(s.MemberCounts.Alive))
	g.suspect.Update(float64(s.MemberCounts.Suspect))
	g.dead.Update(float64(s.MemberCounts.Dead))
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// updateGauges updates the gauges every gaugeInterval until the daemon closes.
func (d *Daemon) updateGauges() {
	for {
		d.metrics.gauges.update(d.status(false), d.inbound.Stats(), d.outbound.Busy())
		select {
		case <-d.ctx.Done():
			return
		case <-d.clock.After(gaugeInterval):
		}
	}
}
