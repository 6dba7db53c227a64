package ticket

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Malformed: the text is not a ticket of a known version.
	Malformed Kind = iota + 1
	// Forged: the seal does not fit any of the keys.
	Forged
	// Oversize: a field or the whole text is longer than the bound.
	Oversize
	// NoKey: there is no key, or one that is too short.
	NoKey
	// Foreign: the ticket belongs to another caller, operation or target.
	Foreign
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Malformed:
		return "malformed"
	case Forged:
		return "forged"
	case Oversize:
		return "oversize"
	case NoKey:
		return "keyless"
	case Foreign:
		return "foreign"
	}
	return "unnamed"
}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed: "seal", "open" or "match".
	Op string
	// Kind says how.
	Kind Kind
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("ticket: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("ticket: %s: %s: %v", e.Op, e.Kind, e.Err)
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
