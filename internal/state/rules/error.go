package rules

import (
	"fmt"
	"strings"
)

// Kind says what sort of fault an [Error] reports.
type Kind uint8

// Kinds of faults.
const (
	// KindName is a text that names no importance or cost class.
	KindName Kind = iota + 1
	// KindInvalid is a document that breaks at least one rule.
	KindInvalid
)

// String returns the name of k.
func (k Kind) String() string {
	switch k {
	case KindName:
		return "unknown name"
	case KindInvalid:
		return "invalid document"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Problem is one fault of a document.
type Problem struct {
	// Path locates the fault, as in services[2].operations[0].calls[1].
	Path string `json:"path"`
	// Text is a sentence without a full stop that says what is wrong.
	Text string `json:"text"`
}

// String returns the path and the sentence on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// Error is the error of this package.
type Error struct {
	// Op is what was attempted.
	Op   string
	Kind Kind
	// Problems holds every fault that was found, in the order of the document.
	Problems []Problem
	// Err is the cause where it is not a list of problems.
	Err error
}

// maxProblemsShown is the number of problems that the text of an Error spells out.
const maxProblemsShown = 3

// Error returns the operation, the kind and the first few problems.
func (e *Error) Error() string {
	if e.Err != nil {
		return e.Op + ": " + e.Err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Op, e.Kind)
	for n, p := range e.Problems {
		if n == maxProblemsShown {
			fmt.Fprintf(&b, "; and %d more", len(e.Problems)-n)
			break
		}
		b.WriteString("; " + p.String())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
