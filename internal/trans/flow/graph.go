package flow

import (
	"sync"

	"siskinswitch.example/siskin/pkg/clock"
)

// edgeTime is how long a call that is no longer seen counts as part of the
// operation that made it.
const edgeTime = 10 * clock.Second

// edge is a call that an operation makes.
type edge struct {
	service string
	path    string
}

// edges is the part of the call graph that begins at the target of this host,
// as its calls show it.
type edges struct {
	mu    sync.Mutex
	calls map[string]map[edge]clock.Milli
}

func newEdges() *edges {
	return &edges{
		calls: make(map[string]map[edge]clock.Milli),
	}
}

// add records that an operation made a call.
func (g *edges) add(now clock.Milli, path string, e edge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls[path] == nil {
		g.calls[path] = make(map[edge]clock.Milli)
	}
	g.calls[path][e] = now
}

// of returns the calls that an operation has made of late.
func (g *edges) of(now clock.Milli, path string) []edge {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []edge
	for e, at := range g.calls[path] {
		if now-at >= edgeTime {
			delete(g.calls[path], e)
			continue
		}
		list = append(list, e)
	}
	return list
}
