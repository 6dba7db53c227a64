package config

import (
	"fmt"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Change is one difference between two documents, in words.
type Change struct {
	// Path locates what changes by names, as in
	// services.payment.instances.payment-1.
	Path string `json:"path"`
	// Text is a sentence without a full stop.
	Text string `json:"text"`
	// Warn marks a change that may refuse or slow requests, or weaken a promise.
	Warn bool `json:"warn,omitempty"`
	// Targets are the names of the targets that the change touches.
	Targets []string `json:"targets,omitempty"`
	// Operations are the paths of the operations that the change touches,
	// together with those that reach them through calls.
	Operations []string `json:"operations,omitempty"`
}

// Changes returns what b changes over a: first each difference in the order
// of the document, then what the differences add up to for the capacity of
// each service. Version, parent, author and reason are left out, as they
// always differ.
func Changes(a, b *rules.Set) []Change {
	c := &comparer{
		from:  a.Document(),
		to:    b.Document(),
		reach: newReach(a.Document(), b.Document()),
	}
	c.compareAllowance()
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
	from    rules.Document
	to      rules.Document
	reach   reach
	changes []Change
}

func (c *comparer) add(change Change) { c.changes = append(c.changes, change) }

func (c *comparer) compareAllowance() {
	if c.from.RetryBudget == c.to.RetryBudget {
		return
	}
	c.add(Change{
		Path: "allowance",
		Text: fmt.Sprintf("a root request gets %d extra attempts instead of %d", c.to.RetryBudget, c.from.RetryBudget),
	})
}

func (c *comparer) compareRegions() {
	pairs(c.from.Regions, c.to.Regions, func(r rules.Region) string { return r.Name }, func(name string, x, y *rules.Region) {
		path := "regions." + name
		switch {
		case y == nil:
			c.add(Change{
				Path: path,
				Text: "region " + name + " is removed",
			})
		case x == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("region %s is added with %d data centres", name, len(y.Centres)),
			})
		default:
			for _, text := range listTexts("data centre", x.Centres, y.Centres) {
				c.add(Change{
					Path: path + ".centres",
					Text: "region " + name + " " + text,
				})
			}
		}
	})
}

func (c *comparer) compareCallers() {
	pairs(c.from.Callers, c.to.Callers, func(r rules.Caller) string { return r.Name }, func(name string, x, y *rules.Caller) {
		path := "callers." + name
		switch {
		case y == nil:
			c.add(Change{
				Path: path,
				Text: "caller " + name + " is removed, its requests will be refused",
				Warn: true,
			})
		case x == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("caller %s is added with ceiling %s", name, y.Ceiling),
			})
		default:
			c.compareCaller(path, *x, *y)
		}
	})
}

func (c *comparer) compareCaller(path string, x, y rules.Caller) {
	if x.Secret != y.Secret {
		c.add(Change{
			Path: path + ".secret",
			Text: "caller " + x.Name + " gets another secret, requests with the old token will be refused",
			Warn: true,
		})
	}
	if x.Ceiling != y.Ceiling {
		c.add(Change{
			Path: path + ".ceiling",
			Text: fmt.Sprintf("the ceiling of caller %s changes from %s to %s", x.Name, x.Ceiling, y.Ceiling),
			Warn: y.Ceiling < x.Ceiling,
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
	pairs(c.from.Objectives, c.to.Objectives, func(o rules.Objective) string { return o.Service }, func(name string, x, y *rules.Objective) {
		path := "objectives." + name
		switch {
		case y == nil:
			c.add(Change{
				Path: path,
				Text: "the objective of " + name + " is removed",
			})
		case x == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("%s gets the objective %d in a million within %d ms", name, y.Good, y.Latency),
			})
		default:
			for _, text := range fieldTexts(*x, *y) {
				c.add(Change{
					Path: path,
					Text: "the objective of " + name + ": " + text,
				})
			}
		}
	})
}
