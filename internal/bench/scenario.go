package bench

import (
	"fmt"

	"siskinswitch.example/siskin/pkg/clock"
)

// Scenario is a load over time on a deployment, with a disturbance: a surge of
// demand, slow targets or long requests.
type Scenario struct {
	Name       string
	Deployment Deployment
	Seed       uint64
	// Begin and End bound the disturbance. Length is the end of the scenario.
	Begin, End, Length clock.Milli
	// CalmPercent is the demand outside the disturbance, in percent of the
	// deployment's.
	CalmPercent int
	// SurgePercent is the demand during the disturbance, in percent of the
	// deployment's.
	SurgePercent int
	// DeepSlowdown is the factor on the service time of the deep service during
	// the disturbance.
	DeepSlowdown float64
	// OneRegion limits DeepSlowdown to the first region.
	OneRegion bool
	// Stragglers is the number of targets, at most two, whose service time is
	// multiplied by StragglerSlowdown during the disturbance; isStraggler
	// selects them.
	Stragglers        int
	StragglerSlowdown float64
	// MoveInterval is the time after which other targets become the stragglers;
	// 0 means never.
	MoveInterval clock.Milli
	// ColdStart restarts a target of the deep service at Begin. It is slow at
	// first.
	ColdStart bool
	// RejectPercent is the part of the requests that the targets of the deep
	// service reject at random during the disturbance.
	RejectPercent int
	// LongRequests is the number of long requests that start at Begin. Each is
	// sent again when it ends, until End.
	LongRequests int
	// Uneven makes targets and demand differ between centres; nil does not.
	Uneven *Uneven
}

// Overload returns the scenario in which demand rises to surge percent while
// the deep service runs at a third of its speed.
func Overload(deployment Deployment, surge int) Scenario {
	return Scenario{
		Name:         fmt.Sprintf("%dx, deep at 1/3", surge/100),
		Deployment:   deployment,
		Seed:         1,
		Begin:        3 * clock.Second,
		End:          9 * clock.Second,
		Length:       13 * clock.Second,
		CalmPercent:  100,
		SurgePercent: surge,
		DeepSlowdown: 3,
	}
}

// Crest returns the scenario in which demand triples for two seconds while all
// targets run at full speed.
func Crest(deployment Deployment) Scenario {
	return Scenario{
		Name:         "crest at 3x",
		Deployment:   deployment,
		Seed:         1,
		Begin:        3 * clock.Second,
		End:          5 * clock.Second,
		Length:       9 * clock.Second,
		CalmPercent:  100,
		SurgePercent: 300,
		DeepSlowdown: 1,
	}
}

// DeepShortage returns the scenario in which the deep service can do 40 % of what
// is demanded of it at normal demand, because its targets are slow.
func DeepShortage(deployment Deployment) Scenario { return DeepAt(deployment, 0.4) }

// DeepAt returns the scenario in which the deep service can do the given part of
// what is demanded of it at normal demand, because its targets are slow.
func DeepAt(deployment Deployment, part float64) Scenario {
	s := Overload(deployment, 100)
	s.Name = fmt.Sprintf("deep at %.1f of the demand", part)
	s.CalmPercent = 25
	s.DeepSlowdown = 1
	s.DeepSlowdown = s.optimalSlowdown(part)
	return s
}

// DeepRejects returns the scenario of [DeepShortage] in which the targets of the
// deep service also reject 55 % of the requests at random.
func DeepRejects(deployment Deployment) Scenario {
	s := DeepShortage(deployment)
	s.Name = "deep rejects 55 %"
	s.RejectPercent = 55
	return s
}

// optimalSlowdown returns the slowdown of the deep service at which its capacity
// is the given part of what the demand needs there.
func (s *Scenario) optimalSlowdown(part float64) float64 {
	demand := float64(s.Deployment.Demand) * float64(s.SurgePercent) / 100
	needed := 0.0
	for _, stream := range s.Deployment.Streams {
		last, times := stream.Op.deepest()
		needed += demand * float64(stream.Share) / 100 * float64(times) * float64(last.OwnTime) / float64(clock.Second)
	}
	slots := float64(s.Deployment.Services[s.Deployment.DeepService].Slots * centres * s.Deployment.PerCentre)
	return slots / (needed * part)
}

// OneRegionSlow returns the scenario in which the deep service of one region
// runs at a third of its speed at normal demand, while the other region has
// spare capacity.
func OneRegionSlow(deployment Deployment) Scenario {
	s := Overload(deployment, 100)
	s.Name = "one region's deep at 1/3"
	s.OneRegion = true
	return s
}

// Stragglers returns the scenario in which the given number of targets, at most
// two, are ten times slower, at half of the normal demand.
func Stragglers(deployment Deployment, stragglers int) Scenario {
	return Scenario{
		Name:              "stragglers",
		Deployment:        deployment,
		Seed:              1,
		Begin:             3 * clock.Second,
		End:               13 * clock.Second,
		Length:            13 * clock.Second,
		CalmPercent:       50,
		SurgePercent:      50,
		DeepSlowdown:      1,
		Stragglers:        stragglers,
		StragglerSlowdown: 10,
	}
}

// MovingStragglers returns the scenario of [Stragglers] in which other targets
// are slow in every second.
func MovingStragglers(deployment Deployment, stragglers int) Scenario {
	s := Stragglers(deployment, stragglers)
	s.Name = "moving stragglers"
	s.MoveInterval = clock.Second
	return s
}

// Slowdown of a cold target: it starts at initialColdFactor and falls to 1 over
// warmUpTime.
const (
	initialColdFactor = 5.0
	warmUpTime        = 5 * clock.Second
)

// ColdStart returns the scenario in which a target of the deep service restarts
// and is cold, or the same scenario without the restart if cold is false.
func ColdStart(deployment Deployment, cold bool) Scenario {
	s := Stragglers(deployment, 0)
	s.Name = "cold start"
	s.ColdStart = cold
	return s
}

// coldFactor returns the factor on the service time of the restarted target.
func (s *Scenario) coldFactor(now clock.Milli) float64 {
	warm := float64(now-s.Begin) / float64(warmUpTime)
	return max(1, initialColdFactor-(initialColdFactor-1)*warm)
}

// LongWork returns the scenario in which n long requests run at all times.
func LongWork(deployment Deployment, n int) Scenario {
	return Scenario{
		Name:         "long work",
		Deployment:   deployment,
		Seed:         1,
		Begin:        3 * clock.Second,
		End:          13 * clock.Second,
		Length:       13 * clock.Second,
		CalmPercent:  100,
		SurgePercent: 100,
		DeepSlowdown: 1,
		LongRequests: n,
	}
}

// FullCount returns the number of long requests that occupy all slots of their
// service in all centres. In the Armor deployment that is a full count of the
// stock.
func FullCount(deployment Deployment) int {
	return deployment.Services[deployment.LongOp.Service].Slots * centres * deployment.PerCentre
}

// isStraggler reports whether a target is a straggler at now. Stationary
// stragglers are a target of the deep service and a target of the service of the
// long operation. Moving stragglers are pseudo-random targets of any service.
func (s *Scenario) isStraggler(now clock.Milli, service, centre, index int) bool {
	if index > 0 {
		return false
	}
	if s.MoveInterval > 0 {
		hash := uint64(now/s.MoveInterval) * 0x9e3779b97f4a7c15
		first := int(hash >> 60)
		second := int(hash >> 56 & 15)
		i := service*centres + centre
		return s.Stragglers > 0 && i == first || s.Stragglers > 1 && i == second
	}
	switch {
	case service == s.Deployment.DeepService && centre == 0:
		return s.Stragglers > 0
	case service == s.Deployment.LongOp.Service && centre == 2:
		return s.Stragglers > 1
	}
	return false
}

// isDisturbed reports whether the disturbance is present at now.
func (s *Scenario) isDisturbed(now clock.Milli) bool { return now >= s.Begin && now < s.End }

// rate returns the root requests per second at now.
func (s *Scenario) rate(now clock.Milli) float64 {
	percent := s.CalmPercent
	if s.isDisturbed(now) {
		percent = s.SurgePercent
	}
	return float64(s.Deployment.Demand) * float64(percent) / 100
}

// optimalGoodput returns the root requests per second that the capacity permits
// during the disturbance. Only the deep service is overloaded: requests that do
// not reach it all succeed, the others up to its capacity.
func (s *Scenario) optimalGoodput() float64 {
	demand := float64(s.Deployment.Demand) * float64(s.SurgePercent) / 100
	deepRate, shallowRate := 0.0, 0.0
	var deepTime float64
	for _, stream := range s.Deployment.Streams {
		rate := demand * float64(stream.Share) / 100
		last, times := stream.Op.deepest()
		if last.Service != s.Deployment.DeepService {
			shallowRate += rate
			continue
		}
		deepRate += rate
		deepTime = float64(last.OwnTime) * float64(times) * s.DeepSlowdown
	}
	slots := float64(s.Deployment.Services[s.Deployment.DeepService].Slots * centres * s.Deployment.PerCentre)
	capacity := slots / deepTime * float64(clock.Second)
	if s.OneRegion {
		capacity *= (1 + s.DeepSlowdown) / 2
	}
	return shallowRate + min(deepRate, capacity)
}
