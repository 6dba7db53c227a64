package rules

import (
	"slices"
	"strings"
)

// graph is the call graph of a document, good or bad. Calls to operations
// that do not exist are left out of it, and so are the calls that close a
// cycle once the cycles are found; what remains has an end on every path.
type graph struct {
	services map[string]bool
	ops      map[string]Operation
	// paths holds the paths of the operations in the paths of the document.
	paths []string
	// visiting marks the operations between the start of a walk and its end.
	visiting map[string]bool
	// cycles holds the text of each cycle by the call that closes it.
	cycles map[edge]string
	// depth is the number of operations on the longest chain from an operation.
	depth map[string]int
	// deepestCallee is the callee on that longest chain.
	deepestCallee map[string]string
	// atMostOnce is the first atMostOnce-only operation that an operation is or reaches.
	atMostOnce map[string]string
}

// edge is a call from one operation to another.
type edge struct {
	from string
	to   string
}

func newGraph(doc Document) *graph {
	g := &graph{
		services:      make(map[string]bool),
		ops:           make(map[string]Operation),
		visiting:      make(map[string]bool),
		cycles:        make(map[edge]string),
		depth:         make(map[string]int),
		deepestCallee: make(map[string]string),
		atMostOnce:    make(map[string]string),
	}
	for _, service := range doc.Services {
		g.services[service.Name] = true
		for _, operation := range service.Operations {
			name := service.Name + "/" + operation.Name
			if _, ok := g.ops[name]; ok {
				continue
			}
			g.ops[name] = operation
			g.paths = append(g.paths, name)
		}
	}
	for _, name := range g.paths {
		g.visit(name, nil)
	}
	return g
}

// visit measures name after all that it calls. The trail holds the operations
// from the start of the walk down to the caller of name.
func (g *graph) visit(name string, trail []string) {
	if g.depth[name] > 0 {
		return
	}
	trail = append(trail, name)
	g.visiting[name] = true
	operation := g.ops[name]
	depth := 1
	if operation.AtMostOnce {
		g.atMostOnce[name] = name
	}
	for _, call := range operation.Calls {
		if _, ok := g.ops[call]; !ok {
			continue
		}
		if g.visiting[call] {
			g.cycles[edge{
				from: name,
				to:   call,
			}] = cycleText(trail, call)
			continue
		}
		g.visit(call, trail)
		if g.atMostOnce[name] == "" {
			g.atMostOnce[name] = g.atMostOnce[call]
		}
		if g.depth[call]+1 > depth {
			depth = g.depth[call] + 1
			g.deepestCallee[name] = call
		}
	}
	g.depth[name] = depth
	g.visiting[name] = false
}

// maxCycleShown is the number of operations of a cycle that its text spells out.
const maxCycleShown = 2 * MaxDepth

// cycleText spells out the cycle from call along the trail and back to call.
func cycleText(trail []string, call string) string {
	loop := trail[slices.Index(trail, call):]
	if len(loop) <= maxCycleShown {
		return strings.Join(loop, " > ") + " > " + call
	}
	return strings.Join(loop[:maxCycleShown], " > ") + " > ... > " + call
}

// cycle returns the cycle that the call closes, or an empty text.
func (g *graph) cycle(from, to string) string {
	return g.cycles[edge{
		from: from,
		to:   to,
	}]
}

// chain returns the longest chain of calls from an operation.
func (g *graph) chain(name string) string {
	names := []string{name}
	for g.deepestCallee[name] != "" {
		name = g.deepestCallee[name]
		names = append(names, name)
	}
	return strings.Join(names, " > ")
}
