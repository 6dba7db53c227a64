package ctl

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a report that is taken from an answer whose status is none.
func TestReportNeedsAStatus(t *testing.T) {
	tests := map[string]struct {
		status string
		good   bool
	}{
		"200": {
			status: "200",
			good:   true,
		},
		"000": {
			status: "000",
		},
		"500": {
			status: "500",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+tt.status+" X\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
			body, err := newClient(2*time.Second).get(l.Addr().String(), "/status")
			if (err == nil) != tt.good {
				t.Errorf("got %q, %v, want success: %v", body, err, tt.good)
			}
		})
	}
}
