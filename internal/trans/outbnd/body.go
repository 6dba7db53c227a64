package outbnd

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/header"
)

// readBody copies the request's header, URI and body into the call, because
// attempts may outlive the exchange with the caller.
func (c *call) readBody(ctx *fasthttp.RequestCtx) {
	h := &fasthttp.RequestHeader{}
	ctx.Request.Header.CopyTo(h)
	c.stripHeader(h)
	h.Set(header.IdempotencyKey, c.id)
	h.SetBytesV(header.Traceparent, traceparent(c.root))
	c.header = h
	c.uri = bytes.Clone(ctx.Request.URI().RequestURI())
	c.body = bytes.Clone(ctx.Request.Body())
	c.digest = RequestDigest(&ctx.Request)
}

// stripHeader removes the fields that must not be forwarded. Most requests have
// only one or two of them, so a single pass over the header finds them.
func (c *call) stripHeader(h *fasthttp.RequestHeader) {
	var found [8][]byte
	names := found[:0]
	for name := range h.All() {
		if isStripped(name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		h.DelBytes(name)
	}
}

// isStripped reports whether a header field must not be forwarded: the fields of
// one connection, the caller's secret, and the fields that only daemons may set.
func isStripped(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection,
		fasthttp.HeaderKeepAlive,
		fasthttp.HeaderTE,
		fasthttp.HeaderTrailer,
		fasthttp.HeaderUpgrade,
		fasthttp.HeaderExpect,
		fasthttp.HeaderProxyAuthorization,
		fasthttp.HeaderProxyConnection,
		fasthttp.HeaderAuthorization,
		header.Ticket,
		header.Context,
		header.Attempt,
		header.Deadline,
		header.Importance,
		header.Hop,
		header.Reply:
		return true
	}
	return false
}

// RequestDigest hashes a request's method, path, query and body. Two requests
// with the same digest are taken for the same request.
func RequestDigest(r *fasthttp.Request) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{r.Header.Method(), r.URI().RequestURI()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body())
	return d.Sum64()
}
