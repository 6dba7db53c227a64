package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// serve starts a loopback server that answers each request with the raw bytes and
// then closes the connection. arrived counts the requests.
func serve(t *testing.T, raw string) (addr string, arrived *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	arrived = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				arrived.Add(1)
				_, _ = io.WriteString(conn, raw)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String(), arrived
}

// TestHTTP checks that each message is sent once, and that Exchange returns only
// complete answers.
func TestHTTP(t *testing.T) {
	tests := map[string]struct {
		raw   string
		whole bool
	}{
		"whole": {
			raw:   "HTTP/1.1 200 OK\r\nSiskin-Outcome: done\r\nContent-Length: 2\r\n\r\nok",
			whole: true,
		},
		"chunked": {
			raw:   "HTTP/1.1 200 OK\r\nSiskin-Outcome: done\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			whole: true,
		},
		"closed before the first byte": {},
		"interrupted in the header": {
			raw: "HTTP/1.1 200 OK\r\nContent-",
		},
		"shorter than its length": {
			raw: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		},
		"interrupted between chunks": {
			raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		},
		"whole, after an interim answer": {
			raw:   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSiskin-Outcome: done\r\nContent-Length: 2\r\n\r\nok",
			whole: true,
		},
		"status 000": {
			raw: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"status 000, after an interim answer": {
			raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"status 099": {
			raw: "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"status 600": {
			raw: "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"status of two digits": {
			raw: "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"status of four digits": {
			raw: "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
		},
		"ended by the connection alone": {
			raw: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
		},
	}
	for name, tt := range tests {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				addr, arrived := serve(t, tt.raw)
				r, err := NewHTTP(HTTPConfig{}).Exchange(Message{
					Daemon: addr,
					Method: method,
					Path:   "/payment/pay",
					Wait:   10 * clock.Second,
				})
				if tt.whole && (err != nil || string(r.Body) != "ok" || r.Field("siskin-outcome") != "done") {
					t.Errorf("Exchange = %+v, %v; want the complete answer", r, err)
				}
				var e *Error
				if !tt.whole && (!errors.As(err, &e) || e.Kind != Failed) {
					t.Errorf("Exchange = %+v, %v; want a failure", r, err)
				}
				if n := arrived.Load(); n != 1 {
					t.Errorf("the message arrived %d times", n)
				}
			})
		}
	}
}
