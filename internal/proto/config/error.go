package config

import (
	"errors"
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Operations that an [Error] names.
const (
	opParse = "parse configuration"
	opDiff  = "diff configuration"
	opApply = "apply delta"
)

// Kind says what sort of fault an [Error] reports.
type Kind uint8

// Kinds of faults.
const (
	// KindTooLarge is a document above [MaxSize].
	KindTooLarge Kind = iota + 1
	// KindSyntax is data that is not one JSON value.
	KindSyntax
	// KindShape is JSON that does not have the fields of a document.
	KindShape
	// KindRules is a document that breaks a rule.
	KindRules
	// KindBase is a delta that was made against another document.
	KindBase
	// KindDelta is a delta that is damaged.
	KindDelta
)

// String returns the name of k.
func (k Kind) String() string {
	names := [...]string{"none", "too large", "syntax", "shape", "rules", "base", "delta"}
	if int(k) >= len(names) {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return names[k]
}

// Error is the error of this package.
type Error struct {
	// Op is what was attempted.
	Op   string
	Kind Kind
	// Err is the cause.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problems lists what is wrong with the document that err refuses. An error
// without a list is returned as one problem without a path, no error as none.
func Problems(err error) []rules.Problem {
	if err == nil {
		return nil
	}
	var rulesErr *rules.Error
	if errors.As(err, &rulesErr) && len(rulesErr.Problems) > 0 {
		return rulesErr.Problems
	}
	text := err.Error()
	var configErr *Error
	if errors.As(err, &configErr) {
		text = configErr.Err.Error()
	}
	return []rules.Problem{
		{
			Text: text,
		},
	}
}
