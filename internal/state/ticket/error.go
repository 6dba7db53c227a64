package ticket

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Malformed: the text is not the sealed form of a ticket, or its format
	// version is unknown.
	Malformed Kind = iota + 1
	// Forged: the MAC does not verify with any of the keys.
	Forged
	// Oversize: the whole text or a field is too long, or a required field is
	// empty.
	Oversize
	// NoKey: there is no key, or one of them is too short.
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
	// Op is the operation that failed: "keys", "seal", "open" or "match".
	Op string
	// Kind classifies the failure.
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
