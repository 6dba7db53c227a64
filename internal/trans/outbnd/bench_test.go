package outbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// BenchmarkTraceparent measures writing the trace context of one attempt.
func BenchmarkTraceparent(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		traceparent("0123456789abcdef0123456789abcdef")
	}
}

// BenchmarkCall measures calls through the outbound side to a guard in the same
// process.
func BenchmarkCall(b *testing.B) {
	w := newFixture(b, func(q guardRequest) { q.answer(reply.Done, nil) })
	b.ReportAllocs()
	for b.Loop() {
		w.call("shop/read", nil)
	}
}

// BenchmarkReadBody measures copying a caller's request without the stripped
// header fields.
func BenchmarkReadBody(b *testing.B) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/shop/read")
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.Header.SetHost("daemon")
	for _, name := range []string{fasthttp.HeaderAuthorization, header.Deadline, fasthttp.HeaderAccept, fasthttp.HeaderAcceptEncoding} {
		ctx.Request.Header.Set(name, "value")
	}
	ctx.Request.SetBodyString("body")
	b.ReportAllocs()
	for b.Loop() {
		c := &call{
			id:   "id",
			root: "0123456789abcdef0123456789abcdef",
		}
		c.readBody(ctx)
	}
}
