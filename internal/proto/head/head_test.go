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
		"fields of all kinds": {
			text:   "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: \t b:\t \xc3\xa9 \t\r\nX-Empty:\r\nTRANSFER-encoding:chunked\r\n\r\n",
			status: 200,
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

// Guards against a broken line that passes, or whose error tells another cause.
func TestBrokenHeads(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		text string
		want Kind
	}{
		"status": {
			text: "HTTP/1.1 000 OK\r\n",
			want: StatusLine,
		},
		"name": {
			text: first + "X A: b\r\n",
			want: Field,
		},
		"length": {
			text: first + "Content-Length : 3\r\n",
			want: Field,
		},
		"value": {
			text: first + "X-A: b\x00\r\n",
			want: Field,
		},
		"length and encoding": {
			text: first + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
			want: Framing,
		},
		"two lengths": {
			text: first + "Content-Length: 3\r\ncontent-length: 3\r\n",
			want: Framing,
		},
		"encoding of version 1.0": {
			text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
			want: Framing,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c Checker
			_, err := c.Check([]byte(tt.text))
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want || c.IsComplete() {
				t.Errorf("error %v, want kind %s", err, tt.want)
			}
		})
	}
}

// Guards against a check that is slow beside the parsing of the library.
func BenchmarkCheck(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Server-Load: 3,0,8,100\r\nContent-Type: application/octet-stream\r\nKeep-Alive: timeout=15\r\nContent-Length: 600\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var c Checker
		if _, err := c.Check(text); err != nil || !c.IsComplete() {
			b.Fatal(err)
		}
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
