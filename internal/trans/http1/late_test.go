package http1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// startRepeating starts a target that answers the n-th request, counted over all
// connections, with body n. Where a connection has a second request, copies of
// the answers before on that connection come first, late, as an extra.
func startRepeating(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				var sent []string
				for {
					var req fasthttp.Request
					if err := req.Read(br); err != nil {
						return
					}
					n := <-count + 1
					count <- n
					for _, copied := range sent {
						_, _ = c.Write([]byte(copied))
					}
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 1\r\n\r\n%d", req.Header.Peek(echoField), n)
					time.Sleep(5 * time.Millisecond)
					_, _ = c.Write([]byte(text))
					sent = append(sent, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLateCopyIsNobodysAnswer checks that a second copy of an answer, which
// arrives when its connection is in use again, is not taken for the answer to the
// later request, even if that repeats the first one and so has the same id. A
// copied "not run" would deny a run.
func TestLateCopyIsNobodysAnswer(t *testing.T) {
	tests := map[string]struct {
		ids []string
	}{
		"another request": {
			ids: []string{"1", "2", "3"},
		},
		"the same request again": {
			ids: []string{"1", "1", "1"},
		},
		"the same request after another": {
			ids: []string{"1", "2", "1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := endlessClient()
			addr := startRepeating(t)
			ctx, cancel := WithTimeout(context.Background(), 5*clock.Second)
			defer cancel()
			for i, id := range tt.ids {
				r := echoRequest()
				r.Fields = WithField(r.Fields, echoField, id)
				a, err := c.Do(ctx, addr, r, Options{})
				if want := fmt.Sprint(i + 1); err != nil || string(a.Body) != want {
					t.Fatalf("request %d got answer %q, %v", i+1, a.Body, err)
				}
			}
		})
	}
}

// startRefusing starts a target that refuses every request, except that one whose id
// it has refused on the connection before first gets a copy of that refusal and then
// runs.
func startRefusing(t *testing.T) (addr string, runs, conns func() int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var ran, opened atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				br := bufio.NewReader(c)
				refused := make(map[string]bool)
				for {
					var req fasthttp.Request
					if err := req.Read(br); err != nil {
						return
					}
					id := string(req.Header.Peek(echoField))
					_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
					if refused[id] {
						ran.Add(1)
					}
					refused[id] = true
				}
			}()
		}
	}()
	return l.Addr().String(), func() int { return int(ran.Load()) }, func() int { return int(opened.Load()) }
}

// Guards against a copy of an earlier refusal that is taken for the answer to a
// later attempt at the same request, which ran (REFUSED, TWICE).
func TestCopiedRefusalDeniesNoRun(t *testing.T) {
	for _, between := range []int{0, 1, 7, 8, 20, 3 * recentEchoes, maxRefusals - 1, maxRefusals, 2 * maxRefusals} {
		t.Run(fmt.Sprintf("after %d other requests", between), func(t *testing.T) {
			c := endlessClient()
			addr, runs, conns := startRefusing(t)
			ctx, cancel := WithTimeout(context.Background(), 5*clock.Second)
			defer cancel()
			send := func(id string) {
				t.Helper()
				r := echoRequest()
				r.Fields = WithField(r.Fields, echoField, id)
				if _, err := c.Do(ctx, addr, r, Options{}); err != nil {
					t.Fatal(err)
				}
			}
			send("again")
			for i := range between {
				send(fmt.Sprint(i))
			}
			send("again")
			if n := runs(); n != 0 {
				t.Errorf("%d requests ran and were told that they did not", n)
			}
			if n, most := conns(), between/maxRefusals+2; n > most {
				t.Errorf("%d connections, want %d or fewer", n, most)
			}
		})
	}
}
