package load

import (
	"crypto/sha256"
	"encoding/hex"

	"siskinswitch.example/siskin/internal/state/rules"
)

// CallOf returns the call to the operation at path with the deadline and the
// downstream calls that the rules define. Its importance is that of the
// operation, capped by the ceiling of the caller that token belongs to. It
// returns false if the rules define no such operation.
func CallOf(set *rules.Set, path, token string, weight int) (Call, bool) {
	op, ok := set.Op(path)
	if !ok {
		return Call{}, false
	}
	importance := op.Importance
	sum := sha256.Sum256([]byte(token))
	if caller, known := set.Caller(hex.EncodeToString(sum[:])); known {
		importance = min(importance, caller.Ceiling)
	}
	return Call{
		Path:       path,
		Token:      token,
		Importance: importance,
		Deadline:   op.Deadline,
		Weight:     weight,
		Tree:       CallTreeOf(set, path),
	}, true
}

// CallTreeOf returns the tree of downstream calls that the rules define for an
// operation.
func CallTreeOf(set *rules.Set, path string) *CallTree {
	t := &CallTree{
		Path: path,
	}
	if op, ok := set.Op(path); ok {
		for _, child := range op.Calls {
			t.Calls = append(t.Calls, CallTreeOf(set, child))
		}
	}
	return t
}

// Depth returns the number of levels of the tree, 1 for a call without
// downstream calls.
func (t *CallTree) Depth() int {
	deepest := 0
	for _, c := range t.Calls {
		deepest = max(deepest, c.Depth())
	}
	return 1 + deepest
}
