package outbnd

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// serveRaw serves the outbound port as the daemon does, with small limits.
func (w *fixture) serveRaw() *fasthttputil.InmemoryListener {
	ln := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{
		Handler:                      w.server.Handler,
		ErrorHandler:                 Malformed,
		ReadTimeout:                  100 * time.Millisecond,
		MaxRequestBodySize:           1000,
		DisablePreParseMultipartForm: true,
		Logger:                       quietLog{},
	}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = ln.Close() })
	return ln
}

type quietLog struct{}

// Printf discards the message.
func (quietLog) Printf(string, ...any) {}

// sendRaw sends text on a new connection and returns the answer, nil if there is
// none.
func sendRaw(t testing.TB, ln *fasthttputil.InmemoryListener, text string) *fasthttp.Response {
	t.Helper()
	conn, err := ln.Dial()
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = conn.Close() }()
	go func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }(conn)
	resp := &fasthttp.Response{}
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return nil
	}
	return resp
}

// TestUnreadable checks that a request that cannot be read is answered as not-run
// only if the same request cannot have run when it was sent before.
func TestUnreadable(t *testing.T) {
	const (
		post   = "POST /shop/pay HTTP/1.1\r\nHost: x\r\n"
		auth   = "Authorization: Bearer " + testSecret + "\r\n"
		ticket = header.Ticket + ": anything\r\n"
	)
	tests := map[string]struct {
		text string
		want string
	}{
		"body on a ticket is incomplete": {
			text: post + auth + ticket + "Content-Length: 20\r\n\r\nhalf",
			want: header.Unknown,
		},
		"header is incomplete before any ticket": {
			text: post + auth,
			want: header.Unknown,
		},
		"body on a ticket is too large": {
			text: post + auth + ticket + "Content-Length: 99999\r\n\r\n",
			want: header.Unknown,
		},
		"chunked body on a ticket is too large": {
			text: post + auth + ticket + "Transfer-Encoding: chunked\r\n\r\n" + "400\r\n" + strings.Repeat("x", 1024) + "\r\n400\r\n",
			want: header.Unknown,
		},
		"body is too large": {
			text: post + auth + "Content-Length: 99999\r\n\r\n",
			want: header.NotRun,
		},
		"path of another form on a ticket": {
			text: "POST /shop HTTP/1.1\r\nHost: x\r\n" + auth + ticket + "\r\n",
			want: header.Unknown,
		},
	}
	w := newFixture(t, func(q guardRequest) { q.answer(reply.Unknown, nil) })
	ln := w.serveRaw()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resp := sendRaw(t, ln, tt.text)
			if resp == nil {
				t.Fatal("no answer")
			}
			if got := outcomeOf(resp); got != tt.want {
				t.Errorf("outcome %q, want %q; status %d", got, tt.want, resp.StatusCode())
			}
		})
	}
}
