package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// slowWindowBytes is the receive buffer of a peer that reads slowly.
	slowWindowBytes = 4 << 10
	// slowPause is how long such a peer reads nothing.
	slowPause = 4 * time.Second
)

// shrinkWindow sets a small receive buffer on a socket before it connects or listens.
func shrinkWindow(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindowBytes)
	})
	if err != nil {
		return err
	}
	return set
}

// Guards against an answer that is cut because its client reads nothing for some
// seconds, though its system acknowledges every probe (LOST).
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	tests := map[string]struct {
		bodyBytes int
		request   string
		// stop stops the server once the head of the answer has arrived.
		stop bool
	}{
		"fits in the buffers between": {
			bodyBytes: 30_000,
			request:   "GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
		},
		"longer than the buffers between": {
			bodyBytes: 12 << 20,
			request:   "GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
		},
		"the client wants the connection closed": {
			bodyBytes: 30_000,
			request:   "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		},
		"the client sends another request behind it": {
			bodyBytes: 30_000,
			request:   "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		},
		"the server stops": {
			bodyBytes: 30_000,
			request:   "GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
			stop:      true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, addr := startServer(t, ServerConfig{
				Handle: func(context.Context, *Request) Reply {
					return answer(fasthttp.StatusOK, strings.Repeat("x", tt.bodyBytes))
				},
			})
			d := net.Dialer{
				Control: shrinkWindow,
			}
			c, err := d.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReaderSize(c, 256)
			if _, err := br.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			if tt.stop {
				s.Stop()
				s.CloseIdle()
			}
			time.Sleep(slowPause)
			h := readFields(t, br)
			n, err := io.CopyN(io.Discard, br, int64(tt.bodyBytes))
			if err != nil || h["Content-Length"] != strconv.Itoa(tt.bodyBytes) {
				t.Errorf("got %d bytes of %d after a pause of %v: %v, header %v", n, tt.bodyBytes, slowPause, err, h)
			}
		})
	}
}

// readFields reads header fields up to the empty line behind them.
func readFields(t *testing.T, br *bufio.Reader) map[string]string {
	t.Helper()
	fields := make(map[string]string)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			t.Fatalf("read header: %v", err)
		}
		name, value, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			return fields
		}
		fields[name] = value
	}
}

// Guards against a request that is cut because its target reads nothing for some
// seconds; one that may not be repeated is lost then (LOST).
func TestSlowTargetGetsTheWholeRequest(t *testing.T) {
	for name, bodyBytes := range map[string]int{
		"written with its head":           10 << 10,
		"fits in the buffers between":     30_000,
		"longer than the buffers between": 12 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := net.ListenConfig{
				Control: shrinkWindow,
			}
			l, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go answerSlowly(l)
			client := NewClient(ClientConfig{
				Clock:       clock.System(),
				DialTimeout: clock.Second,
				IdleTimeout: clock.Second,
				MaxBody:     1 << 20,
			})
			ctx, cancel := context.WithTimeout(context.Background(), 4*slowPause)
			defer cancel()
			a, err := client.Do(ctx, l.Addr().String(), &Request{
				Method: "POST",
				URI:    "/a",
				Host:   "x",
				Body:   make([]byte, bodyBytes),
			}, Options{})
			if err != nil || string(a.Body) != strconv.Itoa(bodyBytes) {
				t.Errorf("the target that read %d bytes after a pause of %v answered %q, %v", bodyBytes, slowPause, a.Body, err)
			}
		})
	}
}

// answerSlowly accepts one connection, pauses, reads a request with a length and
// answers how many bytes its body had.
func answerSlowly(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	time.Sleep(slowPause)
	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(c)); err != nil {
		return
	}
	body := strconv.Itoa(len(req.Body()))
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
