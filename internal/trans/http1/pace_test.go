package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/pkg/clock"
)

const postHead = "POST /a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n"

// readReply reads an answer from a connection and returns its status, 0 if the
// connection ends without one, and whether the server closes the connection.
func readReply(c net.Conn) (status int, closes bool) {
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return 0, true
	}
	return resp.StatusCode(), resp.ConnectionClose()
}

// Guards against a body that stalls, breaks off or misstates its length and holds its
// memory for ever, runs, or gets no answer.
func TestFaultyBodyIsAnsweredInTime(t *testing.T) {
	const (
		bodyTime  = 600 * clock.Millisecond
		stallTime = 300 * clock.Millisecond
	)
	tests := map[string]struct {
		sent string
		// drip is sent every 50 ms behind it; end closes the writing direction.
		drip   string
		end    bool
		status int
		within time.Duration
		runs   int32
	}{
		"stalls": {
			sent:   postHead + "Content-Length: 100\r\n\r\nabc",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"stalls before its first byte": {
			sent:   postHead + "Content-Length: 50000\r\n\r\n",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"brings too little": {
			sent:   postHead + "Content-Length: 50000\r\n\r\n",
			drip:   "abc",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"goes on beyond its time": {
			sent:   postHead + "Content-Length: 60000\r\n\r\n",
			drip:   strings.Repeat("x", minProgressBytes/4),
			status: 408,
			within: 900 * time.Millisecond,
		},
		"in chunks, stalls between two": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"in chunks, stalls in a size": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"in chunks, shorter than a size": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\nffffff\r\nabc",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"in chunks, stalls in its trailer": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1",
			status: 408,
			within: 500 * time.Millisecond,
		},
		"in chunks, longer than a size": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
			status: 400,
			within: 100 * time.Millisecond,
		},
		"in chunks, a size beyond all numbers": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nabc",
			status: 400,
			within: 100 * time.Millisecond,
		},
		"breaks off": {
			sent:   postHead + "Content-Length: 100\r\n\r\nabc",
			end:    true,
			status: 400,
			within: 100 * time.Millisecond,
		},
		"in chunks, breaks off": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			end:    true,
			status: 400,
			within: 100 * time.Millisecond,
		},
		"in chunks, breaks off in its trailer": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1",
			end:    true,
			status: 400,
			within: 100 * time.Millisecond,
		},
		"a negative length": {
			sent:   postHead + "Content-Length: -5\r\n\r\nabcde",
			status: 400,
			within: 100 * time.Millisecond,
		},
		"two lengths": {
			sent:   postHead + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
			status: 400,
			within: 100 * time.Millisecond,
		},
		"a length and chunks, which count": {
			sent:   postHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
			status: 200,
			within: 100 * time.Millisecond,
			runs:   1,
		},
		"a length beyond the limit": {
			sent:   postHead + "Content-Length: 70000\r\n\r\n",
			status: 413,
			within: 100 * time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := hold.NewPool(1 << 20)
			var runs atomic.Int32
			s, addr := startServer(t, ServerConfig{
				Limits: func() ServerLimits {
					l := testLimits()
					l.StallTime = stallTime
					return l
				},
				BodyTime: func(*Request) clock.Milli { return bodyTime },
				Requests: pool,
				Handle: func(context.Context, *Request) Reply {
					runs.Add(1)
					return answer(fasthttp.StatusOK, "")
				},
			})
			c := connect(t, addr)
			began := time.Now()
			write(t, c, tt.sent)
			if tt.end {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			if tt.drip != "" {
				go drip(c, tt.drip)
			}
			status, closes := readReply(c)
			if took := time.Since(began); status != tt.status || !closes || took > tt.within+slack {
				t.Errorf("status %d, closes %v after %v; want %d, true within %v", status, closes, took, tt.status, tt.within)
			}
			_ = c.Close()
			if n := runs.Load(); n != tt.runs {
				t.Errorf("ran %d times, want %d", n, tt.runs)
			}
			waitFor(t, func() bool { return pool.Stats().Used == 0 && s.InFlight() == 0 })
		})
	}
}

// slack is added to times for a busy machine.
const slack = 400 * time.Millisecond

// drip writes text every 50 ms until the connection ends.
func drip(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold within 5 s")
		}
	}
}

// Guards against a body that is late although it arrives in many slow pieces, in less
// than its time.
func TestSlowBodyIsRead(t *testing.T) {
	addr := serve(t, ServerConfig{
		Limits: func() ServerLimits {
			l := testLimits()
			l.StallTime = 300 * clock.Millisecond
			return l
		},
		Handle: func(_ context.Context, r *Request) Reply {
			return answer(fasthttp.StatusOK, fmt.Sprint(len(r.Body)))
		},
	})
	c := connect(t, addr)
	write(t, c, postHead+"Content-Length: 40960\r\n\r\n")
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		write(t, c, strings.Repeat("x", minProgressBytes))
	}
	if status, _ := readReply(c); status != fasthttp.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// Guards against stalled bodies that keep the memory from those of others.
func TestManyStalledBodiesFreeTheirMemory(t *testing.T) {
	const callers = 100
	pool := hold.NewPool(2 << 20)
	addr := serve(t, ServerConfig{
		Requests: pool,
		BodyTime: func(r *Request) clock.Milli {
			if r.URI == "/a" {
				return 500 * clock.Millisecond
			}
			return clock.Second
		},
		Handle: func(_ context.Context, r *Request) Reply { return answer(fasthttp.StatusOK, fmt.Sprint(len(r.Body))) },
	})
	statuses := make(chan int, callers)
	for range callers {
		c := connect(t, addr)
		write(t, c, postHead+"Content-Length: 60000\r\n\r\nabc")
		go func() {
			status, _ := readReply(c)
			statuses <- status
		}()
	}
	small := connect(t, addr)
	write(t, small, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	if status, _ := readReply(small); status != fasthttp.StatusOK {
		t.Errorf("status %d of a short body beside stalled ones, want 200", status)
	}
	counts := make(map[int]int)
	for range callers {
		counts[<-statuses]++
	}
	if counts[408] == 0 || counts[408]+counts[503] != callers {
		t.Errorf("answers by status: %v, want 408, or 503 without memory", counts)
	}
	waitFor(t, func() bool { return pool.Stats().Used == 0 })
}

// Guards against a request that is refused whatever its body is, but whose whole body
// is read first; against a sender that does not get the answer because it still
// writes; and against a connection that is closed though the body had arrived.
func TestPrecheck(t *testing.T) {
	long := strings.Repeat("x", 60_000)
	tests := map[string]struct {
		sent string
		// then is sent some time after it.
		then   string
		status int
		closes bool
		// asked says that the precheck is asked.
		asked bool
	}{
		"long body, not sent": {
			sent:   postHead + "Content-Length: 60000\r\n\r\n",
			status: 503,
			closes: true,
			asked:  true,
		},
		"long body, sent slowly": {
			sent:   postHead + "Content-Length: 60000\r\n\r\nabc",
			then:   long,
			status: 503,
			closes: true,
			asked:  true,
		},
		"in chunks": {
			sent:   postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\n",
			status: 503,
			closes: true,
			asked:  true,
		},
		"held back": {
			sent:   postHead + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n",
			status: 503,
			closes: true,
			asked:  true,
		},
		"short body": {
			sent:   postHead + "Content-Length: 3\r\n\r\n",
			then:   "abc",
			status: 200,
		},
		"no body": {
			sent:   postHead + "Content-Length: 0\r\n\r\n",
			status: 200,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int32
			pool := hold.NewPool(1 << 20)
			addr := serve(t, ServerConfig{
				Requests: pool,
				Precheck: func(r *Request) (Reply, bool) {
					asked.Add(1)
					if r.Get(echoField) != "1" || r.Body != nil || pool.Stats().Used > 0 {
						t.Errorf("request %+v with %d bytes held", r, pool.Stats().Used)
					}
					return answer(fasthttp.StatusServiceUnavailable, "no"), true
				},
				Handle: func(context.Context, *Request) Reply { return answer(fasthttp.StatusOK, "") },
			})
			c := connect(t, addr)
			write(t, c, tt.sent)
			for begin := 0; begin < len(tt.then); begin += 3000 {
				time.Sleep(50 * time.Millisecond)
				write(t, c, tt.then[begin:min(begin+3000, len(tt.then))])
			}
			status, closes := readReply(c)
			if status != tt.status || closes != tt.closes || (asked.Load() == 1) != tt.asked {
				t.Errorf("status %d, closes %v, asked %d times; want %d, %v, asked: %v",
					status, closes, asked.Load(), tt.status, tt.closes, tt.asked)
			}
		})
	}
}

// Guards against a body that is asked for with an interim answer and then not read.
func TestBodyHeldBackIsAskedFor(t *testing.T) {
	addr := serve(t, ServerConfig{
		Precheck: func(*Request) (Reply, bool) { return Reply{}, false },
		Handle:   func(_ context.Context, r *Request) Reply { return answer(fasthttp.StatusOK, string(r.Body)) },
	})
	c := connect(t, addr)
	write(t, c, postHead+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	if _, err := io.ReadFull(c, interim); err != nil || !strings.Contains(string(interim), " 100 ") {
		t.Fatalf("read %q, %v, want an interim answer", interim, err)
	}
	write(t, c, "abc")
	if status, _ := readReply(c); status != fasthttp.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}
