package rules

import (
	"fmt"
	"strings"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// KindName: a text is not the name of an importance level or a cost class.
	KindName Kind = iota + 1
	// KindInvalid: a document breaks at least one rule.
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
	// Path locates the faulty value, for example
	// services[2].operations[0].calls[1].
	Path string `json:"path"`
	// Text says what is wrong, as a sentence without a full stop.
	Text string `json:"text"`
}

// String returns the path and the text on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Problems holds the problems that [Check] found.
	Problems []Problem
	// Err is the cause when Kind is KindName, otherwise nil.
	Err error
}

// maxProblemsShown is the number of problems that the text of an Error lists.
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
