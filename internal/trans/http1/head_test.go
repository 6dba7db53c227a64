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
		"version 0.9":             "HTTP/0.9 200 OK" + rest,
		"another protocol":        "HTTQ/1.1 200 OK" + rest,
		"a blank before":          " HTTP/1.1 200 OK" + rest,
		"a byte before":           "\x00HTTP/1.1 200 OK" + rest,
		"no version":              "HTTP 200 OK" + rest,
		"a version without a dot": "HTTP/11 200 OK" + rest,
	})
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
