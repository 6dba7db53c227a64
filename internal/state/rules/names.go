package rules

import (
	"fmt"
	"strings"
)

// importanceNames holds the text form of each Importance, lowest first.
var importanceNames = [...]string{"spare", "normal", "high", "vital"}

// costNames holds the text form of each Cost.
var costNames = [...]string{"short", "long"}

// String returns the name of i.
func (i Importance) String() string { return nameOf(importanceNames[:], int(i)) }

// IsValid reports whether i is one of the levels.
func (i Importance) IsValid() bool { return int(i) < len(importanceNames) }

// MarshalText returns the name of i, or an *Error of KindName if i is not one
// of the levels.
func (i Importance) MarshalText() ([]byte, error) {
	if !i.IsValid() {
		return nil, nameError("importance", i.String(), importanceNames[:])
	}
	return []byte(i.String()), nil
}

// UnmarshalText sets i from its name. It returns an *Error of KindName if no
// level has that name.
func (i *Importance) UnmarshalText(text []byte) error {
	n, err := parseName("importance", string(text), importanceNames[:])
	if err != nil {
		return err
	}
	*i = Importance(n)
	return nil
}

// String returns the name of c.
func (c Cost) String() string { return nameOf(costNames[:], int(c)) }

// IsValid reports whether c is one of the classes.
func (c Cost) IsValid() bool { return int(c) < len(costNames) }

// MarshalText returns the name of c, or an *Error of KindName if c is not one
// of the classes.
func (c Cost) MarshalText() ([]byte, error) {
	if !c.IsValid() {
		return nil, nameError("cost", c.String(), costNames[:])
	}
	return []byte(c.String()), nil
}

// UnmarshalText sets c from its name. It returns an *Error of KindName if no
// class has that name.
func (c *Cost) UnmarshalText(text []byte) error {
	n, err := parseName("cost", string(text), costNames[:])
	if err != nil {
		return err
	}
	*c = Cost(n)
	return nil
}

func nameOf(names []string, n int) string {
	if n >= len(names) {
		return fmt.Sprintf("unknown(%d)", n)
	}
	return names[n]
}

func parseName(op, text string, names []string) (int, error) {
	for n, name := range names {
		if name == text {
			return n, nil
		}
	}
	return 0, nameError(op, text, names)
}

func nameError(op, text string, names []string) error {
	return &Error{
		Op:   op,
		Kind: KindName,
		Err:  fmt.Errorf("%.40q is not one of %s", text, strings.Join(names, ", ")),
	}
}
