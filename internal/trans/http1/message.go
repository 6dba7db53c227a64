// Package http1 exchanges HTTP/1.1 requests and answers over connections that
// it manages itself: [Server] serves callers and other daemons, [Client] talks
// to other daemons, targets and the store.
//
// The HTTP library only parses and limits messages. The connection loops are
// written here because they must handle cases that the library hides:
//
//   - a client that disconnects while its request runs, even with further
//     pipelined requests behind it;
//   - an answer with a malformed head;
//   - bytes after a complete answer;
//   - an answer that belongs to another request;
//   - an answer without a length on a connection that is reset, also while the
//     request is still being written;
//   - a target that answers before it has read the whole request.
//
// Both ends buffer whole messages. An answer is passed on only when it is
// complete, so a caller never sees a part of an interrupted one.
package http1

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/pkg/clock"
)

// Request is a complete request.
type Request struct {
	Method string
	Host   string
	// URI is the path and query as they were sent, without normalization.
	URI string
	// Fields holds the header fields in their order. Host, hop-by-hop fields
	// and Content-Length are left out.
	Fields []guard.Field
	Body   []byte
	// From is the network address of the sender.
	From string
	// Arrived is the instant at which the header was complete.
	Arrived clock.Milli

	close bool
	// hold is the memory of the body.
	hold *hold.Hold
}

// Get returns the value of the first field with the name, "" if there is none.
// The name must be in canonical form.
func (r *Request) Get(name string) string { return Get(r.Fields, name) }

// Get returns the value of the first of fields with the name, "" if there is
// none. The name must be in canonical form.
func Get(fields []guard.Field, name string) string {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value
		}
	}
	return ""
}

// WithField returns a copy of fields with exactly one field of the name, which
// has the value.
func WithField(fields []guard.Field, name, value string) []guard.Field {
	return append(WithoutField(fields, name), guard.Field{
		Name:  name,
		Value: value,
	})
}

// WithoutField returns a copy of fields without those of the name.
func WithoutField(fields []guard.Field, name string) []guard.Field {
	kept := make([]guard.Field, 0, len(fields)+1)
	for _, f := range fields {
		if f.Name != name {
			kept = append(kept, f)
		}
	}
	return kept
}

// Path returns the URI without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// isHopByHop reports whether a field concerns one connection only or is written
// anew with each message. The name must be in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// copyRequest returns a request without a body, with a copy of the header.
func copyRequest(h *fasthttp.RequestHeader) *Request {
	r := &Request{
		Method: string(h.Method()),
		Host:   string(h.Host()),
		URI:    string(h.RequestURI()),
		Fields: make([]guard.Field, 0, 8),
		close:  h.ConnectionClose(),
	}
	connection := connectionFields(h.Peek("Connection"))
	for name, value := range h.AllInOrder() {
		if isHopByHop(string(name)) || connection[string(name)] {
			continue
		}
		r.Fields = append(r.Fields, guard.Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return r
}

// connectionFields returns the names that a Connection field lists as
// hop-by-hop.
func connectionFields(value []byte) map[string]bool {
	if len(value) == 0 || bytes.EqualFold(value, []byte("close")) || bytes.EqualFold(value, []byte("keep-alive")) {
		return nil
	}
	names := make(map[string]bool)
	for _, name := range strings.Split(string(value), ",") {
		h := []byte(strings.TrimSpace(name))
		names[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, h))] = true
	}
	return names
}

// copyAnswer returns an answer with a copy of the header in resp and the body.
func copyAnswer(resp *fasthttp.Response, body []byte) guard.Answer {
	h := &resp.Header
	a := guard.Answer{
		Status: h.StatusCode(),
		Fields: make([]guard.Field, 0, 8),
		Body:   body,
	}
	for name, value := range h.All() {
		if isHopByHop(string(name)) || len(value) == 0 {
			continue
		}
		a.Fields = append(a.Fields, guard.Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return a
}

// appendRequest appends the request line and header of r to dst.
func appendRequest(dst []byte, r *Request) []byte {
	dst = append(dst, r.Method...)
	dst = append(dst, ' ')
	dst = append(dst, r.URI...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, r.Host...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, r.Fields)
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		dst = appendLength(dst, len(r.Body))
	}
	return append(dst, "\r\n"...)
}

// appendAnswer appends the status line and header of a to dst.
func appendAnswer(dst []byte, a *guard.Answer, closes bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(a.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(a.Status)...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, a.Fields)
	if hasBody(a.Status) {
		dst = appendLength(dst, len(a.Body))
	}
	if closes {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// hasBody reports whether an answer with the status may have a body.
func hasBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

func appendFields(dst []byte, fields []guard.Field) []byte {
	for i := range fields {
		dst = append(dst, fields[i].Name...)
		dst = append(dst, ": "...)
		dst = append(dst, fields[i].Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}
