package http1

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
)

// Guards against ended connections that keep their read buffers: callers that try again
// at once, each time on a new connection, fill the memory of a daemon, whose end is that
// of everybody's requests (LOST).
func TestEndedConnectionsHoldNoBuffers(t *testing.T) {
	const (
		conns     = 1000
		maxHeader = 16 << 10
	)
	tests := map[string]struct {
		request string
	}{
		"closed by the client": {
			request: "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		},
		"closed by the server": {
			request: "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		},
		"without a request": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, addr := startServer(t, ServerConfig{
				Limits: func() ServerLimits {
					limits := testLimits()
					limits.MaxHeader = maxHeader
					return limits
				},
				Handle: func(context.Context, *Request) Reply { return answer(200, "") },
			})
			base := heapAfterCollection()
			for range conns {
				openAndClose(t, addr, tt.request)
			}
			await(t, "a connection has not ended", func() bool { return s.connCount() == 0 })
			held := heapAfterCollection() - base
			if most := conns * maxHeader / 10; held > most {
				t.Errorf("%d ended connections hold %d kB, want %d kB or less", conns, held>>10, most>>10)
			}
		})
	}
}

// openAndClose opens a connection, sends request, closes the connection for writing and
// waits until the server has closed it as well.
func openAndClose(t *testing.T, addr, request string) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	if request != "" {
		if _, err := c.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Fatal(err)
	}
}

// heapAfterCollection returns the bytes of the reachable objects.
func heapAfterCollection() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
