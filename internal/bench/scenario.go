package bench

import (
	"fmt"

	"siskinswitch.example/siskin/pkg/clock"
)

// Scenario is a course of load and faults over one plant.
type Scenario struct {
	Name       string
	Deployment Deployment
	Seed       uint64
	// Begin and End bound the time of the cause; before it and after it the
	// plant is calm. Length is when the scene ends.
	Begin, End, Length clock.Milli
	// CalmPercent is the demand outside the cause, in percent of the plant's.
	CalmPercent int
	// SurgePercent is the demand during the cause, in percent of the plant's.
	SurgePercent int
	// DeepSlowdown multiplies the service time of the deep service during the
	// cause.
	DeepSlowdown float64
	// OneRegion limits DeepSlow to the first region.
	OneRegion bool
	// Stragglers is the number of targets that are StragglerSlow times
	// slower during the cause; see straggles for which.
	Stragglers        int
	StragglerSlowdown float64
	// MoveInterval is the time after which others are the stragglers; 0 is never.
	MoveInterval clock.Milli
	// ColdStart tells that a target of the deep service starts anew at Begin and is
	// slow at first.
	ColdStart bool
	// LongRequests is the number of long requests that start together at Begin, and
	// again whenever one ends, until End.
	LongRequests int
}

// Overload returns the scene in which demand rises to surge percent while the
// deep service runs at a third of its speed.
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

// Crest returns the scene in which demand triples for two seconds and nothing
// is wrong.
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

// OneRegionSlow returns the scene in which the deep service of one region runs at a
// third of its speed at calm demand, while the other region has room.
func OneRegionSlow(deployment Deployment) Scenario {
	s := Overload(deployment, 100)
	s.Name = "one region's deep at 1/3"
	s.OneRegion = true
	return s
}

// Stragglers returns the scene in which two of the sixteen targets are ten
// times slower, at calm demand.
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

// MovingStragglers returns the scene in which every second two others of the targets are
// ten times slower.
func MovingStragglers(deployment Deployment, stragglers int) Scenario {
	s := Stragglers(deployment, stragglers)
	s.Name = "moving stragglers"
	s.MoveInterval = clock.Second
	return s
}

// Course of a cold start.
const (
	initialColdFactor = 5.0
	warmUpTime        = 5 * clock.Second
)

// ColdStart returns the scene in which a target starts cold, if it does.
func ColdStart(deployment Deployment, cold bool) Scenario {
	s := Stragglers(deployment, 0)
	s.Name = "cold start"
	s.ColdStart = cold
	return s
}

// coldFactor returns the factor on the service time of a target that starts.
func (s *Scenario) coldFactor(now clock.Milli) float64 {
	warm := float64(now-s.Begin) / float64(warmUpTime)
	return max(1, initialColdFactor-(initialColdFactor-1)*warm)
}

// LongWork returns the scene in which n long requests run at all times.
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

// FullCount returns the number of long requests that make a full count of the
// stock: as many as the service has slots in all centres.
func FullCount(deployment Deployment) int {
	return deployment.Services[deployment.LongOp.Service].Slots * centres * deployment.PerCentre
}

// isStraggler reports whether a target is one of the stragglers at now. Those
// that stay are one of the deep service and one of the long operation's; those
// that move are any two services' targets, in a sequence that looks random.
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

// isDisturbed reports whether the cause is present at now.
func (s *Scenario) isDisturbed(now clock.Milli) bool { return now >= s.Begin && now < s.End }

// rate returns the root requests in a second at now.
func (s *Scenario) rate(now clock.Milli) float64 {
	percent := s.CalmPercent
	if s.isDisturbed(now) {
		percent = s.SurgePercent
	}
	return float64(s.Deployment.Demand) * float64(percent) / 100
}

// optimalGoodput returns the root requests in a second that the capacity permits in
// the cause. The deep service is the only one that the demand exceeds: what
// does not reach it completes whole, of the rest as much as it can serve.
func (s *Scenario) optimalGoodput() float64 {
	demand := float64(s.Deployment.Demand) * float64(s.SurgePercent) / 100
	deepRate, shallowRate := 0.0, 0.0
	var deepTime float64
	for _, stream := range s.Deployment.Streams {
		rate := demand * float64(stream.Share) / 100
		last, times := stream.Op, 1
		for last.Calls != nil {
			times *= max(1, last.CallCount)
			last = last.Calls
		}
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
