// Package layer defines which packages of the module may import which.
//
// The layers are, from the top: daemon and tools, transport, protocol,
// coordination, state, and the public packages in pkg. A package may import
// packages of its own layer and of those below it. The test of this package
// checks the imports of the whole module.
package layer

import "strings"

// Level identifies a layer. A higher layer has a greater level.
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

// prefixes maps the prefix of a package path inside the module to its layer. The
// first match counts.
var prefixes = []struct {
	path  string
	level Level
}{
	{
		path:  "pkg/",
		level: Public,
	},
	{
		path:  "internal/state/",
		level: State,
	},
	{
		path:  "internal/coord/",
		level: Coordination,
	},
	{
		path:  "internal/proto/",
		level: Protocol,
	},
	{
		path:  "platform/emul/",
		level: Program,
	},
	{
		path:  "platform/",
		level: Protocol,
	},
	{
		path:  "internal/trans/",
		level: Transport,
	},
}

// Of returns the layer of the package at path inside the module. A package
// without a prefix in the list belongs to the highest layer.
func Of(path string) Level {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path+"/", prefix.path) {
			return prefix.level
		}
	}
	return Program
}

// IsAllowed reports whether the package at path from may import the one at path
// to.
func IsAllowed(from, to string) bool { return Of(from) >= Of(to) }
