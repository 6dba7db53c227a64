package config

import (
	"fmt"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Change describes one difference between two documents.
type Change struct {
	// Path locates the changed part by names, as in
	// services.payment.instances.payment-1.
	Path string `json:"path"`
	// Text is a sentence without a full stop.
	Text string `json:"text"`
	// Warn marks a change that may cause requests to be refused or slowed, or that
	// weakens a guarantee.
	Warn bool `json:"warn,omitempty"`
	// Targets lists the names of the affected targets.
	Targets []string `json:"targets,omitempty"`
	// Operations lists the paths of the affected operations, including those
	// that reach an affected operation through calls.
	Operations []string `json:"operations,omitempty"`
}

// Changes returns the changes from a to b: first each difference in the order of
// the document, then their effect on the capacity of each service. It ignores
// version, parent, author and reason, which always differ.
func Changes(a, b *rules.Set) []Change {
	c := &comparer{
		from:      a.Document(),
		to:        b.Document(),
		callGraph: newCallGraph(a.Document(), b.Document()),
	}
	c.compareRetryBudget()
	c.compareRegions()
	c.compareCallers()
	c.compareServices()
	c.compareLeaving()
	c.compareObjectives()
	c.compareCapacity(a, b)
	return c.changes
}

// comparer collects the changes between two documents.
type comparer struct {
	from      rules.Document
	to        rules.Document
	callGraph callGraph
	changes   []Change
}

func (c *comparer) add(change Change) { c.changes = append(c.changes, change) }

func (c *comparer) compareRetryBudget() {
	if c.from.RetryBudget == c.to.RetryBudget {
		return
	}
	c.add(Change{
		Path: "allowance",
		Text: fmt.Sprintf("a root request gets %d extra attempts instead of %d", c.to.RetryBudget, c.from.RetryBudget),
	})
}

func (c *comparer) compareRegions() {
	forEachPair(c.from.Regions, c.to.Regions, func(r rules.Region) string { return r.Name }, func(name string, before, after *rules.Region) {
		path := "regions." + name
		switch {
		case after == nil:
			c.add(Change{
				Path: path,
				Text: "region " + name + " is removed",
			})
		case before == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("region %s is added with %d data centres", name, len(after.Centres)),
			})
		default:
			for _, text := range listTexts("data centre", before.Centres, after.Centres) {
				c.add(Change{
					Path: path + ".centres",
					Text: "region " + name + " " + text,
				})
			}
		}
	})
}

func (c *comparer) compareCallers() {
	forEachPair(c.from.Callers, c.to.Callers, func(r rules.Caller) string { return r.Name }, func(name string, before, after *rules.Caller) {
		path := "callers." + name
		switch {
		case after == nil:
			c.add(Change{
				Path: path,
				Text: "caller " + name + " is removed, its requests will be refused",
				Warn: true,
			})
		case before == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("caller %s is added with ceiling %s", name, after.Ceiling),
			})
		default:
			c.compareCaller(path, *before, *after)
		}
	})
}

func (c *comparer) compareCaller(path string, before, after rules.Caller) {
	if before.Secret != after.Secret {
		c.add(Change{
			Path: path + ".secret",
			Text: "caller " + before.Name + " gets another secret, requests with the old token will be refused",
			Warn: true,
		})
	}
	if before.Ceiling != after.Ceiling {
		c.add(Change{
			Path: path + ".ceiling",
			Text: fmt.Sprintf("the ceiling of caller %s changes from %s to %s", before.Name, before.Ceiling, after.Ceiling),
			Warn: after.Ceiling < before.Ceiling,
		})
	}
}

func (c *comparer) compareLeaving() {
	for _, name := range c.from.Leaving {
		if !slices.Contains(c.to.Leaving, name) {
			c.addLeaving(name, "is no longer leaving")
		}
	}
	for _, name := range c.to.Leaving {
		if !slices.Contains(c.from.Leaving, name) {
			c.addLeaving(name, "leaves, it gets no new requests")
		}
	}
}

func (c *comparer) addLeaving(name, text string) {
	c.add(Change{
		Path:    "leaving." + name,
		Text:    "target " + name + " " + text,
		Targets: []string{name},
	})
}

func (c *comparer) compareObjectives() {
	forEachPair(c.from.Objectives, c.to.Objectives, func(o rules.Objective) string { return o.Service }, func(name string, before, after *rules.Objective) {
		path := "objectives." + name
		switch {
		case after == nil:
			c.add(Change{
				Path: path,
				Text: "the objective of " + name + " is removed",
			})
		case before == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("%s gets the objective %d in a million within %d ms", name, after.Good, after.Latency),
			})
		default:
			for _, text := range fieldTexts(*before, *after) {
				c.add(Change{
					Path: path,
					Text: "the objective of " + name + ": " + text,
				})
			}
		}
	})
}
