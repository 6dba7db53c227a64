package lint

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Change is one change of a draft over the configuration in force.
type Change struct {
	// Path names the host, route, service or account.
	Path string `json:"path"`
	Text string `json:"text"`
	// Warn is set for a change by which callers may be refused.
	Warn bool `json:"warn"`
}

// CheckVersion returns a problem if daemons that have the configuration before in force
// do not take the one after.
func CheckVersion(before, after *Draft) []rules.Problem {
	if after.Version > before.Version {
		return nil
	}
	return []rules.Problem{
		{
			Path: "version",
			Text: fmt.Sprintf("%d is not above %d, the version in force, so that it would never be in force", after.Version, before.Version),
		},
	}
}

// comparer collects changes.
type comparer struct {
	changes []Change
}

// Compare lists what the draft after changes over the draft before.
func Compare(before, after *Draft) []Change {
	var c comparer
	c.compareLimits(&before.Limits, &after.Limits)
	c.compareRoutes(routesOf(before), routesOf(after))
	c.compareServices(before.Services, after.Services)
	c.compareAccounts(before, after)
	return c.changes
}

func (c *comparer) add(warn bool, path, format string, args ...any) {
	c.changes = append(c.changes, Change{
		Path: path,
		Text: fmt.Sprintf(format, args...),
		Warn: warn,
	})
}

// field reports the change of one field.
func field[T comparable](c *comparer, warn bool, path, name string, before, after T) {
	if before != after {
		c.add(warn, path, "%s: %v to %v", name, before, after)
	}
}

// milli reports the change of a time.
func (c *comparer) milli(path, name string, before, after clock.Milli) {
	field(c, false, path, name, fmt.Sprintf("%d ms", before), fmt.Sprintf("%d ms", after))
}

func (c *comparer) compareLimits(before, after *model.Limits) {
	field(c, after.MaxHeader < before.MaxHeader, limitsPath, "longest header in bytes", before.MaxHeader, after.MaxHeader)
	field(c, after.MaxBody < before.MaxBody, limitsPath, "longest body in bytes", before.MaxBody, after.MaxBody)
	c.milli(limitsPath, "time for a header", before.ReadTimeout, after.ReadTimeout)
	c.milli(limitsPath, "idle time-out", before.IdleTimeout, after.IdleTimeout)
}

// namedRoute is a route with its path. n counts the routes of a host that share a name.
type namedRoute struct {
	path  string
	n     int
	route *Route
}

// routeKey identifies a route in both drafts.
type routeKey struct {
	path string
	n    int
}

// routesOf returns the routes of d in their order.
func routesOf(d *Draft) []namedRoute {
	var list []namedRoute
	counts := make(map[string]int)
	for i := range d.Hosts {
		for j := range d.Hosts[i].Routes {
			r := &d.Hosts[i].Routes[j]
			name := r.Name
			if name == "" {
				name = r.Prefix
			}
			path := routePath(d.Hosts[i].Name, name)
			list = append(list, namedRoute{
				path:  path,
				n:     counts[path],
				route: r,
			})
			counts[path]++
		}
	}
	return list
}

// byKey returns the routes by their keys.
func byKey(list []namedRoute) map[routeKey]*Route {
	m := make(map[routeKey]*Route, len(list))
	for _, r := range list {
		m[r.key()] = r.route
	}
	return m
}

func (r *namedRoute) key() routeKey {
	return routeKey{
		path: r.path,
		n:    r.n,
	}
}

func (c *comparer) compareRoutes(before, after []namedRoute) {
	old, kept := byKey(before), byKey(after)
	for i := range before {
		if _, ok := kept[before[i].key()]; !ok {
			c.add(true, before[i].path, "removed, with the prefix %q", before[i].route.Prefix)
		}
	}
	for i := range after {
		r := after[i].route
		if was, ok := old[after[i].key()]; ok {
			c.compareRoute(after[i].path, was, r)
			continue
		}
		c.add(false, after[i].path, "added: %s, prefix %q, to %s", r.Kind, r.Prefix, partsText(r))
	}
}

func (c *comparer) compareRoute(path string, before, after *Route) {
	field(c, true, path, "prefix", before.Prefix, after.Prefix)
	field(c, before.AtMostOnce != after.AtMostOnce, path, "kind", before.Kind, after.Kind)
	field(c, false, path, "services", partsText(before), partsText(after))
	c.milli(path, "time-out", before.Timeout, after.Timeout)
	c.milli(path, "latency goal", before.LatencyGoal, after.LatencyGoal)
	field(c, false, path, "attempts", before.Attempts, after.Attempts)
	field(c, false, path, "priority", before.Priority, after.Priority)
	field(c, before.Public, path, "public", before.Public, after.Public)
}

// partsText describes the services of a route.
func partsText(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	parts := make([]string, 0, len(r.Services))
	for _, p := range r.Services {
		parts = append(parts, fmt.Sprintf("%s (weight %v)", p.Service, p.Weight))
	}
	return strings.Join(parts, ", ")
}

func (c *comparer) compareServices(before, after []model.Service) {
	old, kept := make(map[string]model.Service), make(map[string]bool)
	for _, s := range before {
		old[s.Name] = s
	}
	for _, s := range after {
		kept[s.Name] = true
		was, ok := old[s.Name]
		if !ok {
			c.add(false, servicePath(s.Name), "added")
			continue
		}
		field(c, s.Conns < was.Conns, servicePath(s.Name), "connections", was.Conns, s.Conns)
	}
	for _, s := range before {
		if !kept[s.Name] {
			c.add(true, servicePath(s.Name), "removed")
		}
	}
}

func (c *comparer) compareAccounts(before, after *Draft) {
	switch {
	case after.HasAccounts && !before.HasAccounts:
		c.add(true, "", "accounts are listed now, so that callers need a key")
	case before.HasAccounts && !after.HasAccounts:
		c.add(true, "", "accounts are no longer listed, so that callers need no key")
	}
	old, kept := make(map[string]*Account), make(map[string]bool)
	for i := range before.Accounts {
		old[before.Accounts[i].Name] = &before.Accounts[i]
	}
	for i := range after.Accounts {
		a := &after.Accounts[i]
		kept[a.Name] = true
		was, ok := old[a.Name]
		if !ok {
			c.add(false, accountPath(a.Name), "added, with %d keys and a rate of %v", len(a.Keys), a.Rate)
			continue
		}
		c.compareAccount(accountPath(a.Name), was, a)
	}
	for i := range before.Accounts {
		if a := &before.Accounts[i]; !kept[a.Name] {
			c.add(true, accountPath(a.Name), "removed, with %d keys", len(a.Keys))
		}
	}
}

func (c *comparer) compareAccount(path string, before, after *Account) {
	if n := missing(before.Keys, after.Keys); n > 0 {
		c.add(true, path, "keys withdrawn: %d of %d", n, len(before.Keys))
	}
	if n := missing(after.Keys, before.Keys); n > 0 {
		c.add(false, path, "keys added: %d", n)
	}
	field(c, false, path, "priority", priorityText(before), priorityText(after))
	isLower := after.Rate > 0 && (before.Rate == 0 || after.Rate < before.Rate)
	field(c, isLower, path, "rate a second", rateText(before), rateText(after))
	field(c, after.Rate > 0 && after.Burst < before.Burst, path, "burst", before.Burst, after.Burst)
}

// missing returns how many of keys are not in others.
func missing(keys, others []Digest) int {
	held := make(map[Digest]bool, len(others))
	for _, k := range others {
		held[k] = true
	}
	n := 0
	for _, k := range keys {
		if !held[k] {
			n++
		}
	}
	return n
}

func priorityText(a *Account) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}

func rateText(a *Account) string {
	if !a.IsCapped() {
		return "no limit"
	}
	return fmt.Sprint(a.Rate)
}
