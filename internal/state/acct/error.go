package acct

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unnamed means that an account has no name.
	Unnamed Kind = iota
	// DuplicateName means that two accounts have the same name.
	DuplicateName
	// EmptyKey means that a key of an account is empty.
	EmptyKey
	// DuplicateKey means that two accounts, or one account twice, list a key.
	DuplicateKey
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

func newError(kind Kind, err error) *Error {
	return &Error{
		Op:   "new accounts",
		Kind: kind,
		Err:  err,
	}
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("acct: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
