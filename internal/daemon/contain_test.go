package daemon

import (
	"bufio"
	"io"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"siskinswitch.example/siskin/internal/proto/event"
)

// TestPanicClosesOnlyItsConnection checks that a request on which a handler
// panics gets no answer that looks complete, that the panic is logged, and that
// the next connection is served.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	d := &Daemon{
		log: zap.New(core),
	}
	ln := fasthttputil.NewInmemoryListener()
	defer func() { _ = ln.Close() }()
	server := &fasthttp.Server{
		Handler: d.contained(func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyString("begun")
			if string(ctx.Path()) == "/poison" {
				panic("planted")
			}
		}),
	}
	go func() { _ = server.Serve(ln) }()
	for _, tt := range []struct {
		path string
		want string
	}{
		{
			path: "/poison",
		},
		{
			path: "/sound",
			want: "begun",
		},
	} {
		c, err := ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET "+tt.path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		err = resp.Read(bufio.NewReader(c))
		if tt.want == "" && err == nil {
			t.Errorf("%s: got an answer, status %d, body %q", tt.path, resp.StatusCode(), resp.Body())
		}
		if tt.want != "" && (err != nil || string(resp.Body()) != tt.want) {
			t.Errorf("%s: body %q, %v", tt.path, resp.Body(), err)
		}
		_ = c.Close()
	}
	if n := lines.FilterField(zap.Int("event", event.Panicked.Number)).Len(); n != 1 {
		t.Errorf("%d events about a panic, want 1", n)
	}
}
