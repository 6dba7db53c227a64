package bench

import (
	"fmt"
	"slices"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Shape of every plant.
const (
	regions = 2
	centres = 4
	// linkBytes is the part of the regional link, in bytes a second, that
	// the daemons of a region share for calls: a fifth of 30 Mbit/s.
	linkBytes = 30_000_000 / 8 / 5
	// callBytes is the size of a call with its answer.
	callBytes = 2000
	// tickEvery is the time between two ticks of a gate.
	tickEvery = 10 * perMilli
	// linkCalls is the least number of calls that the link's budget can save
	// up, so that the reserves of the importances leave something to each.
	linkCalls = 8
	// allowance is the number of extra attempts of a root request.
	allowance = 3
)

// fleet is a plant that runs under a system in a scene.
type fleet struct {
	*loop
	scene   *Scenario
	system  System
	daemons []*daemon
	result  Result
	seq     uint64
}

func newFleet(scene *Scenario, system System) *fleet {
	f := &fleet{
		loop:   newLoop(scene.Seed),
		scene:  scene,
		system: system,
		result: newResult(scene, system),
	}
	for service := range scene.Deployment.Services {
		for i := range centres * scene.Deployment.PerCentre {
			f.daemons = append(f.daemons, newDaemon(f, service, i/scene.Deployment.PerCentre, i%scene.Deployment.PerCentre))
		}
	}
	for _, d := range f.daemons {
		d.target = newTarget(f, d)
		d.connect()
	}
	f.every(tickEvery, f.tick)
	return f
}

// daemonAt returns a daemon by its service, centre and rank there.
func (f *fleet) daemonAt(service, centre, rank int) *daemon {
	return f.daemons[(service*centres+centre)*f.scene.Deployment.PerCentre+rank]
}

// latency returns the one-way latency between two centres.
func (f *fleet) latency(a, b int) micro {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return micro(f.scene.Deployment.RegionLatency)
	}
	return micro(f.scene.Deployment.CrossRegionLatency)
}

func regionOf(centre int) int { return centre * regions / centres }

func (f *fleet) tick() {
	for _, d := range f.daemons {
		d.target.tick()
	}
}

// slowdown returns the factor on the service time of a target at present.
func (f *fleet) slowdown(service, centre, rank int) float64 {
	if !f.scene.inCause(f.now()) {
		return 1
	}
	factor := 1.0
	if service == f.scene.Deployment.DeepService && (!f.scene.OneRegion || regionOf(centre) == 0) {
		factor = f.scene.DeepSlowdown
	}
	if f.scene.straggles(f.now(), service, centre, rank) {
		factor *= f.scene.StragglerSlowdown
	}
	if f.scene.ColdStart && service == f.scene.Deployment.DeepService && centre == 0 && rank == 0 {
		factor *= f.scene.coldness(f.now())
	}
	return factor
}

// daemon is the process beside one target.
type daemon struct {
	f       *fleet
	service int
	centre  int
	rank    int
	name    string
	target  *target
	pickers []*pick.Picker
	byName  map[string]*daemon
	budgets *retry.Ratios
}

func newDaemon(f *fleet, service, centre, rank int) *daemon {
	return &daemon{
		f:       f,
		service: service,
		centre:  centre,
		rank:    rank,
		name:    fmt.Sprintf("%s-%d-%d", f.scene.Deployment.Services[service].Name, centre, rank),
		byName:  make(map[string]*daemon),
		budgets: retry.NewRatios(retry.RatiosConfig{}, 0),
	}
}

// connect makes the pickers once all daemons exist.
func (d *daemon) connect() {
	part := int64(linkBytes / (len(d.f.daemons) / regions))
	link := pick.NewBucket(part, max(part/5, linkCalls*callBytes))
	for service := range d.f.scene.Deployment.Services {
		p := pick.New(pick.Config{
			Region:     fmt.Sprint(regionOf(d.centre)),
			Centre:     fmt.Sprint(d.centre),
			Seed:       uint64((d.service*centres+d.centre)*d.f.scene.Deployment.PerCentre+d.rank)<<8 | uint64(service),
			LinkBudget: link,
			RoundRobin: d.f.system.RoundRobin,
		})
		candidates := make([]pick.Candidate, 0, centres*d.f.scene.Deployment.PerCentre)
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
				Slots:  d.f.scene.Deployment.Services[service].Slots,
			})
		}
		p.SetTargets(candidates)
		d.pickers = append(d.pickers, p)
		if d.f.scene.ColdStart && service == d.f.scene.Deployment.DeepService {
			candidates = slices.Clone(candidates)
			candidates[0].Started = d.f.scene.Begin
			d.f.after(toMicro(d.f.scene.Begin), func() { p.SetTargets(candidates) })
		}
	}
}

// request is what all calls of one root request's attempt share.
type request struct {
	importance rules.Importance
	root       uint64
	deadline   micro
	// spent is the slot time that targets gave to it.
	spent micro
}
