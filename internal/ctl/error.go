package ctl

import (
	"errors"
	"fmt"
)

// Kind says what sort of fault an [Error] reports.
type Kind uint8

// Kinds of faults.
const (
	// KindUsage is a command line that the subcommand does not understand.
	KindUsage Kind = iota + 1
	// KindFile is a file that cannot be read or written.
	KindFile
	// KindRefused is a document or register that is refused.
	KindRefused
	// KindFindings says that the report holds something to look at.
	KindFindings
	// KindPartial says that not every daemon answered.
	KindPartial
	// KindNoAnswer is a daemon that gave no usable answer.
	KindNoAnswer
)

// String returns the name of k.
func (k Kind) String() string {
	names := [...]string{"none", "usage", "file", "refused", "findings", "partial", "silent"}
	if int(k) >= len(names) {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return names[k]
}

// Error is the error of this package.
type Error struct {
	// Op is the subcommand.
	Op   string
	Kind Kind
	// Err is the cause, nil if the report has said it all.
	Err error
}

// Error returns the subcommand, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// usageError returns an error that says how the command line is wrong.
func usageError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindUsage,
		Err:  fmt.Errorf(format, args...),
	}
}

// refusedError returns an error that says why nothing was done.
func refusedError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindRefused,
		Err:  fmt.Errorf(format, args...),
	}
}

// findingsError returns the error of a report that has something to look at.
func findingsError(op string) error {
	return &Error{
		Op:   op,
		Kind: KindFindings,
	}
}

// partialError returns the error of a report in which daemons are missing. The
// report itself says which.
func partialError(op string) error {
	return &Error{
		Op:   op,
		Kind: KindPartial,
	}
}

// noAnswerError returns an error that says why a daemon gave no usable answer.
func noAnswerError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindNoAnswer,
		Err:  fmt.Errorf(format, args...),
	}
}

// causeText returns the text of the cause of an Error of this package.
func causeText(err error) string {
	var ctlErr *Error
	if errors.As(err, &ctlErr) && ctlErr.Err != nil {
		return ctlErr.Err.Error()
	}
	return err.Error()
}
