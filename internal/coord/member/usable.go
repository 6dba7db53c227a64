package member

import (
	"cmp"
	"slices"
)

// MaxExcludedPercent is the largest share of a service's hosts, in percent,
// that [Usable] excludes.
const MaxExcludedPercent = 50

// Usable returns the hosts of a service to use according to a view, in the
// given order. It excludes dead hosts first and then unreachable ones, each
// group beginning with the host that has been in its state for the longest
// time. It excludes at most MaxExcludedPercent of all hosts: if more look bad,
// it is more likely that the view is wrong than that the service is gone, and
// a failed attempt at a dead host costs less than leaving a live one unused.
// Hosts that the view does not hold are not excluded.
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
