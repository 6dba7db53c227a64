// Package layer states which packages may import which.
//
// The layers are, from the top: daemon and tools, transport, protocol,
// coordination, state. A package imports its own layer and those below it.
// The test of this package reads the imports of the whole module and fails on
// an import that points upwards.
package layer

import "strings"

// Level orders the layers, lowest first.
type Level int

// Layers, lowest first.
const (
	Public Level = iota
	State
	Coordination
	Protocol
	Transport
	Program
)

// prefixes maps the start of a package path inside the module to its layer.
// The first match counts.
var prefixes = []struct {
	path string
	rank Level
}{
	{
		path: "pkg/",
		rank: Public,
	},
	{
		path: "internal/state/",
		rank: State,
	},
	{
		path: "internal/coord/",
		rank: Coordination,
	},
	{
		path: "internal/proto/",
		rank: Protocol,
	},
	{
		path: "platform/emul/",
		rank: Program,
	},
	{
		path: "platform/",
		rank: Protocol,
	},
	{
		path: "internal/trans/",
		rank: Transport,
	},
}

// Of returns the layer of a package, given its path inside the module.
func Of(path string) Level {
	for _, p := range prefixes {
		if strings.HasPrefix(path+"/", p.path) {
			return p.rank
		}
	}
	return Program
}

// IsAllowed reports whether a package at path from may import one at path to.
func IsAllowed(from, to string) bool { return Of(from) >= Of(to) }
