package peer

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// escapeMark begins an escaped byte, which follows as two hexadecimal digits.
	escapeMark = '%'
	hexDigits  = "0123456789abcdef"
)

// isPlain reports whether a byte stands for itself in a value of a header field whose
// values are separated by commas.
func isPlain(b byte) bool { return b > ' ' && b < 0x7f && b != ',' && b != escapeMark }

// escape returns s with all bytes escaped that a value can't hold. Usual names are
// returned as they are.
func escape(s string) string {
	n := 0
	for i := range len(s) {
		if !isPlain(s[i]) {
			n++
		}
	}
	if n == 0 {
		return s
	}
	var b strings.Builder
	b.Grow(len(s) + 2*n)
	for i := range len(s) {
		if isPlain(s[i]) {
			b.WriteByte(s[i])
			continue
		}
		b.WriteByte(escapeMark)
		b.WriteByte(hexDigits[s[i]>>4])
		b.WriteByte(hexDigits[s[i]&0xf])
	}
	return b.String()
}

// unescape reverses escape.
func unescape(s string) (string, error) {
	if strings.IndexByte(s, escapeMark) < 0 {
		return s, nil
	}
	var b strings.Builder
	b.Grow(len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != escapeMark {
			b.WriteByte(s[i])
			continue
		}
		if len(s)-i < 3 {
			return "", fmt.Errorf("%q ends in an escape", s)
		}
		v, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", fmt.Errorf("%q has an invalid escape", s)
		}
		b.WriteByte(byte(v))
		i += 2
	}
	return b.String(), nil
}
