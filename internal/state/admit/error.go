package admit

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Syntax is a text that is not of the stated form.
	Syntax Kind = iota
	// Range is a value outside its bounds.
	Range
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("admit: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
