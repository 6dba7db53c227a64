package config

import (
	"maps"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
)

// callGraph maps the path of each operation to the operations that call it in at
// least one of the documents.
type callGraph map[string][]string

func newCallGraph(docs ...rules.Document) callGraph {
	g := make(callGraph)
	for _, doc := range docs {
		for _, service := range doc.Services {
			for _, operation := range service.Operations {
				for _, call := range operation.Calls {
					g[call] = append(g[call], service.Name+"/"+operation.Name)
				}
			}
		}
	}
	return g
}

// withCallers returns the operations at paths and all their direct and indirect
// callers, sorted.
func (g callGraph) withCallers(paths ...string) []string {
	seen := make(map[string]bool)
	for pending := slices.Clone(paths); len(pending) > 0; {
		path := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if !seen[path] {
			seen[path] = true
			pending = append(pending, g[path]...)
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
