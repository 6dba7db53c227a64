package http1

import (
	"bufio"
	"bytes"
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

	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestPanicCostsOnlyItsConnection plants a panic in each part that serves a
// connection and checks that it is reported, that its connection ends without a
// complete answer, and that the next connection is served.
func TestPanicCostsOnlyItsConnection(t *testing.T) {
	const poison = "/poison"
	panicOn := func(uri string) {
		if uri == poison {
			panic("planted")
		}
	}
	tests := map[string]struct {
		plant func(cfg *ServerConfig, armed *atomic.Bool)
	}{
		"handler": {
			plant: func(cfg *ServerConfig, _ *atomic.Bool) {
				cfg.Handle = func(_ context.Context, r *Request) Reply {
					panicOn(r.URI)
					return answer(200, "")
				}
			},
		},
		"reader": {
			plant: func(cfg *ServerConfig, armed *atomic.Bool) {
				cfg.Limits = func() ServerLimits {
					if armed.Load() {
						panic("planted")
					}
					return testLimits()
				}
			},
		},
		"decision about a pipelined request": {
			plant: func(cfg *ServerConfig, _ *atomic.Bool) {
				cfg.MayPipeline = func(r *Request) bool {
					panicOn(r.URI)
					return true
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var armed atomic.Bool
			var reported atomic.Int32
			cfg := ServerConfig{
				Handle:  func(context.Context, *Request) Reply { return answer(200, "") },
				OnPanic: func(*rescue.Error) { reported.Add(1) },
			}
			tt.plant(&cfg, &armed)
			s, addr := startServer(t, cfg)
			c := connect(t, addr)
			write(t, c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			br := bufio.NewReader(c)
			var resp fasthttp.Response
			if err := resp.Read(br); err != nil {
				t.Fatal(err)
			}
			armed.Store(true)
			write(t, c, "GET "+poison+" HTTP/1.1\r\nHost: h\r\n\r\n")
			if rest, _ := io.ReadAll(br); len(rest) > 0 {
				t.Errorf("got %q from a connection that met a panic", rest)
			}
			armed.Store(false)
			if reported.Load() != 1 {
				t.Errorf("%d panics reported, want 1", reported.Load())
			}
			next := connect(t, addr)
			write(t, next, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
			if err := resp.Read(bufio.NewReader(next)); err != nil || resp.StatusCode() != 200 {
				t.Fatalf("the next connection got %d, %v", resp.StatusCode(), err)
			}
			await(t, "the request that met a panic is still in flight", func() bool { return s.InFlight() == 0 })
		})
	}
}

// TestPanicInAnAnswerFailsItsExchange checks that a panic while an answer is
// parsed ends that exchange with an error and closes its connection.
func TestPanicInAnAnswerFailsItsExchange(t *testing.T) {
	addr := startTarget(t, endlessHead+"Content-Length: 0\r\n\r\n", func(*net.TCPConn) {})
	var reported atomic.Int32
	c := endlessClient()
	c.cfg.OnPanic = func(*rescue.Error) { reported.Add(1) }
	parse := c.readHeader
	c.readHeader = func(*fasthttp.ResponseHeader, *bufio.Reader) error { panic("planted") }
	ctx, cancel := WithTimeout(context.Background(), 2*clock.Second)
	defer cancel()
	_, err := c.Do(ctx, addr, echoRequest(), Options{})
	var e *Error
	if !errors.As(err, &e) || e.Kind != BadAnswer || reported.Load() != 1 {
		t.Fatalf("error %v with %d reports, want kind %s with 1", err, reported.Load(), BadAnswer)
	}
	if len(c.idle[addr]) != 0 {
		t.Fatal("the connection of the exchange was kept")
	}
	c.readHeader = parse
	if _, err := c.Do(ctx, addr, echoRequest(), Options{}); err != nil {
		t.Fatalf("the next exchange failed: %v", err)
	}
}

// TestCloseIdleAnswersWhatArrived checks that closing idle connections does not
// cut a request that has arrived but is not yet counted as unanswered, which is
// what a busy machine makes of a request in the last moment of a stop.
func TestCloseIdleAnswersWhatArrived(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]struct {
		before string
		after  string
	}{
		"all of it": {
			before: request,
		},
		"its first bytes": {
			before: request[:9],
			after:  request[9:],
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// The reader asks for the limits once before a request and once more
			// after its first byte, where it is held up.
			asked := make(chan struct{}, 16)
			goOn := make(chan struct{})
			var calls atomic.Int32
			s, addr := startServer(t, ServerConfig{
				Limits: func() ServerLimits {
					if calls.Add(1) == 3 {
						asked <- struct{}{}
						<-goOn
					}
					return testLimits()
				},
				Handle: func(context.Context, *Request) Reply { return answer(200, "") },
			})
			c := connect(t, addr)
			write(t, c, tt.before)
			<-asked
			s.CloseIdle()
			close(goOn)
			write(t, c, tt.after)
			var resp fasthttp.Response
			if err := resp.Read(bufio.NewReader(c)); err != nil || resp.StatusCode() != 200 {
				t.Fatalf("status %d, error %v, want 200", resp.StatusCode(), err)
			}
		})
	}
}

// TestCloseIdleWaitsForWhatRuns checks that closing idle connections does not
// cancel a request in progress, and that its connection closes after the answer.
func TestCloseIdleWaitsForWhatRuns(t *testing.T) {
	tests := map[string]struct {
		field string
	}{
		"kept connection": {},
		"with Connection: close": {
			field: "Connection: close\r\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			release := make(chan struct{})
			s, addr := startServer(t, ServerConfig{
				Handle: func(ctx context.Context, _ *Request) Reply {
					close(started)
					select {
					case <-release:
						return answer(200, "")
					case <-ctx.Done():
						return answer(504, "")
					}
				},
			})
			c := connect(t, addr)
			write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n"+tt.field+"\r\n")
			<-started
			s.CloseIdle()
			time.Sleep(20 * time.Millisecond)
			close(release)
			br := bufio.NewReader(c)
			var resp fasthttp.Response
			if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
				t.Fatalf("status %d, error %v, want 200", resp.StatusCode(), err)
			}
			if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
				t.Errorf("got %q, %v, want the end of the connection", rest, err)
			}
			// The client has not closed its side, but no request can come any more.
			if n := s.Reading(); n != 0 {
				t.Errorf("%d answered connections still count", n)
			}
		})
	}
}

// TestCloseIdleEndsIdleConnections checks that connections without a request
// are closed at once, with and without an earlier request.
func TestCloseIdleEndsIdleConnections(t *testing.T) {
	s, addr := startServer(t, ServerConfig{
		Handle: func(context.Context, *Request) Reply { return answer(200, "") },
	})
	fresh := connect(t, addr)
	used := connect(t, addr)
	br := bufio.NewReader(used)
	write(t, used, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	var resp fasthttp.Response
	if err := resp.Read(br); err != nil {
		t.Fatal(err)
	}
	await(t, "two connections were not accepted", func() bool { return s.Reading() == 2 })
	s.CloseIdle()
	for _, c := range []net.Conn{fresh, used} {
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
			t.Fatalf("got %q, %v, want the end of the connection", rest, err)
		}
	}
	await(t, "a closed connection is still read", func() bool { return s.Reading() == 0 })
}

// TestCloseIdleRightAfterAnAnswer checks that a connection closes also if CloseIdle
// comes between the write of an answer and its end at the server. Many servers
// make that likely.
func TestCloseIdleRightAfterAnAnswer(t *testing.T) {
	const servers = 400
	var wg sync.WaitGroup
	for range servers {
		s, addr := startServer(t, ServerConfig{
			Handle: func(context.Context, *Request) Reply { return answer(200, "") },
		})
		c := connect(t, addr)
		wg.Go(func() {
			_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			br := bufio.NewReader(c)
			var resp fasthttp.Response
			if err := resp.Read(br); err != nil {
				t.Error(err)
				return
			}
			s.CloseIdle()
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
				t.Errorf("got %q, %v, want the end of the connection", rest, err)
			}
		})
	}
	wg.Wait()
}

// TestLastAnswerSurvivesPipelinedInput checks that the answer that closes a
// connection arrives although more input is on the way: closing a connection
// with unread bytes would reset it.
func TestLastAnswerSurvivesPipelinedInput(t *testing.T) {
	_, addr := startServer(t, ServerConfig{
		Handle: func(context.Context, *Request) Reply {
			time.Sleep(20 * time.Millisecond)
			reply := answer(200, strings.Repeat("a", 1<<20))
			reply.Close = true
			return reply
		},
		MayPipeline: func(*Request) bool { return false },
	})
	for range 20 {
		c := connect(t, addr)
		write(t, c, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
		time.Sleep(40 * time.Millisecond)
		var resp fasthttp.Response
		if err := resp.ReadLimitBody(bufio.NewReader(c), 0); err != nil || len(resp.Body()) != 1<<20 {
			t.Fatalf("%d bytes of the last answer arrived, %v", len(resp.Body()), err)
		}
		_ = c.Close()
	}
}

// TestRequestBodiesStayWithinMemory checks that large requests beyond the memory
// for them are refused with 503, are told apart by their header, and return
// what they held.
func TestRequestBodiesStayWithinMemory(t *testing.T) {
	const size = 64 << 10
	pool := hold.NewPool(3*size - 1)
	release := make(chan struct{})
	s, addr := startServer(t, ServerConfig{
		Requests: pool,
		Handle: func(context.Context, *Request) Reply {
			<-release
			return answer(200, "")
		},
	})
	send := func() *bufio.Reader {
		c := connect(t, addr)
		write(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nContent-Length: 65536\r\n\r\n")
		go func() { _, _ = c.Write(bytes.Repeat([]byte("x"), size)) }()
		return bufio.NewReader(c)
	}
	first := send()
	await(t, "the first request has not arrived", func() bool { return pool.Stats().Used == size })
	var resp fasthttp.Response
	second := send()
	await(t, "the second request has not arrived", func() bool { return s.InFlight() == 2 && pool.Stats().Used == 2*size })
	third := send()
	if err := resp.Read(third); err != nil || resp.StatusCode() != 200 && resp.StatusCode() != 503 {
		t.Fatalf("status %d, error %v, want 503", resp.StatusCode(), err)
	}
	if resp.StatusCode() != 503 || string(resp.Header.Peek(echoField)) != "7" {
		t.Errorf("status %d for request %q, want 503 for 7", resp.StatusCode(), resp.Header.Peek(echoField))
	}
	close(release)
	for _, br := range []*bufio.Reader{first, second} {
		if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
			t.Fatalf("status %d, error %v, want 200", resp.StatusCode(), err)
		}
	}
	await(t, "memory of answered requests is still held", func() bool { return pool.Stats().Used == 0 })
}

func await(t *testing.T, message string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}
