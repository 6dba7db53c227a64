package config

import (
	"fmt"
	"maps"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
)

// capacityWarnPercent is the share of a service's slots whose loss causes a
// warning. It is above a quarter because draining one of four targets is routine,
// and a warning on a routine step would teach operators to override warnings.
const capacityWarnPercent = 33

// capacity counts the slots of the targets of a service that accept new requests.
type capacity struct {
	slots   int
	regions map[string]int
}

func capacityOf(set *rules.Set, service string) capacity {
	c := capacity{
		regions: make(map[string]int),
	}
	for _, target := range set.Targets(service) {
		if target.Leaving {
			continue
		}
		c.slots += target.Slots
		c.regions[target.Region] += target.Slots
	}
	return c
}

// compareCapacity warns about the capacity that each service loses by all changes
// together.
func (c *comparer) compareCapacity(a, b *rules.Set) {
	for _, service := range c.to.Services {
		if _, ok := a.Service(service.Name); !ok {
			continue
		}
		before, after := capacityOf(a, service.Name), capacityOf(b, service.Name)
		lost := before.slots - after.slots
		switch {
		case lost <= 0:
		case after.slots == 0:
			c.warnCapacity(service, fmt.Sprintf("leaves %s without a target that takes requests", service.Name))
			continue
		case lost*100 >= before.slots*capacityWarnPercent:
			c.warnCapacity(service, fmt.Sprintf("removes %d of %s's %d slots (%d %%)",
				lost, service.Name, before.slots, lost*100/before.slots))
		}
		for _, region := range slices.Sorted(maps.Keys(before.regions)) {
			if after.regions[region] == 0 && after.slots > 0 {
				c.warnCapacity(service, fmt.Sprintf("leaves %s without a target in region %s, so its calls there cross the link",
					service.Name, region))
			}
		}
	}
}

func (c *comparer) warnCapacity(service rules.Service, text string) {
	c.add(Change{
		Path:       "services." + service.Name,
		Text:       text,
		Warn:       true,
		Targets:    c.lostTargets(service.Name),
		Operations: c.callGraph.withCallers(operationsOf(service)...),
	})
}

// lostTargets returns the targets of a service that are removed, start to leave
// or lose slots.
func (c *comparer) lostTargets(service string) []string {
	nameOf := func(s rules.Service) string { return s.Name }
	before := byName(c.from.Services, nameOf)[service]
	after := byName(c.to.Services, nameOf)[service]
	var names []string
	forEachPair(before.Instances, after.Instances, func(n rules.Instance) string { return n.Name }, func(name string, from, to *rules.Instance) {
		leaves := slices.Contains(c.to.Leaving, name) && !slices.Contains(c.from.Leaving, name)
		if from != nil && (to == nil || leaves || to.Slots < from.Slots) {
			names = append(names, name)
		}
	})
	return names
}
