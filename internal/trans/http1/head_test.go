package http1

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	echoLine   = "Request-Id: 1\r\n"
	lengthLine = "Content-Length: 3\r\n"
)

// Guards against an answer whose status is none and that reaches the caller as a
// success (MIXED). The end of the connection makes no difference.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	const rest = "\r\n" + echoLine + lengthLine + "\r\nabc"
	testBroken(t, map[string]string{
		"000":                     "HTTP/1.1 000 OK" + rest,
		"000 without a reason":    "HTTP/1.1 000" + rest,
		"001":                     "HTTP/1.1 001 OK" + rest,
		"099":                     "HTTP/1.1 099 OK" + rest,
		"600":                     "HTTP/1.1 600 OK" + rest,
		"999":                     "HTTP/1.1 999 OK" + rest,
		"two digits":              "HTTP/1.1 20 OK" + rest,
		"four digits":             "HTTP/1.1 2000 OK" + rest,
		"a sign":                  "HTTP/1.1 +20 OK" + rest,
		"letters":                 "HTTP/1.1 2OO OK" + rest,
		"none":                    "HTTP/1.1 OK" + rest,
		"empty":                   "HTTP/1.1  OK" + rest,
		"two blanks before":       "HTTP/1.1  200 OK" + rest,
		"a tab before":            "HTTP/1.1\t200 OK" + rest,
		"a tab behind":            "HTTP/1.1 200\tOK" + rest,
		"a control byte behind":   "HTTP/1.1 200 O\x00K" + rest,
		"a return in the reason":  "HTTP/1.1 200 O\rK" + rest,
		"a return at the end":     "HTTP/1.1 200 OK\r" + rest,
		"ended by a line feed":    "HTTP/1.1 200 OK\n" + rest[2:],
		"101":                     "HTTP/1.1 101 Switching Protocols" + rest,
		"000 after an interim":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + rest,
		"000 after another's":     "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 OK" + rest,
		"another version":         "HTTP/2.0 200 OK" + rest,
		"version 1.2":             "HTTP/1.2 200 OK\r\n" + echoLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"version 0.9":             "HTTP/0.9 200 OK" + rest,
		"another protocol":        "HTTQ/1.1 200 OK" + rest,
		"a blank before":          " HTTP/1.1 200 OK" + rest,
		"a byte before":           "\x00HTTP/1.1 200 OK" + rest,
		"no version":              "HTTP 200 OK" + rest,
		"a version without a dot": "HTTP/11 200 OK" + rest,
	})
}

// Guards against an answer with a name of a field that is none, whose line is passed on
// or hides where the body ends (MIXED).
func TestBrokenFieldIsNoAnswer(t *testing.T) {
	const head = statusLine + echoLine
	answers := map[string]string{
		"a blank in the name of the length":         head + "Content Length: 3\r\n\r\nabc",
		"a blank behind the name of the length":     head + "Content-Length : 3\r\n\r\nabc",
		"a tab behind the name of the length":       head + "Content-Length\t: 3\r\n\r\nabc",
		"a blank before the name of the length":     head + " Content-Length: 3\r\n\r\nabc",
		"a tab before the name of the length":       head + "\tContent-Length: 3\r\n\r\nabc",
		"a blank before the length, behind a field": head + "X-A: b\r\n Content-Length: 3\r\n\r\nabcdef",
		"a tab before the length, behind a field":   head + "X-A: b\r\n\tContent-Length: 3\r\n\r\nabcdef",
		"a blank before the first name":             statusLine + " X-A: b\r\n" + echoLine + lengthLine + "\r\nabc",
		"a continued value":                         head + "X-A: b\r\n c\r\n" + lengthLine + "\r\nabc",
		"a line of blanks":                          head + "X-A: b\r\n  \r\n" + lengthLine + "\r\nabc",
		"a blank behind the name of the encoding":   head + "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"no name":                               head + ": b\r\n" + lengthLine + "\r\nabc",
		"a blank for a name":                    head + " : b\r\n" + lengthLine + "\r\nabc",
		"no colon":                              head + "X-A\r\n" + lengthLine + "\r\nabc",
		"ended by a line feed":                  head + "X-A: b\n" + lengthLine + "\r\nabc",
		"a line feed in the name":               head + "X-\nA: b\r\n" + lengthLine + "\r\nabc",
		"a return in the name":                  head + "X-\rA: b\r\n" + lengthLine + "\r\nabc",
		"a return in the value":                 head + "X-A: b\rc\r\n" + lengthLine + "\r\nabc",
		"a return at the end of the value":      head + "X-A: b\r\r\n" + lengthLine + "\r\nabc",
		"a control byte in the value":           head + "X-A: b\x00c\r\n" + lengthLine + "\r\nabc",
		"a deletion in the value":               head + "X-A: b\x7fc\r\n" + lengthLine + "\r\nabc",
		"a blank in a name after an interim":    "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "X A: b\r\n" + lengthLine + "\r\nabc",
		"a blank in a name of an interim":       "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + head + lengthLine + "\r\nabc",
		"a blank in a name of a trailer":        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX A: b\r\n\r\n",
		"a control byte in a name of a trailer": head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX\x01A: b\r\n\r\n",
		"a blank before a name of a trailer":    head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-A: b\r\n X-B: c\r\n\r\n",
		"a length and an encoding":              head + lengthLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"an encoding and a length":              head + "Transfer-Encoding: chunked\r\n" + lengthLine + "\r\n3\r\nabc\r\n0\r\n\r\n",
		"an encoding of version 1.0":            "HTTP/1.0 200 OK\r\n" + echoLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"two lengths":                           head + lengthLine + "Content-Length: 2\r\n\r\nabc",
		"a list of lengths":                     head + "Content-Length: 3, 2\r\n\r\nabc",
		"a length with a sign":                  head + "Content-Length: +3\r\n\r\nabc",
		"a negative length":                     head + "Content-Length: -2\r\n\r\nabc",
		"an empty length":                       head + "Content-Length:\r\n\r\nabc",
		"a length beyond all numbers":           head + "Content-Length: 18446744073709551619\r\n\r\nabc",
		"two encodings":                         head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"another encoding":                      head + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	}
	for b := range 256 {
		c := byte(b)
		if isNameByte(c) || c == ':' {
			continue
		}
		name := "byte " + string("0123456789abcdef"[c>>4]) + string("0123456789abcdef"[c&15])
		answers[name+" in a name"] = head + "X-" + string([]byte{c}) + "A: b\r\n" + lengthLine + "\r\nabc"
		answers[name+" at the end of a name"] = head + "X-A" + string([]byte{c}) + ": b\r\n" + lengthLine + "\r\nabc"
		answers[name+" in the name of the length"] = head + "Content-" + string([]byte{c}) + "Length: 3\r\n\r\nabc"
	}
	testBroken(t, answers)
}

// isNameByte reports whether the standard allows c in the name of a field.
func isNameByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	for _, other := range []byte("!#$%&'*+-.^_`|~") {
		if c == other {
			return true
		}
	}
	return false
}

// testBroken checks that none of the answers is taken for one, whether its connection
// stays open or ends, and that the exchange ends at once.
func testBroken(t *testing.T, answers map[string]string) {
	t.Helper()
	ends := map[string]func(c *net.TCPConn){
		"open":   func(*net.TCPConn) {},
		"closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
	}
	for name, text := range answers {
		for end, act := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				addr := startTarget(t, text, act)
				ctx, cancel := WithTimeout(context.Background(), 10*clock.Second)
				defer cancel()
				c := endlessClient()
				began := time.Now()
				a, err := c.Do(ctx, addr, echoRequest(), Options{})
				var e *Error
				switch {
				case err == nil:
					t.Errorf("%q: answer %d with body %q", text, a.Status, a.Body)
				case !errors.As(err, &e) || e.Kind != BadAnswer:
					t.Errorf("%q: error %v, want kind %s", text, err, BadAnswer)
				}
				if took := time.Since(began); took > 5*time.Second {
					t.Errorf("the exchange took %v of its 10 s", took)
				}
				if len(c.idle[addr]) != 0 {
					t.Error("the connection was kept")
				}
			})
		}
	}
}
