package pool

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// TestEndlessAnswersAreEnded checks that an exchange ends by itself, long before
// its wait is over, when the server sends bytes without end.
func TestEndlessAnswersAreEnded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		head string
		part string
	}{
		"head": {
			head: head,
			part: "X-Field: value\r\n",
		},
		"bytes that are no answer": {
			part: "noise",
		},
		"interim answers": {
			part: "HTTP/1.1 103 Early Hints\r\n\r\n",
		},
		"chunk extension": {
			head: head + "Transfer-Encoding: chunked\r\n\r\n1;",
			part: "extension",
		},
		"chunks": {
			head: head + "Transfer-Encoding: chunked\r\n\r\n",
			part: "4\r\nabcd\r\n",
		},
		"trailers": {
			head: head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
			part: "X-Field: value\r\n",
		},
		"body without a length": {
			head: head + "\r\n",
			part: "body",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			go serveEndless(ln, tt.head, strings.Repeat(tt.part, 1+(16<<10)/len(tt.part)))
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://" + ln.Addr().String() + "/")
			began := time.Now()
			err = New(testConfig()).Do(ln.Addr().String(), &req, &resp, 10*clock.Second)
			var failure *Error
			if !errors.As(err, &failure) || failure.Kind == Unsent {
				t.Errorf("error %v, want one of an exchange that was sent", err)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the exchange took %v of its 10 s", took)
			}
		})
	}
}

// serveEndless answers each connection with head and then with part until the
// connection breaks.
func serveEndless(ln net.Listener, head, part string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4096))
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, part)
			}
		}()
	}
}
