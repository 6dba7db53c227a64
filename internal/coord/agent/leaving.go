package agent

import (
	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/pkg/clock"
)

// markTransmits is how often a daemon passes a leaving mark on.
const markTransmits = 12

// listedProcess is the process on a host that the platform lists as leaving.
type listedProcess struct {
	// incarnation is that of the process on the host when the host was first
	// listed, or 0 if it was not known. The list lags, so it does not apply to
	// a process that started later.
	incarnation uint64
}

// UpdateHosts replaces the platform's list of hosts. The list lags and is only a
// hint.
func (a *Agent) UpdateHosts(now clock.Milli, list []ListedHost) {
	a.beforeCall(now)
	next := make(map[string]listedProcess)
	for _, l := range list {
		if !l.Leaving {
			continue
		}
		entry, ok := a.listed[l.Host]
		if !ok {
			_, entry.incarnation = a.node.State(l.Host)
		}
		next[l.Host] = entry
	}
	a.listed = next
	a.dirty = true
}

func (a *Agent) addMark(now clock.Milli, m leave.Mark) { a.leaving.Add(now, m, markTransmits) }

// IsLeaving returns how the process in the record of a host is known to be
// leaving, or 0 if it is not.
func (a *Agent) IsLeaving(host string) LeavingSource {
	if !a.started {
		return 0
	}
	_, incarnation := a.node.State(host)
	if a.leaving.Has(host, incarnation) {
		return MarkedLeaving
	}
	if l, ok := a.listed[host]; ok && (l.incarnation == 0 || l.incarnation == incarnation) {
		return ListedLeaving
	}
	return 0
}

func (a *Agent) leavingHosts(now clock.Milli) map[string]LeavingSource {
	hosts := make(map[string]LeavingSource)
	for host := range a.listed {
		if s := a.IsLeaving(host); s != 0 {
			hosts[host] = s
		}
	}
	for _, m := range a.leaving.Marks(now) {
		if s := a.IsLeaving(m.Host); s != 0 {
			hosts[m.Host] = s
		}
	}
	return hosts
}
