package http1

import (
	"context"
	"fmt"
	"net"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against an answer that its sender broke off, in its head or anywhere else,
// and that is passed on as if it were whole (MIXED, ORDER). Each recorded answer is
// cut at every byte. The body of one without a length may end anywhere, but only by
// an orderly close.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n"
	tests := map[string]struct {
		head string
		body string
		// endsByClose says that the end of the connection ends the body.
		endsByClose bool
		want        string
	}{
		"with a length": {
			head: head + "Content-Length: 12\r\n\r\n",
			body: "HTTP/1.1 200",
			want: "HTTP/1.1 200",
		},
		"empty": {
			head: head + "Content-Length: 0\r\n\r\n",
		},
		"length first": {
			head: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n",
			body: "0123456789",
			want: "0123456789",
		},
		"in chunks": {
			head: head + "Transfer-Encoding: chunked\r\n\r\n",
			body: "5\r\nabcde\r\na\r\n0123456789\r\n0\r\n\r\n",
			want: "abcde0123456789",
		},
		"in chunks with extensions and a trailer": {
			head: head + "Transfer-Encoding: chunked\r\n\r\n",
			body: "5;x=y\r\nabcde\r\n0\r\nX-Sum: 17\r\n\r\n",
			want: "abcde",
		},
		"after an interim answer": {
			head: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 3\r\n\r\n",
			body: "abc",
			want: "abc",
		},
		"after an answer to another request": {
			head: "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 1\r\n\r\nz" + head + "Content-Length: 3\r\n\r\n",
			body: "abc",
			want: "abc",
		},
		"without a length": {
			head:        head + "\r\n",
			body:        "abcdef",
			endsByClose: true,
			want:        "abcdef",
		},
		"without a body": {
			head: "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n",
		},
	}
	for name, tt := range tests {
		for _, end := range []struct {
			name    string
			isReset bool
		}{
			{
				name: "closed",
			},
			{
				name:    "reset",
				isReset: true,
			},
		} {
			t.Run(name+", "+end.name, func(t *testing.T) {
				t.Parallel()
				whole := tt.head + tt.body
				for cut := range len(whole) {
					mayEnd := tt.endsByClose && !end.isReset && cut >= len(tt.head)
					if a, err := cutAnswer(t, whole[:cut], end.isReset); err == nil && !mayEnd {
						t.Errorf("cut after %d of %d bytes, %q: answer %d with body %q", cut, len(whole), whole[:cut], a.status, a.body)
					}
				}
				if end.isReset {
					return
				}
				if a, err := cutAnswer(t, whole, false); err != nil || a.body != tt.want {
					t.Errorf("whole: body %q, %v, want %q", a.body, err, tt.want)
				}
			})
		}
	}
}

// received is an answer as a test compares it.
type received struct {
	status int
	body   string
}

// cutAnswer sends a request to a target that answers with text and ends the
// connection.
func cutAnswer(t *testing.T, text string, isReset bool) (received, error) {
	t.Helper()
	addr := startTarget(t, text, func(c *net.TCPConn) {
		if isReset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	})
	ctx, cancel := WithTimeout(context.Background(), 5*clock.Second)
	defer cancel()
	a, err := endlessClient().Do(ctx, addr, echoRequest(), Options{})
	if err != nil {
		return received{}, fmt.Errorf("cut: %w", err)
	}
	return received{
		status: a.Status,
		body:   string(a.Body),
	}, nil
}
