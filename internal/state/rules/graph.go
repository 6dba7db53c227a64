package rules

import (
	"slices"
	"strings"
)

// graph is the call graph of a document, whether or not the document is valid.
// It leaves out calls to operations that do not exist. Calls that close a cycle
// are recorded in cycles and left out of the rest, which is therefore acyclic.
type graph struct {
	// services holds the names of all services.
	services map[string]bool
	// ops holds the operations by their paths, "service/operation".
	ops map[string]Operation
	// paths holds the paths of the operations in the order of the document.
	paths []string
	// visiting marks the operations that visit has entered but not left.
	visiting map[string]bool
	// cycles holds the description of each cycle, by the call that closes it.
	cycles map[edge]string
	// depth is the number of operations on the longest chain of calls from an
	// operation.
	depth map[string]int
	// deepestCallee is the callee of an operation on its longest chain.
	deepestCallee map[string]string
	// atMostOnce is the path of the first non-idempotent operation that an
	// operation is or may reach.
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

// visit walks the operations reachable from name depth first and records depth,
// deepestCallee and atMostOnce of each after its callees. The trail holds the
// path of calls from the start of the walk to the caller of name.
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

// maxCycleShown is the number of operations of a cycle that its description
// lists.
const maxCycleShown = 2 * MaxDepth

// cycleText describes the cycle from call along the trail and back to call.
func cycleText(trail []string, call string) string {
	loop := trail[slices.Index(trail, call):]
	if len(loop) <= maxCycleShown {
		return strings.Join(loop, " > ") + " > " + call
	}
	return strings.Join(loop[:maxCycleShown], " > ") + " > ... > " + call
}

// cycle returns the description of the cycle that the call closes, or an empty
// string.
func (g *graph) cycle(from, to string) string {
	return g.cycles[edge{
		from: from,
		to:   to,
	}]
}

// chain describes the longest chain of calls from the operation called name.
func (g *graph) chain(name string) string {
	names := []string{name}
	for g.deepestCallee[name] != "" {
		name = g.deepestCallee[name]
		names = append(names, name)
	}
	return strings.Join(names, " > ")
}
