package rules

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// path is the location of a value in a document, such as services[2].name.
type path string

// key returns the path of the field called name.
func (p path) key(name string) path {
	if p == "" {
		return path(name)
	}
	return p + "." + path(name)
}

// at returns the path of list item n.
func (p path) at(n int) path { return path(fmt.Sprintf("%s[%d]", p, n)) }

// checker collects the problems of one document.
type checker struct {
	doc      Document
	problems []Problem
	// knownPlaces holds each "region/centre" that the document lists.
	knownPlaces map[string]bool
	// names holds the path of the first use of each name that must be unique.
	names map[string]path
	// ports holds the name of the instance that first uses each "host port".
	ports map[string]string
	// instances holds the names of all instances.
	instances map[string]bool
	graph     *graph
}

// Check returns the problems of doc in the order of the document, at most
// [MaxProblems] of them.
func Check(doc Document) []Problem {
	c := &checker{
		doc:         doc,
		knownPlaces: make(map[string]bool),
		names:       make(map[string]path),
		ports:       make(map[string]string),
		instances:   make(map[string]bool),
		graph:       newGraph(doc),
	}
	c.checkVersion()
	c.checkRegions()
	c.checkCallers()
	c.checkServices()
	c.checkLeaving()
	c.checkObjectives()
	return c.problems
}

func (c *checker) add(p path, format string, args ...any) {
	if len(c.problems) == MaxProblems {
		return
	}
	c.problems = append(c.problems, Problem{
		Path: string(p),
		Text: fmt.Sprintf(format, args...),
	})
}

// checkVersion checks the fields that describe the version itself, and the
// retry budget.
func (c *checker) checkVersion() {
	if c.doc.Version < 1 {
		c.add("version", "the version must be at least 1")
	}
	switch {
	case c.doc.Version > 1 && !isDigest(c.doc.Parent):
		c.add("parent", "version %d must name the digest of its predecessor, 64 hex digits in lower case", c.doc.Version)
	case c.doc.Version == 1 && c.doc.Parent != "":
		c.add("parent", "version 1 has no predecessor, so the parent must be empty")
	}
	c.checkText("author", c.doc.Author, MaxAuthorBytes)
	c.checkText("reason", c.doc.Reason, MaxReasonBytes)
	c.checkRange("allowance", int64(c.doc.RetryBudget), 0, MaxRetryBudget)
}

func (c *checker) checkRegions() {
	if len(c.doc.Regions) == 0 {
		c.add("regions", "at least one region is needed")
	}
	for n, region := range c.doc.Regions {
		at := path("regions").at(n)
		c.checkName(at.key("name"), "region", region.Name)
		if len(region.Centres) == 0 {
			c.add(at.key("centres"), "region %q needs at least one data centre", region.Name)
		}
		for m, centre := range region.Centres {
			place := region.Name + "/" + centre
			c.checkName(at.key("centres").at(m), "centre of "+region.Name, centre)
			c.knownPlaces[place] = true
		}
	}
}

func (c *checker) checkCallers() {
	for n, caller := range c.doc.Callers {
		at := path("callers").at(n)
		c.checkName(at.key("name"), "caller", caller.Name)
		if !isDigest(caller.Secret) {
			c.add(at.key("secret"), "the secret of caller %q must be the SHA-256 of its token, 64 hex digits in lower case", caller.Name)
		} else {
			c.checkUnique(at.key("secret"), "caller secret", caller.Secret)
		}
		if !caller.Ceiling.IsValid() {
			c.add(at.key("ceiling"), "%s is not an importance level", caller.Ceiling)
		}
	}
}

func (c *checker) checkLeaving() {
	for n, name := range c.doc.Leaving {
		at := path("leaving").at(n)
		if !c.instances[name] {
			c.add(at, "no instance is called %q", name)
			continue
		}
		c.checkUnique(at, "leaving instance", name)
	}
}

func (c *checker) checkObjectives() {
	for n, objective := range c.doc.Objectives {
		at := path("objectives").at(n)
		if !c.graph.services[objective.Service] {
			c.add(at.key("service"), "no service is called %q", objective.Service)
		} else {
			c.checkUnique(at.key("service"), "objective of service", objective.Service)
		}
		c.checkRange(at.key("good"), objective.Good, 1, Million-1)
		c.checkRange(at.key("latency"), int64(objective.Latency), 1, int64(MaxDeadline/clock.Millisecond))
	}
}

// checkName checks the form of a name and that it is unique in its group.
func (c *checker) checkName(p path, group, name string) {
	if !IsName(name) {
		c.add(p, "%.70q is not a valid name: use 1 to %d lower-case letters, digits, '.', '_' or '-', beginning with a letter or digit", name, MaxNameBytes)
		return
	}
	c.checkUnique(p, group, name)
}

// checkUnique reports a problem if name was used in the group before.
func (c *checker) checkUnique(p path, group, name string) {
	key := group + "\x00" + name
	if first, ok := c.names[key]; ok {
		c.add(p, "%s %q is already used at %s", group, name, first)
		return
	}
	c.names[key] = p
}

func (c *checker) checkText(p path, text string, maxBytes int) {
	if strings.TrimSpace(text) == "" {
		c.add(p, "the %s must not be empty", p)
	}
	if len(text) > maxBytes {
		c.add(p, "the %s has %d bytes, more than %d", p, len(text), maxBytes)
	}
}

func (c *checker) checkRange(p path, value, low, high int64) {
	if value < low || value > high {
		c.add(p, "%d is outside %d to %d", value, low, high)
	}
}

// IsName reports whether name is valid as a name: 1 to [MaxNameBytes]
// lower-case letters, digits, '.', '_' or '-', beginning with a letter or
// digit.
func IsName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !isAlphanumeric(name[0]) {
		return false
	}
	for n := range len(name) {
		if !isAlphanumeric(name[n]) && !strings.ContainsRune("._-", rune(name[n])) {
			return false
		}
	}
	return true
}

func isAlphanumeric(b byte) bool { return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' }

// digestLength is the number of hex digits of a SHA-256.
const digestLength = 64

func isDigest(text string) bool {
	if len(text) != digestLength {
		return false
	}
	return strings.Trim(text, "0123456789abcdef") == ""
}
