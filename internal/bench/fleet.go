package bench

import (
	"fmt"
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Dimensions of every deployment.
const (
	regions = 2
	centres = 4
	// linkBytesPerSecond is the share of the link between the regions that the
	// daemons of a region may use for calls: a fifth of 30 Mbit/s.
	linkBytesPerSecond = 30_000_000 / 8 / 5
	// callBytes is the size of a call and its answer.
	callBytes = 2000
	// tickInterval is the time between two ticks of a gate.
	tickInterval = 10 * perMilli
	// minLinkCalls is the smallest burst of a daemon's link budget, in calls. With
	// a smaller burst the reserves for higher importance levels would leave
	// nothing to the lower ones.
	minLinkCalls = 8
	// retryUnits is the retry budget of a root request, in extra attempts.
	retryUnits = 3
)

// fleet is a deployment that runs under a system in a scenario.
type fleet struct {
	*loop
	scenario *Scenario
	system   System
	daemons  []*daemon
	// senders holds the daemons without a target, by centre.
	senders [centres][]*daemon
	result  Result
	seq     uint64
}

func newFleet(scenario *Scenario, system System) *fleet {
	f := &fleet{
		loop:     newLoop(scenario.Seed),
		scenario: scenario,
		system:   system,
		result:   newResult(scenario, system),
	}
	for service := range scenario.Deployment.Services {
		for i := range centres * scenario.Deployment.PerCentre {
			f.daemons = append(f.daemons, newDaemon(f, service, i/scenario.Deployment.PerCentre, i%scenario.Deployment.PerCentre))
		}
	}
	for _, d := range f.daemons {
		d.target = newTarget(f, d)
		d.makePickers()
	}
	if scenario.Uneven != nil {
		f.makeSenders()
	}
	f.every(tickInterval, f.tick)
	return f
}

// daemonAt returns a daemon by its service, its centre and its index there.
func (f *fleet) daemonAt(service, centre, index int) *daemon {
	return f.daemons[(service*centres+centre)*f.scenario.Deployment.PerCentre+index]
}

// latency returns the one-way latency between two centres.
func (f *fleet) latency(a, b int) micro {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return micro(f.scenario.Deployment.RegionLatency)
	}
	return micro(f.scenario.Deployment.CrossRegionLatency) + f.linkExtra()
}

func regionOf(centre int) int { return centre * regions / centres }

func (f *fleet) tick() {
	for _, d := range f.daemons {
		d.target.tick()
		d.state()
	}
}

// slowdown returns the current factor on the service time of a target.
func (f *fleet) slowdown(service, centre, index int) float64 {
	if u := f.scenario.Uneven; u != nil {
		t := f.daemonAt(service, centre, index).target
		return u.factor(centre, t.slots, len(t.calls)-t.gate.Stats(f.now()).Lanes[rules.Short].Queued)
	}
	if !f.scenario.isDisturbed(f.now()) {
		return 1
	}
	factor := 1.0
	if service == f.scenario.Deployment.DeepService && (!f.scenario.OneRegion || regionOf(centre) == 0) {
		factor = f.scenario.DeepSlowdown
	}
	if f.scenario.isStraggler(f.now(), service, centre, index) {
		factor *= f.scenario.StragglerSlowdown
	}
	if f.scenario.ColdStart && service == f.scenario.Deployment.DeepService && centre == 0 && index == 0 {
		factor *= f.scenario.coldFactor(f.now())
	}
	return factor
}

// daemon is the process beside a target.
type daemon struct {
	f       *fleet
	service int
	centre  int
	index   int
	name    string
	target  *target
	pickers []*pick.Picker
	byName  map[string]*daemon
	budgets *retry.Ratios
	// room is nil unless the deployment learns.
	room *room.Room
}

func newDaemon(f *fleet, service, centre, index int) *daemon {
	d := &daemon{
		f:       f,
		service: service,
		centre:  centre,
		index:   index,
		name:    fmt.Sprintf("%s-%d-%d", f.scenario.Deployment.Services[service].Name, centre, index),
		byName:  make(map[string]*daemon),
		budgets: retry.NewRatios(retry.RatiosConfig{}, 0),
	}
	if f.learns() {
		d.room = room.New(room.Config{
			Incarnation: 1,
		})
	}
	return d
}

// makePickers creates the pickers. All daemons must exist already.
func (d *daemon) makePickers() {
	rate := int64(linkBytesPerSecond / (len(d.f.daemons) / regions))
	d.makePickersWith(pick.NewBucket(rate, max(rate/5, minLinkCalls*callBytes)))
}

// makePickersWith creates the pickers with a link budget.
func (d *daemon) makePickersWith(link *pick.Bucket) {
	for service := range d.f.scenario.Deployment.Services {
		p := pick.New(pick.Config{
			Region:         fmt.Sprint(regionOf(d.centre)),
			Centre:         fmt.Sprint(d.centre),
			Seed:           uint64((d.service*centres+d.centre)*d.f.scenario.Deployment.PerCentre+d.index)<<8 | uint64(service),
			LinkBudget:     link,
			RoundRobin:     d.f.system.RoundRobin,
			OwnCentreFirst: d.f.system.OwnCentreFirst,
			ByExpectedTime: d.f.system.ExpectedTime,
		})
		candidates := make([]pick.Candidate, 0, centres*d.f.scenario.Deployment.PerCentre)
		for _, peer := range d.f.daemons {
			if peer.service != service {
				continue
			}
			d.byName[peer.name] = peer
			if d.f.system.RoundRobin && regionOf(peer.centre) != regionOf(d.centre) {
				continue
			}
			candidates = append(candidates, pick.Candidate{
				Name:   peer.name,
				Region: fmt.Sprint(regionOf(peer.centre)),
				Centre: fmt.Sprint(peer.centre),
				Slots:  d.f.scenario.Deployment.Services[service].Slots,
			})
		}
		p.SetTargets(candidates)
		d.pickers = append(d.pickers, p)
		if d.f.scenario.ColdStart && service == d.f.scenario.Deployment.DeepService {
			candidates = slices.Clone(candidates)
			candidates[0].Started = d.f.scenario.Begin
			d.f.after(toMicro(d.f.scenario.Begin), func() { p.SetTargets(candidates) })
		}
	}
}

// requestContext is the state that all calls of one attempt at a root request
// share.
type requestContext struct {
	importance rules.Importance
	rootHash   uint64
	deadline   micro
	// slotTime is the time that the attempt has occupied slots of targets.
	slotTime micro
}
