package pool

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// rawServer answers each request on each connection with text, then closes the
// connection if closes is set. It returns its address and the number of
// requests received.
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

// TestPoolFailures checks the error kind for each fault of a server, and that
// the pool does not retry.
func TestPoolFailures(t *testing.T) {
	tests := map[string]struct {
		answer string
		closes bool
		want   Kind
	}{
		"closed before the answer": {
			answer: "",
			closes: true,
			want:   Interrupted,
		},
		"body shorter than its length": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
			closes: true,
			want:   Interrupted,
		},
		"truncated chunked body": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
			closes: true,
			want:   Interrupted,
		},
		"body without a length": {
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort",
			closes: true,
			want:   Interrupted,
		},
		"a status that is none": {
			answer: "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
			want:   Interrupted,
		},
		"a status that is none, after an interim answer": {
			answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole",
			want:   Interrupted,
		},
		"a blank behind the name of the length": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
			want:   Interrupted,
		},
		"a blank before a name": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n X-B: c\r\n\r\nwhole",
			want:   Interrupted,
		},
		"a length and an encoding": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			want:   Interrupted,
		},
		"another protocol that nobody asked for": {
			answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
			want:   Interrupted,
		},
		"no answer": {
			answer: "",
			closes: false,
			want:   Timeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr, count := rawServer(t, tt.answer, tt.closes)
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

// TestPoolLeavesClosedConnections guards against a failed or repeated exchange
// after the server closed a kept connection while it was idle.
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

// TestPoolLeavesConnectionsWithExtraAnswers guards against taking a late second
// copy of an answer for the answer to the next request on its connection.
func TestPoolLeavesConnectionsWithExtraAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	copied := make(chan bool, 8)
	var count atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 4096)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					text := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + strconv.FormatInt(count.Add(1), 10)
					_, _ = io.WriteString(conn, text)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, text)
					copied <- true
				}
			}()
		}
	}()
	p := New(testConfig())
	for i := range 3 {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://" + ln.Addr().String() + "/")
		if err := p.Do(ln.Addr().String(), &req, &resp, 2*clock.Second); err != nil {
			t.Fatalf("exchange %d: %v", i+1, err)
		}
		if want := strconv.Itoa(i + 1); string(resp.Body()) != want {
			t.Fatalf("exchange %d got answer %q", i+1, resp.Body())
		}
		<-copied
	}
}

// TestSecondTryKeepsTheWait checks that an exchange whose kept connection was
// closed by the peer, and which is made on a new one, ends within its wait.
func TestSecondTryKeepsTheWait(t *testing.T) {
	const (
		wait  = 400 * clock.Millisecond
		delay = 300 * time.Millisecond
	)
	addr, _ := rawServer(t, "", false)
	var dials atomic.Int64
	cfg := testConfig()
	cfg.Connect = func(addr string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(delay)
			ours, _ := net.Pipe()
			return &staleConn{
				Conn: ours,
			}, nil
		}
		return connectTCP(addr, timeout)
	}
	began := time.Now()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + addr + "/")
	err := New(cfg).Do(addr, &req, &resp, wait)
	var failure *Error
	if !errors.As(err, &failure) || failure.Kind != Timeout {
		t.Fatalf("error %v, want kind %d", err, Timeout)
	}
	if took := time.Since(began); took > wait.Duration()+delay/2 {
		t.Errorf("the exchange took %v of %v", took, wait.Duration())
	}
}

// staleConn is a connection that its peer has closed.
type staleConn struct {
	net.Conn
}

func (c *staleConn) Write([]byte) (int, error) { return 0, errStale }

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

// TestTimedOutRequestIsNotDelivered guards against delivering a request after
// its exchange timed out. The request exceeds the receiver's buffer, and the
// receiver reads only after the timeout.
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
		t.Errorf("the receiver's stream ended with %v, want a reset, else the buffered request arrives late", err)
	}
}
