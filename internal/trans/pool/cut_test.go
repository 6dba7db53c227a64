package pool

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against an answer that its sender broke off, in its head or anywhere else,
// and that is passed on as if it were whole (MIXED, ORDER). Each recorded answer is
// cut at every byte.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
	tests := map[string]struct {
		text string
		want string
	}{
		"with a length": {
			text: head + "Content-Length: 12\r\n\r\nHTTP/1.1 200",
			want: "HTTP/1.1 200",
		},
		"empty": {
			text: head + "Content-Length: 0\r\n\r\n",
		},
		"in chunks with extensions and a trailer": {
			text: head + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nabcde\r\n0\r\nX-Sum: 17\r\n\r\n",
			want: "abcde",
		},
		"after an interim answer": {
			text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc",
			want: "abc",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			get := func(text string) (string, error) {
				addr, _ := rawServer(t, text, true)
				req := fasthttp.AcquireRequest()
				defer fasthttp.ReleaseRequest(req)
				req.SetRequestURI("http://" + addr + "/")
				var resp fasthttp.Response
				err := New(Config{}).Do(addr, req, &resp, 5*clock.Second)
				return string(resp.Body()), err
			}
			for cut := range len(tt.text) {
				if body, err := get(tt.text[:cut]); err == nil {
					t.Errorf("cut after %d of %d bytes, %q: an answer with body %q", cut, len(tt.text), tt.text[:cut], body)
				}
			}
			if body, err := get(tt.text); err != nil || body != tt.want {
				t.Errorf("whole: body %q, %v, want %q", body, err, tt.want)
			}
		})
	}
}
