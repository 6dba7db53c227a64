package config

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

func (c *comparer) compareServices() {
	pairs(c.from.Services, c.to.Services, func(s rules.Service) string { return s.Name }, func(name string, x, y *rules.Service) {
		path := "services." + name
		switch {
		case y == nil:
			c.add(Change{
				Path:       path,
				Text:       "service " + name + " is removed with all its operations and instances",
				Warn:       true,
				Targets:    targetsOf(*x),
				Operations: c.reach.all(operationsOf(*x)...),
			})
		case x == nil:
			c.add(Change{
				Path: path,
				Text: fmt.Sprintf("service %s of %s is added with %d operations and %d instances",
					name, y.Owner, len(y.Operations), len(y.Instances)),
				Targets:    targetsOf(*y),
				Operations: c.reach.all(operationsOf(*y)...),
			})
		default:
			c.compareService(path, *x, *y)
		}
	})
}

func (c *comparer) compareService(path string, x, y rules.Service) {
	if x.Owner != y.Owner {
		c.add(Change{
			Path: path + ".owner",
			Text: fmt.Sprintf("service %s passes from %s to %s", x.Name, x.Owner, y.Owner),
		})
	}
	pairs(x.Operations, y.Operations, func(o rules.Operation) string { return o.Name }, func(name string, before, after *rules.Operation) {
		c.compareOperation(path+".operations."+name, x.Name+"/"+name, before, after)
	})
	pairs(x.Instances, y.Instances, func(n rules.Instance) string { return n.Name }, func(name string, before, after *rules.Instance) {
		c.compareInstance(path+".instances."+name, y, before, after)
	})
}

func (c *comparer) compareOperation(path, name string, x, y *rules.Operation) {
	change := Change{
		Path:       path,
		Operations: c.reach.all(name),
	}
	switch {
	case y == nil:
		change.Text = "operation " + name + " is removed, calls of it will be refused"
		change.Warn = true
	case x == nil:
		change.Text = fmt.Sprintf("operation %s is added with importance %s and a deadline of %d ms", name, y.Importance, y.Deadline)
	default:
		texts := append(fieldTexts(*x, *y), listTexts("call", x.Calls, y.Calls)...)
		if len(texts) == 0 {
			return
		}
		change.Text = "operation " + name + ": " + strings.Join(texts, ", ")
	}
	c.add(change)
	if x != nil && y != nil {
		c.warnOperation(change, name, *x, *y)
	}
}

// warnOperation adds what a changed operation means for its callers.
func (c *comparer) warnOperation(change Change, name string, x, y rules.Operation) {
	change.Warn = true
	if x.AtMostOnce && !y.AtMostOnce {
		change.Text = name + " is no longer once-only, so it may be run again"
		c.add(change)
	}
	if !x.AtMostOnce && y.AtMostOnce {
		change.Text = name + " becomes once-only, so its callers need tickets"
		c.add(change)
	}
	if y.Importance < x.Importance {
		change.Text = fmt.Sprintf("%s falls from %s to %s, so it is shed earlier", name, x.Importance, y.Importance)
		c.add(change)
	}
	if y.Deadline*2 <= x.Deadline {
		change.Text = fmt.Sprintf("%s must finish in %d ms instead of %d ms", name, y.Deadline, x.Deadline)
		c.add(change)
	}
}

func (c *comparer) compareInstance(path string, service rules.Service, x, y *rules.Instance) {
	change := Change{
		Path:       path,
		Operations: c.reach.all(operationsOf(service)...),
	}
	switch {
	case y == nil:
		change.Targets = []string{x.Name}
		change.Text = fmt.Sprintf("target %s in %s is removed with its %d slots", x.Name, x.Place, x.Slots)
	case x == nil:
		change.Targets = []string{y.Name}
		change.Text = fmt.Sprintf("target %s in %s is added with %d slots", y.Name, y.Place, y.Slots)
	default:
		texts := fieldTexts(*x, *y)
		if len(texts) == 0 {
			return
		}
		change.Targets = []string{x.Name}
		change.Text = "target " + x.Name + ": " + strings.Join(texts, ", ")
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
