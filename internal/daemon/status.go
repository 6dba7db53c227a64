package daemon

import (
	"math"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// floorAllShed is the reported floor of a gate that sheds all requests.
const floorAllShed = "everything"

// serveStatus answers with the status report, with all members if the query asks
// for them.
func (d *Daemon) serveStatus(ctx *fasthttp.RequestCtx) {
	all := string(ctx.QueryArgs().Peek(admin.ArgMembers)) == admin.All
	writeJSON(ctx, d.status(all))
}

// status returns the status report. Without allMembers it lists only the members
// that are not alive, are unreachable or are leaving.
func (d *Daemon) status(allMembers bool) admin.Status {
	now := d.clock.Now()
	s := admin.Status{
		Head:        d.head(),
		Region:      d.settings.Region,
		Centre:      d.settings.Centre,
		Incarnation: d.incarnation,
		Age:         now - d.start,
		Gate:        gateStatus(d.inbound.Stats()),
		Guard:       d.guardStatus(),
		Control:     d.controlStatus(),
		Totals:      d.totals.report(),
	}
	v := d.view.Load()
	s.Ready = v.Ready
	s.Stale = v.Stale
	if snapshot := d.control.snapshot.Load(); snapshot != nil {
		d.addSnapshot(&s, snapshot, v.Rules, now, allMembers)
	}
	return s
}

// addSnapshot adds the state in the agent's newest snapshot to the report.
func (d *Daemon) addSnapshot(s *admin.Status, from *agent.Snapshot, set *rules.Set, now clock.Milli, allMembers bool) {
	s.Reader = from.Reader
	s.Relay = from.Relay
	s.Leaving = isLeaving(from, set, d.settings.Name, d.settings.addr(d.settings.Control))
	s.ActiveConfig = activeConfig(from, now)
	s.Members = make([]admin.Member, 0)
	for _, m := range from.Members {
		source := leavingSource(from, m.Host)
		countState(&s.MemberCounts, m.State, source)
		if m.State == member.Alive && source == "" && !m.Unreachable && !allMembers {
			continue
		}
		s.Members = append(s.Members, admin.Member{
			Host:        m.Host,
			State:       m.State.String(),
			Age:         now - m.Since,
			Unreachable: m.Unreachable,
			Leaving:     source,
		})
	}
	nameMembers(s.Members, set)
	s.RefusedConfigs = make([]admin.RefusedConfig, 0, len(from.Refused))
	for _, r := range from.Refused {
		s.RefusedConfigs = append(s.RefusedConfigs, admin.RefusedConfig{
			Version: r.Version,
			Digest:  r.Digest,
			Author:  r.Author,
			Reason:  r.Reason,
			From:    r.From,
			Detail:  r.Kind.String() + ": " + r.Detail,
			Age:     now - r.At,
		})
	}
}

// isLeaving reports whether the rules mark the instance as leaving, or the agent
// knows from the daemon itself or from the platform's list that it leaves.
func isLeaving(from *agent.Snapshot, set *rules.Set, name, host string) bool {
	if _, marked := from.Leaving[host]; marked {
		return true
	}
	if set == nil {
		return false
	}
	t, ok := set.Target(name)
	return ok && t.Leaving
}

// nameMembers adds the names of the instances to members.
func nameMembers(members []admin.Member, set *rules.Set) {
	if set == nil || len(members) == 0 {
		// Usually no member is reported; that saves the walk of the inventory.
		return
	}
	names := make(map[string]string)
	for _, service := range set.Services() {
		for _, t := range set.Targets(service) {
			names[controlAddr(t)] = t.Name
		}
	}
	for n := range members {
		members[n].Name = names[members[n].Host]
	}
}

// leavingSource returns how a host is known to be leaving, "" if it is not.
func leavingSource(from *agent.Snapshot, host string) string {
	switch from.Leaving[host] {
	case agent.ListedLeaving:
		return "listed"
	case agent.MarkedLeaving:
		return "marked"
	}
	return ""
}

func countState(states *admin.MemberCounts, state member.State, leaving string) {
	switch state {
	case member.Alive:
		states.Alive++
	case member.Suspect:
		states.Suspect++
	case member.Dead:
		states.Dead++
	default:
		states.Unknown++
	}
	if leaving != "" {
		states.Leaving++
	}
}

// activeConfig reports the configuration in force, how long it has been in force and
// how long ago it was confirmed to be the newest.
func activeConfig(from *agent.Snapshot, now clock.Milli) admin.ActiveConfig {
	f := admin.ActiveConfig{
		Version:   from.Value.Version,
		Digest:    from.Value.Digest,
		Author:    from.Value.Author,
		Reason:    from.Value.Reason,
		Age:       admin.UnknownAge,
		Confirmed: admin.UnknownAge,
	}
	if from.Confirmed != agent.Never {
		f.Confirmed = now - from.Confirmed
	}
	if n := len(from.History); n > 0 && from.History[n-1].End == spread.Never {
		f.Age = now - from.History[n-1].Start
	}
	return f
}

func gateStatus(st admit.Stats) admin.Gate {
	g := admin.Gate{
		Overload:     st.Overload,
		Threshold:    st.Threshold.String(),
		Floor:        admittedFloor(st.Threshold),
		ExpectedTime: st.ExpectedTime,
		Short:        lane(st.Lanes[rules.Short]),
		Long:         lane(st.Lanes[rules.Long]),
		Offered:      st.Offered,
		Started:      st.Started,
		Done:         st.Done,
		Evicted:      st.Evicted,
		Refused:      make(map[string]uint64),
	}
	for reason, n := range st.Refused {
		if n > 0 {
			g.Refused[admit.Reason(reason).String()] = n
		}
	}
	return g
}

// admittedFloor returns the lowest importance of which the threshold admits at
// least some requests, "" if it admits all requests.
func admittedFloor(t admit.Threshold) string {
	if t.IsOpen() {
		return ""
	}
	for i := rules.Spare; i <= rules.Vital; i++ {
		if t.Passes(i, math.MaxUint64) {
			return i.String()
		}
	}
	return floorAllShed
}

func lane(l admit.Lane) admin.Lane {
	return admin.Lane{
		Limit:   l.Limit,
		Running: l.Running,
		Queued:  l.Queued,
	}
}

func (d *Daemon) controlStatus() admin.ControlTraffic {
	counts := &d.control.counts
	in, out := d.controlBytes.Bytes()
	return admin.ControlTraffic{
		In:       in,
		Out:      out,
		Sent:     counts.sent.Load(),
		Received: counts.received.Load(),
		Dropped:  counts.dropped.Load(),
		Reads:    counts.reads.Load(),
		Conns:    d.links.Conns(),
	}
}

func (d *Daemon) guardStatus() admin.Guard {
	st := d.guard.Stats()
	return admin.Guard{
		Entries:    st.Entries,
		Live:       st.Live,
		Tombstones: st.Tombstones,
		Bytes:      st.Bytes,
		Capacity:   d.settings.Entries,
		TimesFull:  st.Closings,
		Unknown:    st.Unknown,
	}
}
