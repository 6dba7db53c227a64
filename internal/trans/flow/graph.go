package flow

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// edgeLifetime is how long a call counts as part of an operation after it was
// seen last.
const edgeLifetime = 10 * clock.Second

// edge is a call that an operation makes.
type edge struct {
	service string
	path    string
}

// callGraph is the part of the call graph that starts at this host's target, as
// observed from the calls that the target makes.
type callGraph struct {
	mu    sync.Mutex
	calls map[string]map[edge]clock.Milli
}

func newCallGraph() *callGraph {
	return &callGraph{
		calls: make(map[string]map[edge]clock.Milli),
	}
}

// add records that an operation made a call.
func (g *callGraph) add(now clock.Milli, path string, e edge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls[path] == nil {
		g.calls[path] = make(map[edge]clock.Milli)
	}
	g.calls[path][e] = now
}

// recent returns the calls that an operation made within edgeLifetime.
func (g *callGraph) recent(now clock.Milli, path string) []edge {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []edge
	for e, at := range g.calls[path] {
		if now-at >= edgeLifetime {
			delete(g.calls[path], e)
			continue
		}
		found = append(found, e)
	}
	return found
}
