package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead checks that an answer that is taken for one means the same to another reader,
// that of the standard library: a caller that understands it differently would get
// another status or body.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		statusLine + lengthLine + "\r\nabc",
		"HTTP/1.0 503\r\nX-A:\t b \r\n\r\nabc",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + statusLine + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 000 OK\r\n" + lengthLine + "\r\nabc",
		statusLine + "X A: b\r\n" + lengthLine + "\r\nabc",
		statusLine + "X-A: b\r\n\tContent-Length: 1\r\n\r\nabc",
		statusLine + "X-A: b\r\n\nContent-Length: 1\r\n\r\nabc",
		statusLine + "Transfer-Encoding: chunked\r\n" + lengthLine + "\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 204 None\r\n" + lengthLine + "\r\nabc",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		raw := &scriptedConn{
			text: bufio.NewReader(strings.NewReader(text)),
		}
		n := &conn{
			raw: raw,
			br:  bufio.NewReaderSize(raw, readBufferBytes),
		}
		a, _, err := n.exchange(&Request{
			Method: http.MethodGet,
			URI:    "/a",
		}, reading{
			header:  readHead,
			maxBody: 1 << 20,
		})
		if err != nil {
			return
		}
		status, body, err := readStandard(text)
		if err != nil || status != a.Status || !bytes.Equal(body, a.Body) {
			t.Errorf("%q: %d with body %q, but %d with body %q, %v, by the standard library", text, a.Status, a.Body, status, body, err)
		}
	})
}

// readStandard reads the first final answer in text by the standard library.
func readStandard(text string) (int, []byte, error) {
	br := bufio.NewReaderSize(strings.NewReader(text), readBufferBytes)
	for {
		// Empty lines before an answer belong to none.
		for b, _ := br.Peek(2); string(b) == "\r\n"; b, _ = br.Peek(2) {
			_, _ = br.Discard(2)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, body, err
	}
}
