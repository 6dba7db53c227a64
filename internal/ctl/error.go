package ctl

import (
	"errors"
	"fmt"
)

// Kind says what sort of failure an [Error] reports.
type Kind uint8

// Kinds of failures.
const (
	// KindUsage means that the command line is wrong.
	KindUsage Kind = iota + 1
	// KindFile means that a file cannot be read or written.
	KindFile
	// KindRefused means that a document or register is not accepted.
	KindRefused
	// KindFindings means that the report was made and holds something that the
	// operator should look at.
	KindFindings
	// KindPartial means that the report was made without some daemons, since
	// they did not answer.
	KindPartial
	// KindNoAnswer means that a daemon gave no usable answer.
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

// Error is the error type of this package.
type Error struct {
	// Op is the subcommand, or the step of it that failed.
	Op   string
	Kind Kind
	// Err is the cause. It is nil if the report already says all there is to
	// say.
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

// usageError returns an error of kind KindUsage.
func usageError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindUsage,
		Err:  fmt.Errorf(format, args...),
	}
}

// refusedError returns an error of kind KindRefused. The message says why
// nothing was written.
func refusedError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindRefused,
		Err:  fmt.Errorf(format, args...),
	}
}

// findingsError returns an error of kind KindFindings. It has no cause, since
// the report shows the findings.
func findingsError(op string) error {
	return &Error{
		Op:   op,
		Kind: KindFindings,
	}
}

// partialError returns an error of kind KindPartial. It has no cause, since
// the report lists the missing daemons.
func partialError(op string) error {
	return &Error{
		Op:   op,
		Kind: KindPartial,
	}
}

// noAnswerError returns an error of kind KindNoAnswer. The message says why
// the answer is missing or unusable.
func noAnswerError(op, format string, args ...any) error {
	return &Error{
		Op:   op,
		Kind: KindNoAnswer,
		Err:  fmt.Errorf(format, args...),
	}
}

// causeText returns the text of the cause of an [Error], or of err itself if
// it is another error or has no cause.
func causeText(err error) string {
	var ctlErr *Error
	if errors.As(err, &ctlErr) && ctlErr.Err != nil {
		return ctlErr.Err.Error()
	}
	return err.Error()
}
