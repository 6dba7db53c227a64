package outbnd

import (
	"testing"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/pkg/header"
)

// FuzzRaw sends arbitrary bytes to the outbound port. Every answer must state an
// outcome, and the next call must succeed.
func FuzzRaw(f *testing.F) {
	const auth = "Host: x\r\nAuthorization: Bearer " + testSecret + "\r\n"
	for _, text := range []string{
		"GET /shop/read HTTP/1.1\r\n" + auth + "\r\n",
		"POST /shop/pay HTTP/1.1\r\n" + auth + header.Ticket + ": x\r\n\r\n",
		"POST /shop/read HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"POST /shop/read HTTP/1.1\r\n" + auth + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /shop/read HTTP/1.1\r\n" + auth + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
		"GET /outcome HTTP/1.1\r\n" + auth + header.Ticket + ": x\r\n\r\n",
		"GET //shop/../read?%zz#x HTTP/1.1\r\n" + auth + "\r\n",
		"GET /shop/read HTTP/1.0\r\n" + header.Context + ": 00\r\n" + header.Deadline + ": -9\r\n\r\n",
		"HEAD /shop/read HTTP/1.1\r\n" + auth + "\r\n\r\nGET /shop/list HTTP/1.1\r\n\r\n",
		"POST /shop/read HTTP/1.1\r\n" + auth + "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 5\r\n\r\n--b--",
		"\x00\xff\r\n\r\n",
	} {
		f.Add(text)
	}
	w := newFixture(f, func(q guardRequest) { q.answer(reply.Done, nil) })
	ln := w.serveRaw()
	f.Fuzz(func(t *testing.T, text string) {
		w.t = t
		if resp := sendRaw(t, ln, text); resp != nil && resp.StatusCode() != fasthttp.StatusContinue {
			switch outcome := outcomeOf(resp); outcome {
			case header.Done, header.NotRun, header.Unknown:
			default:
				t.Errorf("outcome %q, status %d", outcome, resp.StatusCode())
			}
		}
		if resp := w.call("shop/read", nil); outcomeOf(resp) != header.Done {
			t.Errorf("next call: status %d, body %s", resp.StatusCode(), resp.Body())
		}
	})
}
