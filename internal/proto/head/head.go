// Package head checks the heads of HTTP/1.1 answers more strictly than HTTP
// libraries do.
//
// A library accepts heads that the standard (RFC 9110, RFC 9112) doesn't allow and
// makes something of them: it takes the status 000 for 200, for example. The sender
// of such a head is broken, so nothing in it can be trusted, and another reader may
// make something else of it. Whoever reads answers therefore passes the bytes of
// each head through a [Checker] before a library parses them, or through a [Stream]
// where the library reads the connection itself. What fails is no answer.
package head

import "bytes"

// Checker checks one head. The zero value is ready for use.
type Checker struct {
	status int
	// isOld is set for a version before 1.1.
	isOld bool
	// isFramed is set once a field has told where the body ends.
	isFramed bool
	// isTrailer is set if there is no status line.
	isTrailer  bool
	isComplete bool
}

// Trailer returns a checker of the fields behind a body in chunks.
func Trailer() *Checker {
	return &Checker{
		isTrailer: true,
	}
}

// IsComplete reports whether the last line of the head was checked.
func (c *Checker) IsComplete() bool { return c.isComplete }

// Status returns the status, 0 before its line was checked.
func (c *Checker) Status() int { return c.status }

// IsInterim reports whether another head follows the checked one.
func (c *Checker) IsInterim() bool { return c.status < statusOK }

// Check checks the complete lines with which b begins, up to the end of the head, and
// returns their length in bytes. The caller passes the bytes behind them again, with
// what has arrived since. Errors are of type [*Error].
func (c *Checker) Check(b []byte) (int, error) {
	checked := 0
	for !c.isComplete {
		line, _, found := bytes.Cut(b[checked:], []byte{'\n'})
		if !found {
			break
		}
		checked += len(line) + 1
		if err := c.checkLine(line); err != nil {
			return checked, err
		}
	}
	return checked, nil
}

// checkLine checks one line, which is without its line feed.
func (c *Checker) checkLine(line []byte) error {
	isEmpty := string(line) == "\r"
	isFirst := c.status == 0 && !c.isTrailer
	switch {
	case isEmpty:
		c.isComplete = !isFirst
		return nil
	case isFirst:
		return c.checkStatusLine(line)
	}
	return c.checkField(line)
}
