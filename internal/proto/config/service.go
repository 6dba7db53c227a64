package config

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

func (c *comparer) compareServices() {
	forEachPair(c.from.Services, c.to.Services, func(s rules.Service) string { return s.Name }, func(name string, before, after *rules.Service) {
		path := "services." + name
		switch {
		case after == nil:
			c.add(Change{
				Path:       path,
				Text:       "service " + name + " is removed with all its operations and instances",
				Warn:       true,
				Targets:    targetsOf(*before),
				Operations: c.callGraph.withCallers(operationsOf(*before)...),
			})
		case before == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("service %s of %s is added with %d operations and %d instances",
					name, after.Owner, len(after.Operations), len(after.Instances)),
				Targets:    targetsOf(*after),
				Operations: c.callGraph.withCallers(operationsOf(*after)...),
			})
		default:
			c.compareService(path, *before, *after)
		}
	})
}

func (c *comparer) compareService(path string, from, to rules.Service) {
	if from.Owner != to.Owner {
		c.add(Change{
			Path: path + ".owner",
			Text: fmt.Sprintf("service %s passes from %s to %s", from.Name, from.Owner, to.Owner),
		})
	}
	forEachPair(from.Operations, to.Operations, func(o rules.Operation) string { return o.Name }, func(name string, before, after *rules.Operation) {
		c.compareOperation(path+".operations."+name, from.Name+"/"+name, before, after)
	})
	forEachPair(from.Instances, to.Instances, func(n rules.Instance) string { return n.Name }, func(name string, before, after *rules.Instance) {
		c.compareInstance(path+".instances."+name, to, before, after)
	})
}

func (c *comparer) compareOperation(path, name string, before, after *rules.Operation) {
	change := Change{
		Path:       path,
		Operations: c.callGraph.withCallers(name),
	}
	switch {
	case after == nil:
		change.Text = "operation " + name + " is removed, calls of it will be refused"
		change.Warn = true
	case before == nil:
		change.Text = fmt.Sprintf("operation %s is added with importance %s and a deadline of %d ms", name, after.Importance, after.Deadline)
	default:
		texts := append(fieldTexts(*before, *after), listTexts("call", before.Calls, after.Calls)...)
		if len(texts) == 0 {
			return
		}
		change.Text = "operation " + name + ": " + strings.Join(texts, ", ")
	}
	c.add(change)
	if before != nil && after != nil {
		c.warnOperation(change, name, *before, *after)
	}
}

// warnOperation adds warnings about the effects of a changed operation on its
// callers.
func (c *comparer) warnOperation(change Change, name string, before, after rules.Operation) {
	change.Warn = true
	if before.AtMostOnce && !after.AtMostOnce {
		change.Text = name + " is no longer once-only, so it may be run again"
		c.add(change)
	}
	if !before.AtMostOnce && after.AtMostOnce {
		change.Text = name + " becomes once-only, so its callers need tickets"
		c.add(change)
	}
	if after.Importance < before.Importance {
		change.Text = fmt.Sprintf("%s falls from %s to %s, so it is shed earlier", name, before.Importance, after.Importance)
		c.add(change)
	}
	if after.Deadline*2 <= before.Deadline {
		change.Text = fmt.Sprintf("%s must finish in %d ms instead of %d ms", name, after.Deadline, before.Deadline)
		c.add(change)
	}
}

func (c *comparer) compareInstance(path string, service rules.Service, before, after *rules.Instance) {
	change := Change{
		Path:       path,
		Operations: c.callGraph.withCallers(operationsOf(service)...),
	}
	switch {
	case after == nil:
		change.Targets = []string{before.Name}
		change.Text = fmt.Sprintf("target %s in %s is removed with its %d slots", before.Name, before.Place, before.Slots)
	case before == nil:
		change.Targets = []string{after.Name}
		change.Text = fmt.Sprintf("target %s in %s is added with %d slots", after.Name, after.Place, after.Slots)
	default:
		texts := fieldTexts(*before, *after)
		if len(texts) == 0 {
			return
		}
		change.Targets = []string{before.Name}
		change.Text = "target " + before.Name + ": " + strings.Join(texts, ", ")
	}
	c.add(change)
}

func targetsOf(service rules.Service) []string {
	names := make([]string, 0, len(service.Instances))
	for _, instance := range service.Instances {
		names = append(names, instance.Name)
	}
	return names
}

func operationsOf(service rules.Service) []string {
	paths := make([]string, 0, len(service.Operations))
	for _, operation := range service.Operations {
		paths = append(paths, service.Name+"/"+operation.Name)
	}
	return paths
}
