package head

import "fmt"

// Kind tells which part of a head is broken.
type Kind uint8

// Kinds of errors.
const (
	// StatusLine means that the first line is no status line, or that its status is
	// none.
	StatusLine Kind = iota
	// Field means that a line behind it is not a name, a colon and a value.
	Field
	// Framing means that the end of the body is told twice, or in a way that the
	// version does not know.
	Framing
)

var kindNames = [...]string{"status line", "field", "framing"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unnamed"
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Line is the broken line, or its beginning.
	Line string
}

// Error returns the operation, the kind and the line.
func (e *Error) Error() string { return fmt.Sprintf("head: %s: malformed %s %q", e.Op, e.Kind, e.Line) }

// maxQuoted is the number of bytes of a broken line that an error has.
const maxQuoted = 80

func newError(kind Kind, line []byte) error {
	return &Error{
		Op:   "check an answer",
		Kind: kind,
		Line: string(line[:min(len(line), maxQuoted)]),
	}
}
