package head

import (
	"bytes"
	"strings"
)

// Names of the fields that tell where the body ends, in lower case.
const (
	lengthName   = "content-length"
	encodingName = "transfer-encoding"
)

// checkField checks the line of a field: a name without blanks, a colon right behind
// it, and a value in the same line.
func (c *Checker) checkField(line []byte) error {
	rest, hasReturn := bytes.CutSuffix(line, []byte{'\r'})
	name, value, hasColon := bytes.Cut(rest, []byte{':'})
	if !hasReturn || !hasColon || !isName(name) || !isText(value) {
		return newError(Field, line)
	}
	return c.checkFraming(name, line)
}

// checkFraming checks that not more than one field tells where the body ends, and that
// the version knows it.
func (c *Checker) checkFraming(name, line []byte) error {
	isEncoding := isNamed(name, encodingName)
	if !isEncoding && !isNamed(name, lengthName) {
		return nil
	}
	if c.isFramed || isEncoding && c.isOld {
		return newError(Framing, line)
	}
	c.isFramed = true
	return nil
}

// isNamed reports whether name is the lower-case want in any case.
func isNamed(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// isName reports whether b is the name of a field: a token of RFC 9110.
func isName(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isTokenByte tells for each byte whether a token may have it.
var isTokenByte = tokenBytes("!#$%&'*+-.^_`|~" +
	"0123456789" +
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ" +
	"abcdefghijklmnopqrstuvwxyz")

func tokenBytes(all string) [256]bool {
	var is [256]bool
	for i := range len(all) {
		is[all[i]] = true
	}
	return is
}
