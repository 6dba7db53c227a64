package inbnd

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// FuzzRaw sends arbitrary bytes to the inbound port. Since they are not made with
// the fleet key, nothing may reach the target, and the next valid attempt must
// run as usual.
func FuzzRaw(f *testing.F) {
	for _, text := range []string{
		"GET /shop/read HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /outcome HTTP/1.1\r\nHost: x\r\n" + header.Hop + ": AAAA\r\n\r\n",
		"DELETE /outcome HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /stamp HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /shop/pay HTTP/1.1\r\nHost: x\r\n" + header.Ticket + ": x\r\nContent-Length: 3\r\n\r\nab",
		"POST /shop/pay HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"\x16\x03\x01\x00\xa5",
	} {
		f.Add(text)
	}
	fx := newFixture(f, clock.System(), func(*fasthttp.RequestCtx) {})
	ln := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{
		Handler:            fx.server.Handler,
		ErrorHandler:       outbnd.Malformed,
		ReadTimeout:        100 * time.Millisecond,
		MaxRequestBodySize: 1000,
		Logger:             zap.NewStdLog(zap.NewNop()),
	}
	go func() { _ = s.Serve(ln) }()
	f.Cleanup(func() { _ = ln.Close() })
	f.Fuzz(func(t *testing.T, text string) {
		fx.t = t
		conn, err := ln.Dial()
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		defer func() { _ = conn.Close() }()
		go func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }(conn)
		resp := &fasthttp.Response{}
		_ = resp.Read(bufio.NewReader(conn))
		if n := len(fx.arrived); n != 0 {
			t.Fatalf("%d requests reached the target", n)
		}
		if _, r := fx.run(fx.attempt("read")); r.State != reply.Done {
			t.Errorf("next attempt: state %q", r.State)
		}
		<-fx.arrived
	})
}
