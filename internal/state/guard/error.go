package guard

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// NotClosed: the table has not been closed, so it cannot be handed over.
	NotClosed Kind = iota + 1
	// Malformed: a hand-over contradicts itself or its other parts.
	Malformed
	// NoRoom: the shelf has no room for a hand-over.
	NoRoom
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case NotClosed:
		return "open"
	case Malformed:
		return "malformed"
	case NoRoom:
		return "crowded"
	}
	return "unnamed"
}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed: "export" or "import".
	Op string
	// Kind says how.
	Kind Kind
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("guard: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("guard: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, kind Kind, err error) *Error {
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
