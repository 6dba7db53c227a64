package flow

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// edgeLifetime is how long a call that is no longer seen counts as part of the
// operation that made it.
const edgeLifetime = 10 * clock.Second

// edge is a call that an operation makes.
type edge struct {
	service string
	path    string
}

// callGraph is the part of the call graph that begins at the target of this host,
// as its calls show it.
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

// recent returns the calls that an operation has made recent late.
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
