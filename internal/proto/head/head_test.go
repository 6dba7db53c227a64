package head

import (
	"errors"
	"strings"
	"testing"
)

const whole = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\n"

// Guards against sound heads that are refused.
func TestSoundHeads(t *testing.T) {
	tests := map[string]struct {
		text    string
		status  int
		interim bool
	}{
		"usual": {
			text:   whole,
			status: 200,
		},
		"without a reason": {
			text:   "HTTP/1.1 404 \r\nContent-Length: 0\r\n\r\n",
			status: 404,
		},
		"without a reason and its blank": {
			text:   "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n",
			status: 404,
		},
		"reason with blanks, tabs and bytes of other alphabets": {
			text:   "HTTP/1.1 299 Not\tquite \xc3\xa9t\xc3\xa9\r\n\r\n",
			status: 299,
		},
		"version 1.0": {
			text:   "HTTP/1.0 200 OK\r\n\r\n",
			status: 200,
		},
		"least status": {
			text:    "HTTP/1.1 100 Continue\r\n\r\n",
			status:  100,
			interim: true,
		},
		"greatest status": {
			text:   "HTTP/1.1 599 X\r\n\r\n",
			status: 599,
		},
		"behind empty lines": {
			text:   "\r\n\r\n" + whole,
			status: 200,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c Checker
			n, err := c.Check([]byte(tt.text + "body"))
			if err != nil {
				t.Fatal(err)
			}
			if n != len(tt.text) || !c.IsComplete() || c.Status() != tt.status || c.IsInterim() != tt.interim {
				t.Errorf("%d of %d bytes, complete %v, status %d, interim %v", n, len(tt.text), c.IsComplete(), c.Status(), c.IsInterim())
			}
		})
	}
}

// Guards against a check that depends on how the bytes of a head arrive.
func TestHeadInPieces(t *testing.T) {
	text := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole + "HTTP/1.1 000 is a body here\r\n"
	for size := 1; size <= len(text); size++ {
		var s Stream
		for range 2 {
			s.Begin()
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				if err := s.Check([]byte(rest[:n])); err != nil {
					t.Fatalf("pieces of %d bytes: %v", size, err)
				}
				rest = rest[n:]
			}
		}
	}
	broken := "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(whole, "200", "000", 1)
	for size := 1; size <= len(broken); size++ {
		var s Stream
		var err error
		for rest := broken; rest != "" && err == nil; {
			n := min(size, len(rest))
			err = s.Check([]byte(rest[:n]))
			rest = rest[n:]
		}
		var e *Error
		if !errors.As(err, &e) || e.Kind != StatusLine {
			t.Fatalf("pieces of %d bytes: error %v, want kind %s", size, err, StatusLine)
		}
	}
}
