package source

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskinswitch.example/siskin/pkg/clock"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The HTTP library ends this goroutine only after seconds.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// stubServer answers each request with the same bytes, then closes the
// connection or leaves it open.
type stubServer struct {
	ln       net.Listener
	requests atomic.Int64
}

func newStubServer(t *testing.T, answer string, hang bool) *stubServer {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &stubServer{
		ln: ln,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.serve(c, answer, hang)
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return s
}

func (s *stubServer) serve(c net.Conn, answer string, hang bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(c, answer)
	if hang {
		_, _ = io.Copy(io.Discard, r) // Until the client gives up.
	}
}

// TestReadFaults checks the error kind for each fault of the service, and that
// Read does not retry.
func TestReadFaults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
	tests := map[string]struct {
		answer string
		hang   bool
		want   Kind
	}{
		"closed before the first byte": {
			want: Unreachable,
		},
		"truncated body": {
			answer: ok + "Content-Length: 10\r\n\r\nhalf",
			want:   Unreachable,
		},
		"truncated chunk": {
			answer: ok + "Transfer-Encoding: chunked\r\n\r\nA\r\nhalf",
			want:   Unreachable,
		},
		"garbage": {
			answer: "\x00\xff\x00\xff\r\n\r\n",
			want:   Unreachable,
		},
		"a status that is none": {
			answer: "HTTP/1.1 000 OK\r\nETag: \"7\"\r\nContent-Length: 1\r\n\r\nx",
			want:   Unreachable,
		},
		"a blank in the name of the length": {
			answer: ok + "Content Length: 2\r\n\r\nxyz",
			want:   Unreachable,
		},
		"Content-Length above the limit": {
			answer: ok + "Content-Length: 1000000000\r\n\r\n",
			hang:   true,
			want:   TooLarge,
		},
		"chunks above the limit": {
			answer: ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 32),
			hang:   true,
			want:   TooLarge,
		},
		"never answers": {
			hang: true,
			want: Timeout,
		},
		"rate limited": {
			answer: "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
			want:   RateLimited,
		},
		"nothing published": {
			answer: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
			want:   NotFound,
		},
		"no ETag": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
			want:   BadFormat,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStubServer(t, tt.answer, tt.hang)
			c := New(Config{
				StoreAddr: s.ln.Addr().String(),
				Timeout:   100 * clock.Millisecond,
				MaxBody:   1024,
			})
			v, err := c.Read(t.Context())
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want {
				t.Errorf("Read() = %v, %v, want kind %d", v, err, tt.want)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("the server received %d requests, want 1", n)
			}
		})
	}
}

// Guards against one odd entry in the list of hosts that stops a daemon from following
// the others.
func TestOddHostIsLeftOut(t *testing.T) {
	const sound = `{"name":"a","addr":"10.0.0.1"},%s,{"name":"b","addr":"10.0.0.2","leaving":true}`
	want := []Host{
		{
			Name: "a",
			Addr: "10.0.0.1",
		},
		{
			Name:    "b",
			Addr:    "10.0.0.2",
			Leaving: true,
		},
	}
	tests := map[string]string{
		"another type":      `17`,
		"null":              `null`,
		"field of its type": `{"name":"c","addr":7}`,
		"no name":           `{"addr":"10.0.0.3"}`,
		"no address":        `{"name":"c"}`,
		"host name":         `{"name":"c","addr":"host.example"}`,
		"with a port":       `{"name":"c","addr":"10.0.0.3:80"}`,
		"address too large": `{"name":"c","addr":"10.0.0.256"}`,
		"number too large":  `{"name":1e400,"addr":"10.0.0.3"}`,
		"deeply nested":     `{"name":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	}
	for name, entry := range tests {
		t.Run(name, func(t *testing.T) {
			body := "[" + fmt.Sprintf(sound, entry) + "]"
			s := newStubServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false)
			leftOut := 0
			hosts, err := New(Config{
				RosterAddr: s.ln.Addr().String(),
				OnOddHost:  func(error) { leftOut++ },
			}).Hosts(t.Context())
			if err != nil || !slices.Equal(hosts, want) || leftOut != 1 {
				t.Errorf("got %v with %d left out, %v, want %v with 1", hosts, leftOut, err, want)
			}
		})
	}
}

// TestPollSpacesFailures checks that the interval of PollHosts doubles after
// failures, up to MaxBackoff.
func TestPollSpacesFailures(t *testing.T) {
	s := newStubServer(t, "", false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waits []clock.Milli
	now := clock.System()
	failures := 0
	New(Config{
		RosterAddr: s.ln.Addr().String(),
		MaxBackoff: 800,
		Clock: clock.Clock{
			After: func(d clock.Milli) <-chan time.Time {
				waits = append(waits, d)
				return now.After(0)
			},
			Now: now.Now,
		},
		Rand: func() float64 { return 0 },
		OnError: func(error) {
			if failures++; failures == 6 {
				cancel()
			}
		},
	}).PollHosts(ctx, 100)
	want := []clock.Milli{100, 200, 400, 400, 400}
	if len(waits) < len(want) || !slices.Equal(waits[:len(want)], want) {
		t.Errorf("waited %v, want %v", waits, want)
	}
}
