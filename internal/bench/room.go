package bench

import (
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// wallTime is the wall clock of the fleet, which no statement is ahead of.
const wallTime = clock.Minute

// learns reports whether entries decide for the whole chain of calls.
func (f *fleet) learns() bool { return f.system.Control && f.scenario.Deployment.Learns }

// serviceKey returns the key of the service of an operation.
func (f *fleet) serviceKey(op *Operation) uint32 {
	return room.KeyOf(f.scenario.Deployment.Services[op.Service].Name)
}

// isLetIn decides at the entry whether the whole chain of calls has room. Calls of
// targets have been decided on.
func (c *call) isLetIn() bool {
	f := c.d.f
	if !f.learns() || c.depth > 0 {
		return true
	}
	_, ok := c.d.room.Decide(f.now(), c.op.Path, f.serviceKey(c.op), c.req.importance, c.req.rootHash)
	return ok
}

// news is what a message between daemons carries.
type news struct {
	loads []room.Load
	flows []room.Flow
}

// news returns what the next message to another daemon carries.
func (d *daemon) news() news {
	if d.room == nil {
		return news{}
	}
	n := news{
		loads: d.room.Pending(d.f.now(), nil),
	}
	if len(n.loads) > 0 {
		n.flows = d.room.Flows(d.f.now(), nil)
	}
	return n
}

// learn takes what a message of another daemon carries. Regions are apart: what one has
// room for is no use to the other.
func (d *daemon) learn(from *daemon, n news) {
	if d.room == nil || regionOf(from.centre) != regionOf(d.centre) {
		return
	}
	for _, l := range n.loads {
		d.room.Merge(d.f.now(), wallTime, l)
	}
	for _, flow := range n.flows {
		d.room.MergeFlow(d.f.now(), flow)
	}
}

// learnNeeds takes the needs that an answer to the call brings, for the route and for
// the request that made the call.
func (c *call) learnNeeds(needs []room.Need) {
	if c.d.room == nil {
		return
	}
	f := c.d.f
	for _, n := range needs {
		c.d.room.LearnNeed(f.now(), c.op.Path, n)
	}
	if c.caller != nil {
		own := room.Need{
			Service: f.serviceKey(c.op),
			Calls:   1,
			Spills:  c.picker().Spills(f.now(), c.op.Path),
		}
		c.caller.needs = c.d.room.AddCall(f.now(), own, needs, c.caller.needs)
	}
}

// recordArrival measures the demand for a target, and states it.
func (t *target) recordArrival(c *inboundCall) {
	if t.d.room == nil {
		return
	}
	c.expected = t.gate.Stats(t.f.now()).ExpectedTime
	t.d.room.Arrive(t.f.now(), c.expected)
	t.d.state()
}

// recordEnd corrects the demand by what a call that ran has used.
func (t *target) recordEnd(c *inboundCall) {
	if t.d.room != nil {
		t.d.room.Done(t.f.now(), c.expected, (t.f.at - c.began).milli())
	}
}

// state makes a statement about the daemon's target if one is due.
func (d *daemon) state() {
	if d.room == nil {
		return
	}
	stats := d.target.gate.Stats(d.f.now())
	d.room.State(d.f.now(), room.Own{
		Service:  room.KeyOf(d.f.scenario.Deployment.Services[d.service].Name),
		Target:   room.KeyOf(d.name),
		Capacity: stats.Limit,
		Queued:   stats.Lanes[rules.Short].Queued,
	})
}
