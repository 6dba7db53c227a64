package member

import (
	"cmp"
	"slices"
)

// MaxExcludedPercent is the largest share of a service's hosts, in percent, that a view
// may take out of use.
const MaxExcludedPercent = 50

// Usable returns those hosts of a service that a view lets through, in their
// given order. Hosts that are dead, then those that can't be reached, are left
// out, the longest known first, but never more than MaxUnused percent of all:
// beyond that the view is more likely wrong than the service gone, and a
// failed attempt at a dead host costs less than an unused live one. Hosts that
// the view does not hold are let through.
func Usable(hosts []string, lookup func(host string) (Member, bool)) []string {
	var excluded []Member
	for _, name := range hosts {
		m, ok := lookup(name)
		if ok && (m.State == Dead || m.Unreachable) {
			excluded = append(excluded, m)
		}
	}
	slices.SortStableFunc(excluded, func(a, b Member) int {
		if a.State != b.State {
			return cmp.Compare(b.State, a.State)
		}
		return cmp.Compare(a.Since, b.Since)
	})
	excluded = truncate(excluded, len(hosts)*MaxExcludedPercent/100)
	list := make([]string, 0, len(hosts))
	for _, name := range hosts {
		if !slices.ContainsFunc(excluded, func(m Member) bool { return m.Host == name }) {
			list = append(list, name)
		}
	}
	return list
}
