package model

import (
	"maps"
	"slices"
)

// View is the state that requests are routed with: the configuration in force
// and the fleet.
type View struct {
	// Config is nil until a configuration has been read.
	Config *Config
	Fleet  Fleet
	// IsLate says that what changed last may have changed long before: it was
	// found in a list, or a record was still missing after an outage.
	IsLate bool
}

// TargetAt returns the target of a service that listens on addr, the one that started
// last if there are several. Without any it returns the last one of another service
// that the configuration names, since a replaced target may serve another one. The
// record of a service named nowhere may be anybody's and says nothing of addr.
func (v *View) TargetAt(addr, service string) (Target, bool) {
	var own, other Target
	for _, t := range v.Fleet.Targets {
		if t.Addr != addr {
			continue
		}
		switch {
		case t.Service == service:
			own = laterOf(own, t)
		case v.names(t.Service):
			other = laterOf(other, t)
		}
	}
	if own.ID != "" {
		return own, true
	}
	return other, other.ID != ""
}

// laterOf returns the target that started later. The zero value is none; of two that
// started at once it is the one whose id sorts first.
func laterOf(a, b Target) Target {
	if a.ID == "" || b.StartTime > a.StartTime || b.StartTime == a.StartTime && b.ID < a.ID {
		return b
	}
	return a
}

// CountHosts returns the number of hosts with a target of a service that the
// configuration names, which is about the number of daemons.
func (v *View) CountHosts() int { return len(v.Hosts()) }

// Hosts returns these hosts, in no order.
func (v *View) Hosts() []string {
	hosts := make(map[string]bool, len(v.Fleet.Targets))
	for _, t := range v.Fleet.Targets {
		if v.names(t.Service) {
			hosts[t.Host()] = true
		}
	}
	return slices.Collect(maps.Keys(hosts))
}

// names reports whether the configuration names a service. Without a configuration,
// and with one that lists no services, each counts as named.
func (v *View) names(service string) bool {
	if v.Config == nil || len(v.Config.Services) == 0 {
		return true
	}
	_, ok := v.Config.Services[service]
	return ok
}
