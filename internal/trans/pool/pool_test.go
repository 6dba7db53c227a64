package pool

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// rawServer answers each request head on each connection with text, then
// closes the connection if shut is set. It counts the requests that arrive.
func rawServer(t *testing.T, text string, closes bool) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	count := &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, text, closes, count)
		}
	}()
	return ln.Addr().String(), count
}

func serveRaw(conn net.Conn, text string, closes bool, count *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		if strings.Contains(string(buf[:n]), "\r\n\r\n") {
			count.Add(1)
			if _, err := io.WriteString(conn, text); err != nil || closes {
				return
			}
		}
	}
}

func TestPoolFailures(t *testing.T) {
	tests := map[string]struct {
		answer string
		shut   bool
		want   Kind
	}{
		"closed before the answer": {
			answer: "",
			shut:   true,
			want:   Interrupted,
		},
		"length larger than the body": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
			shut:   true,
			want:   Interrupted,
		},
		"chunked body cut": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
			shut:   true,
			want:   Interrupted,
		},
		"body without a length": {
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort",
			shut:   true,
			want:   Interrupted,
		},
		"silent connection": {
			answer: "",
			shut:   false,
			want:   Timeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr, count := rawServer(t, tt.answer, tt.shut)
			err := get(New(testConfig()), addr)
			var failure *Error
			if !errors.As(err, &failure) || failure.Kind != tt.want {
				t.Errorf("error = %v, want kind %d", err, tt.want)
			}
			if n := count.Load(); n != 1 {
				t.Errorf("the server saw %d requests, want 1", n)
			}
		})
	}
}

// A kept connection that its server closed while nobody used it costs nothing:
// the next exchange is made on a new one, and arrives once.
func TestPoolLeavesClosedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var count atomic.Int64
	closed := make(chan bool, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serveRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, &count)
			closed <- true
		}
	}()
	p := New(testConfig())
	for i := range 3 {
		if err := get(p, ln.Addr().String()); err != nil {
			t.Fatalf("exchange %d: %v", i, err)
		}
		<-closed
	}
	if n := count.Load(); n != 3 {
		t.Errorf("the server saw %d requests, want 3", n)
	}
}

func TestPoolUnsentWhenNobodyListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	var failure *Error
	if err := get(New(testConfig()), addr); !errors.As(err, &failure) || failure.Kind != Unsent {
		t.Errorf("error = %v, want kind Unsent", err)
	}
}

func testConfig() Config {
	return Config{
		Conns:       4,
		IdleTimeout: clock.Second,
		DialTimeout: clock.Second,
		MaxBody:     1 << 20,
	}
}

func get(p *Pool, addr string) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/")
	return p.Do(addr, req, resp, 300*clock.Millisecond)
}

// TestTimedOutRequestIsNotDelivered sends more than the receiver's buffer
// takes, gives up, and only then lets the receiver read.
func TestTimedOutRequestIsNotDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = ln.Close() }()
	gaveUp := make(chan struct{})
	end := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			end <- err
			return
		}
		defer func() { _ = conn.Close() }()
		<-gaveUp
		_, err = io.Copy(io.Discard, conn)
		end <- err
	}()
	p := New(Config{
		Conns:       1,
		IdleTimeout: clock.Second,
		DialTimeout: clock.Second,
		MaxBody:     1024,
	})
	defer p.Close()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + ln.Addr().String() + "/")
	req.SetBodyRaw(make([]byte, 32<<20))
	if err := p.Do(ln.Addr().String(), &req, &resp, 100*clock.Millisecond); err == nil {
		t.Error("Do() of a request that nobody reads = nil, want an error")
	}
	close(gaveUp)
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the receiver's stream ended with %v, want a reset: what was buffered arrives late otherwise", err)
	}
}
