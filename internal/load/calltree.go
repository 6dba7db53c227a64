package load

import (
	"encoding/json"
	"fmt"
)

// Fault says what is wrong with an answer of status 200.
type Fault uint8

// Faults of answers.
const (
	// NoFault is no fault.
	NoFault Fault = iota
	// Crossed means that the answer belongs to another request.
	Crossed
	// Partial means that the answer, or part of it, is missing.
	Partial
)

// String returns the word for f.
func (f Fault) String() string {
	switch f {
	case Crossed:
		return "crossed"
	case Partial:
		return "partial"
	default:
		return "sound"
	}
}

// answer is what a target answers: its request's path and key, and the answers
// to its deeper calls.
type answer struct {
	Path  string   `json:"path"`
	Key   string   `json:"key"`
	Calls []answer `json:"calls"`
}

// check compares the body of an answer with the tree that it should hold.
func (t *CallTree) check(body []byte, key string) Fault {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Partial
	}
	return t.match(a, key)
}

// match checks a and all below it. Targets derive the key of a deeper call
// from their request's key and the call's place in order.
func (t *CallTree) match(a answer, key string) Fault {
	if a.Path != t.Path || a.Key != key {
		return Crossed
	}
	if len(a.Calls) != len(t.Calls) {
		return Partial
	}
	for i, child := range t.Calls {
		if f := child.match(a.Calls[i], fmt.Sprintf("%s.%d", key, i)); f != NoFault {
			return f
		}
	}
	return NoFault
}
