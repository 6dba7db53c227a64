package load

import (
	"encoding/json"
	"fmt"
)

// Fault is a defect of an answer of status 200.
type Fault uint8

// Faults of answers.
const (
	// NoFault means that the answer is complete and belongs to the request.
	NoFault Fault = iota
	// Crossed means that the answer belongs to another request.
	Crossed
	// Partial means that the answer or a part of it is missing.
	Partial
)

// String returns the name that reports use.
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

// answer is the body that a fake target sends: the path and key of its request
// and the answers to its downstream calls.
type answer struct {
	Path  string   `json:"path"`
	Key   string   `json:"key"`
	Calls []answer `json:"calls"`
}

// check compares the body of an answer with the expected tree.
func (t *CallTree) check(body []byte, key string) Fault {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Partial
	}
	return t.match(a, key)
}

// match checks a and all answers below it. A target derives the key of a
// downstream call from the key of its request and the position of the call.
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
