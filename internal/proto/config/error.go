package config

import (
	"errors"
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Operations named by an [Error].
const (
	opParse = "parse configuration"
	opDiff  = "diff configuration"
	opApply = "apply delta"
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// KindTooLarge means that a document is larger than [MaxSize].
	KindTooLarge Kind = iota + 1
	// KindSyntax means that the data is not a single JSON value in UTF-8.
	KindSyntax
	// KindShape means that the fields of the JSON are not those of a document.
	KindShape
	// KindRules means that the document breaks a rule.
	KindRules
	// KindBase means that a delta was made against another document.
	KindBase
	// KindDelta means that a delta is damaged.
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

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Err is the cause.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problems lists the faults of the document that err refuses. An error without a
// list gives one problem without a path, and nil gives none.
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
