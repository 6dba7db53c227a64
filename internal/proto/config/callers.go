package config

import (
	"maps"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
)

// reach holds, for each operation, those that call it in one of two documents.
type reach map[string][]string

func newReach(docs ...rules.Document) reach {
	r := make(reach)
	for _, doc := range docs {
		for _, service := range doc.Services {
			for _, operation := range service.Operations {
				for _, call := range operation.Calls {
					r[call] = append(r[call], service.Name+"/"+operation.Name)
				}
			}
		}
	}
	return r
}

// all returns the operations at paths and all that reach them, ordered.
func (r reach) all(paths ...string) []string {
	seen := make(map[string]bool)
	for open := slices.Clone(paths); len(open) > 0; {
		path := open[len(open)-1]
		open = open[:len(open)-1]
		if !seen[path] {
			seen[path] = true
			open = append(open, r[path]...)
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
