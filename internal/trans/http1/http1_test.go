package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/pkg/clock"
)

const echoField = "Request-Id"

func testLimits() ServerLimits {
	return ServerLimits{
		MaxHeader:   4 << 10,
		MaxBody:     64 << 10,
		ReadTimeout: 2 * clock.Second,
		IdleTimeout: 5 * clock.Second,
	}
}

// serve starts a server and returns its address.
func serve(t *testing.T, cfg ServerConfig) string {
	t.Helper()
	_, addr := startServer(t, cfg)
	return addr
}

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, cfg ServerConfig) (*Server, string) {
	t.Helper()
	cfg.Clock = clock.System()
	if cfg.Limits == nil {
		cfg.Limits = testLimits
	}
	if cfg.MayPipeline == nil {
		cfg.MayPipeline = func(r *Request) bool { return r.Method == "GET" }
	}
	cfg.Malformed = func(r *Request, status int, err error) guard.Answer {
		a := guard.Answer{
			Status: status,
			Body:   []byte(err.Error()),
		}
		if r != nil {
			a.Fields = WithField(nil, echoField, r.Get(echoField))
		}
		return a
	}
	l, err := Listen("127.0.0.1:0", clock.System())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := NewServer(cfg)
	go s.Serve(l)
	return s, l.Addr().String()
}

func answer(status int, body string) Reply {
	return Reply{
		Answer: guard.Answer{
			Status: status,
			Body:   []byte(body),
		},
	}
}

func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestHangUpEndsTheRequest checks that a client disconnect ends the context of
// the handler, even with a pipelined request behind the running one.
func TestHangUpEndsTheRequest(t *testing.T) {
	tests := map[string]struct {
		sent string
	}{
		"alone": {
			sent: "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n",
		},
		"behind a pipelined request": {
			sent: "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n",
		},
		"with Connection: close": {
			sent: "GET /a/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{}, 8)
			ended := make(chan struct{}, 8)
			addr := serve(t, ServerConfig{
				Handle: func(ctx context.Context, _ *Request) Reply {
					started <- struct{}{}
					<-ctx.Done()
					ended <- struct{}{}
					return answer(504, "")
				},
			})
			c := connect(t, addr)
			write(t, c, tt.sent)
			<-started
			_ = c.Close()
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the context of the handler did not end within 500 ms of the disconnect")
			}
		})
	}
}

func TestAnswersComeInOrder(t *testing.T) {
	addr := serve(t, ServerConfig{
		Handle: func(_ context.Context, r *Request) Reply {
			if r.URI == "/slow" {
				time.Sleep(50 * time.Millisecond)
			}
			return answer(200, r.URI)
		},
	})
	c := connect(t, addr)
	write(t, c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	slow, fast := strings.Index(string(all), "/slow"), strings.Index(string(all), "/fast")
	if slow < 0 || fast < slow {
		t.Fatalf("answers are missing or out of order: %q", all)
	}
}

// TestNothingRunsBehindAnAnswerThatCloses guards against running a
// non-idempotent request twice: the client sends it again if the answer before
// it closes the connection.
func TestNothingRunsBehindAnAnswerThatCloses(t *testing.T) {
	var ran atomic.Int32
	addr := serve(t, ServerConfig{
		Handle: func(_ context.Context, r *Request) Reply {
			if r.Method == "POST" {
				ran.Add(1)
			}
			time.Sleep(20 * time.Millisecond)
			return Reply{
				Answer: guard.Answer{
					Status: 503,
				},
				Close: true,
			}
		},
	})
	c := connect(t, addr)
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if ran.Load() != 0 {
		t.Fatal("a request after an answer that closes the connection ran")
	}
}

func TestServerForwardsUnchanged(t *testing.T) {
	tests := map[string]struct {
		sent string
		uri  string
		body string
	}{
		"dots and escapes unchanged": {
			sent: "GET /a/../b%2F//c?x=%20&y HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
			uri:  "/a/../b%2F//c?x=%20&y",
		},
		"chunked body": {
			sent: "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
			uri:  "/a",
			body: "abcde",
		},
		"body of a GET": {
			sent: "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
			uri:  "/a",
			body: "abc",
		},
		"form body is not parsed": {
			sent: "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 3\r\n\r\nabc",
			uri:  "/a",
			body: "abc",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := make(chan *Request, 1)
			addr := serve(t, ServerConfig{
				Handle: func(_ context.Context, r *Request) Reply {
					got <- r
					return answer(200, "")
				},
			})
			c := connect(t, addr)
			write(t, c, tt.sent)
			if _, err := io.ReadAll(c); err != nil {
				t.Fatal(err)
			}
			select {
			case r := <-got:
				if r.URI != tt.uri || string(r.Body) != tt.body {
					t.Errorf("got %q with body %q, want %q with %q", r.URI, r.Body, tt.uri, tt.body)
				}
			default:
				t.Fatal("the request was not handled")
			}
		})
	}
}

func TestServerRefusesWhatItCannotRead(t *testing.T) {
	tests := map[string]struct {
		sent string
		want string
	}{
		"not HTTP": {
			sent: "\x01\x02\x03\r\n\r\n",
			want: "HTTP/1.1 400 ",
		},
		"header too long": {
			sent: "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
			want: "HTTP/1.1 431 ",
		},
		"body too long": {
			sent: "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n",
			want: "HTTP/1.1 413 ",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, ServerConfig{
				Handle: func(context.Context, *Request) Reply { return answer(200, "") },
			})
			c := connect(t, addr)
			write(t, c, tt.sent)
			all, _ := io.ReadAll(c)
			if !strings.HasPrefix(string(all), tt.want) {
				t.Fatalf("got %q, want it to begin with %q", all, tt.want)
			}
		})
	}
}

// startTarget starts a target that reads one request on each connection, writes
// text and then calls end. It returns the address.
func startTarget(t *testing.T, text string, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The connections are kept: the garbage collector would close them.
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go func() {
				br := bufio.NewReader(c)
				for {
					line, err := br.ReadString('\n')
					if err != nil {
						return
					}
					if line == "\r\n" {
						break
					}
				}
				_, _ = io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestClientAnswers checks the error kind and the reuse of the connection for
// each way in which a target may end its answer.
func TestClientAnswers(t *testing.T) {
	stay := func(*net.TCPConn) {}
	closes := func(c *net.TCPConn) { _ = c.Close() }
	resets := func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	tests := map[string]struct {
		text string
		end  func(c *net.TCPConn)
		body string
		kind Kind
		fail bool
		kept int
	}{
		"whole": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nab",
			end:  stay,
			body: "ab",
			kept: 1,
		},
		"body that ends with the connection": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc",
			end:  closes,
			body: "abc",
		},
		"reset in a body without a length": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc",
			end:  resets,
			fail: true,
			kind: Interrupted,
		},
		"truncated body": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nabc",
			end:  closes,
			fail: true,
			kind: Interrupted,
		},
		"truncated chunks": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			end:  closes,
			fail: true,
			kind: Interrupted,
		},
		"bytes after the answer": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n",
			end:  stay,
			body: "ab",
		},
		"answer to another request first": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 9\r\nContent-Length: 2\r\n\r\nzzHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nab",
			end:  stay,
			body: "ab",
		},
		"closes": {
			text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
			end:  stay,
			body: "ab",
		},
		"no answer": {
			end:  closes,
			fail: true,
			kind: Interrupted,
		},
		"no answer in time": {
			end:  stay,
			fail: true,
			kind: Timeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr := startTarget(t, tt.text, tt.end)
			c := NewClient(ClientConfig{
				Clock:       clock.System(),
				DialTimeout: clock.Second,
				IdleTimeout: clock.Second,
				MaxBody:     1 << 20,
				EchoField:   echoField,
			})
			ctx, cancel := WithTimeout(context.Background(), 300)
			defer cancel()
			a, err := c.Do(ctx, addr, &Request{
				Method: "GET",
				Host:   "h",
				URI:    "/a",
				Fields: []guard.Field{
					{
						Name:  echoField,
						Value: "1",
					},
				},
			}, Options{})
			var e *Error
			switch {
			case tt.fail && (!errors.As(err, &e) || e.Kind != tt.kind):
				t.Fatalf("error %v, want kind %s", err, tt.kind)
			case !tt.fail && err != nil:
				t.Fatal(err)
			case !tt.fail && string(a.Body) != tt.body:
				t.Fatalf("body %q, want %q", a.Body, tt.body)
			}
			if kept := len(c.idle[addr]); kept != tt.kept {
				t.Fatalf("%d connections kept, want %d", kept, tt.kept)
			}
		})
	}
}

// TestEarlyAnswerCostsTheConnection guards against reusing a connection whose
// target answered before it read the whole request.
func TestEarlyAnswerCostsTheConnection(t *testing.T) {
	addr := startTarget(t, "HTTP/1.1 413 Too Large\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", func(*net.TCPConn) {})
	c := NewClient(ClientConfig{
		Clock:       clock.System(),
		DialTimeout: clock.Second,
		IdleTimeout: clock.Second,
		MaxBody:     1 << 20,
		EchoField:   echoField,
	})
	ctx, cancel := WithTimeout(context.Background(), clock.Second)
	defer cancel()
	a, err := c.Do(ctx, addr, &Request{
		Method: "POST",
		Host:   "h",
		URI:    "/a",
		Fields: []guard.Field{
			{
				Name:  echoField,
				Value: "1",
			},
		},
		Body: make([]byte, 16<<20),
	}, Options{})
	if err != nil || a.Status != 413 {
		t.Fatalf("got %d and %v, want 413", a.Status, err)
	}
	if len(c.idle[addr]) != 0 {
		t.Fatal("a connection with a partly written request was kept")
	}
}

// TestServerIsNotIdleWhileRequestsWait guards against a server that reports
// idle while a request waits unread in the socket buffer. The held mutex delays
// the reading goroutine, as a busy machine would.
func TestServerIsNotIdleWhileRequestsWait(t *testing.T) {
	var held sync.Mutex
	s := NewServer(ServerConfig{
		Clock: clock.System(),
		Limits: func() ServerLimits {
			held.Lock()
			defer held.Unlock()
			return testLimits()
		},
		Handle:      func(context.Context, *Request) Reply { return answer(200, "") },
		MayPipeline: func(*Request) bool { return true },
	})
	l, err := Listen("127.0.0.1:0", clock.System())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go s.Serve(l)
	c := connect(t, l.Addr().String())
	await := func(message string, cond func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(message)
			}
		}
	}
	write(t, c, "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	br := bufio.NewReader(c)
	read := func() {
		t.Helper()
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil {
			t.Fatal(err)
		}
	}
	read()
	await("not idle after the answer", s.IsIdle)
	held.Lock()
	write(t, c, "GET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n")
	await("idle while a request waits", func() bool { return !s.IsIdle() })
	time.Sleep(20 * time.Millisecond)
	if s.IsIdle() {
		t.Error("idle while a request waits to be read")
	}
	held.Unlock()
	read()
	await("not idle after the second answer", s.IsIdle)
}
