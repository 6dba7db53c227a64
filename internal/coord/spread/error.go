package spread

// Kind classifies why a value was refused.
type Kind uint8

// Kinds of refusal.
const (
	// Invalid is a value that failed the check.
	Invalid Kind = iota + 1
	// Old is a value with a lower version than the active one, such as a
	// replayed one.
	Old
	// Fork is a value with the active version but a different digest.
	Fork
	// Orphan is a next version whose predecessor is not the active value, or a
	// later version whose predecessor was refused.
	Orphan
	// Damaged is a delta that does not apply or does not yield the value that
	// it names.
	Damaged
)

// String returns the lower-case name of k, or "none" for any other value.
func (k Kind) String() string {
	switch k {
	case Invalid:
		return "invalid"
	case Old:
		return "old"
	case Fork:
		return "fork"
	case Orphan:
		return "orphan"
	case Damaged:
		return "damaged"
	default:
		return "none"
	}
}

// Error is the error of a refused value.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
