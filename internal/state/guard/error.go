package guard

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// NotClosed: the table has not been closed, so it cannot be exported.
	NotClosed Kind = iota + 1
	// Malformed: the parts of a handover contradict each other, or a part
	// number is out of range.
	Malformed
	// NoRoom: the handover store has no room for the part.
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
	// Kind classifies the failure.
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
