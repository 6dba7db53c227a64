package lint

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// minRate is the least rate of an account that is likely meant. One below it lets in a
// request every ten seconds at most, less than the probes of a client.
const minRate = 0.1

// checker collects the problems of a draft.
type checker struct {
	draft  *Draft
	report Report
}

// Check lists the problems of d.
func Check(d *Draft) Report {
	c := checker{
		draft: d,
	}
	c.checkLimits()
	c.checkHosts()
	c.checkServices()
	c.checkAccounts()
	return c.report
}

func (c *checker) fail(path, format string, args ...any) {
	c.report.Errors = append(c.report.Errors, rules.Problem{
		Path: path,
		Text: fmt.Sprintf(format, args...),
	})
}

func (c *checker) warn(path, format string, args ...any) {
	c.report.Warnings = append(c.report.Warnings, rules.Problem{
		Path: path,
		Text: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkLimits() {
	l := &c.draft.Limits
	if l.MaxHeader == 0 {
		c.warn(limitsPath, "the longest header is 0 bytes")
	}
	if l.MaxBody == 0 {
		c.warn(limitsPath, "the longest body is 0 bytes, so each request with a body is refused")
	}
	if l.ReadTimeout == 0 {
		c.warn(limitsPath, "the time for a header is 0 ms, so each header that does not arrive at once is cut")
	}
	if l.IdleTimeout == 0 {
		c.warn(limitsPath, "the idle time-out is 0 ms, so connections are closed before their first request")
	}
}

// owner tells which route has a prefix of a host.
type owner struct {
	host   string
	prefix string
}

func (c *checker) checkHosts() {
	if len(c.draft.Hosts) == 0 {
		c.warn("", "there is no host, so no request has a route")
	}
	names := make(map[string]bool)
	owners := make(map[owner]string)
	for i := range c.draft.Hosts {
		h := &c.draft.Hosts[i]
		if names[h.Name] {
			c.warn(hostPath(h.Name), "listed twice; its routes are taken together")
		}
		names[h.Name] = true
		if len(h.Routes) == 0 {
			c.warn(hostPath(h.Name), "has no route")
		}
		for j := range h.Routes {
			r := &h.Routes[j]
			c.checkMatch(h.Name, r, owners)
			c.checkRoute(routePath(h.Name, r.Name), r)
		}
	}
}

// checkMatch warns of a route that can never match. The longest prefix counts, and of
// equal ones the first, so only an equal prefix hides another.
func (c *checker) checkMatch(host string, r *Route, owners map[owner]string) {
	path := routePath(host, r.Name)
	key := owner{
		host:   host,
		prefix: r.Prefix,
	}
	if first, ok := owners[key]; ok {
		c.warn(path, "can never match: route %s of the same host has the prefix %q, too, and comes first", first, r.Prefix)
	} else {
		owners[key] = r.Name
	}
	switch {
	case r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"):
		c.warn(path, "can never match: the prefix %q does not begin with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# \t"):
		c.warn(path, "can never match: the prefix %q has a character that no path has", r.Prefix)
	}
}

func (c *checker) checkRoute(path string, r *Route) {
	if r.Timeout > 0 && r.LatencyGoal > r.Timeout {
		c.warn(path, "the latency goal of %d ms is above the time-out of %d ms", r.LatencyGoal, r.Timeout)
	}
	if r.AtMostOnce && r.Attempts > 1 {
		c.warn(path, "%d attempts can never be used: requests of the kind %s run at most once", r.Attempts, r.Kind)
	}
	if r.Public && !c.draft.HasAccounts {
		c.warn(path, "is public, but no accounts are listed, so no caller needs a key")
	}
	c.checkWeights(path, r)
}

func (c *checker) checkWeights(path string, r *Route) {
	total := 0.0
	seen := make(map[string]bool)
	for _, part := range r.Services {
		total += part.Weight
		if part.Weight == 0 && len(r.Services) > 1 {
			c.warn(path, "service %s has the weight 0", part.Service)
		}
		if seen[part.Service] {
			c.warn(path, "lists service %s twice", part.Service)
		}
		seen[part.Service] = true
	}
	if total == 0 && len(r.Services) > 0 {
		c.warn(path, "all weights are 0, so service %s gets all requests", r.Services[0].Service)
	}
}

// checkServices compares the services that are listed with those that routes use.
func (c *checker) checkServices() {
	listed := make(map[string]bool)
	for _, s := range c.draft.Services {
		if listed[s.Name] {
			c.warn(servicePath(s.Name), "listed twice; the last entry counts")
		}
		listed[s.Name] = true
	}
	used := make(map[string]bool)
	for i := range c.draft.Hosts {
		for _, r := range c.draft.Hosts[i].Routes {
			for _, part := range r.Services {
				if !listed[part.Service] && !used[part.Service] {
					c.warn(routePath(c.draft.Hosts[i].Name, r.Name), "uses service %s, which is not listed", part.Service)
				}
				used[part.Service] = true
			}
		}
	}
	for _, s := range c.draft.Services {
		if !used[s.Name] {
			c.warn(servicePath(s.Name), "no route uses it")
			used[s.Name] = true
		}
	}
}

func (c *checker) checkAccounts() {
	if c.draft.HasAccounts && len(c.draft.Accounts) == 0 {
		c.warn("", "the list of accounts is empty, so only public routes can be used")
	}
	names := make(map[string]bool)
	owners := make(map[Digest]string)
	for i := range c.draft.Accounts {
		a := &c.draft.Accounts[i]
		path := accountPath(a.Name)
		switch {
		case a.Name == "":
			path = fmt.Sprintf("account %d", i)
			c.fail("", "%s has no name", path)
		case names[a.Name]:
			c.fail("", "%s is listed twice", path)
		}
		names[a.Name] = true
		c.checkKeys(path, a, owners)
		if a.Burst > 0 && a.Rate == 0 {
			c.warn(path, "a burst of %v without a rate has no effect", a.Burst)
		}
		if a.Rate > 0 && a.Rate < minRate {
			c.warn(path, "a rate of %v requests a second lets in one in %.0f s", a.Rate, 1/a.Rate)
		}
	}
}

func (c *checker) checkKeys(path string, a *Account, owners map[Digest]string) {
	if len(a.Keys) == 0 {
		c.warn(path, "has no key, so nobody can use it")
	}
	for i, key := range a.Keys {
		first, ok := owners[key]
		switch {
		case key == DigestOf(""):
			c.fail(path, "key %d is empty", i)
		case ok:
			c.fail(path, "key %d is also a key of account %s", i, first)
		default:
			owners[key] = a.Name
		}
	}
}
