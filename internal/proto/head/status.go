package head

import "bytes"

// Statuses that the standard defines, and the first final one.
const (
	minStatus = 100
	maxStatus = 599
	statusOK  = 200
	// statusSwitching announces another protocol, which a daemon never asks for.
	statusSwitching = 101
)

const (
	// protocol begins each status line; the minor version follows.
	protocol = "HTTP/1."
	// maxMinor is the last minor version that there is.
	maxMinor     = 1
	statusDigits = 3
)

// checkStatusLine checks the first line of a head: the protocol, one blank, the status,
// and the end or one blank and the reason.
func (c *Checker) checkStatusLine(line []byte) error {
	rest, hasReturn := bytes.CutSuffix(line, []byte{'\r'})
	rest, hasProtocol := bytes.CutPrefix(rest, []byte(protocol))
	version, rest, hasStatus := bytes.Cut(rest, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	status, isNumber := number(code, statusDigits)
	minor, isVersion := number(version, 1)
	switch {
	case !hasReturn, !hasProtocol, !hasStatus, !isVersion, !isNumber, !isText(reason),
		minor > maxMinor, status < minStatus, status > maxStatus, status == statusSwitching:
		return newError(StatusLine, line)
	}
	c.status = status
	c.isOld = minor == 0
	return nil
}

// number returns the value of b and whether it has the given number of digits and
// nothing else.
func number(b []byte, digits int) (int, bool) {
	n := 0
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int(d-'0')
	}
	return n, len(b) == digits
}

// isText reports whether b has no control bytes other than tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
