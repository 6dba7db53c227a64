package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// defaultStallTime is how long a body may bring less than minProgressBytes. It is
	// above the pauses of a sender that is alive, such as a resent packet. Without
	// it, a sender that stops within a body would hold its memory until the deadline,
	// which may be a day away.
	defaultStallTime = 5 * clock.Second
	minProgressBytes = 4 << 10
	// maxBodyTime bounds the time for a body whose sender states none.
	maxBodyTime = 24 * 60 * 60 * clock.Second
	// earlyBytes is the length from which a body is read only after the precheck.
	// Reading a shorter one costs less than the new connection that its sender
	// needs after a refusal.
	earlyBytes = 16 << 10
)

var (
	errLateBody = errors.New("the body was not complete in time")
	errCutBody  = errors.New("the connection ended within the body")
)

// pacedReader reads from a connection. While a body is read, it bounds its time. Only
// the goroutine that reads the connection uses it.
type pacedReader struct {
	conn net.Conn
	// end is the instant at which the body must be complete, zero while none is read.
	end time.Time
	// stallEnd is the instant until which minProgressBytes must have arrived;
	// arrived counts them.
	stallEnd  time.Time
	stallTime time.Duration
	arrived   int
	// isLate is set when the time of the body is over.
	isLate bool
}

// beginBody begins the time of a body that may take the given time and may stall for
// stallTime.
func (p *pacedReader) beginBody(left, stallTime clock.Milli) {
	if stallTime <= 0 {
		stallTime = defaultStallTime
	}
	now := time.Now()
	p.end = now.Add(max(left, 0).Duration())
	p.stallTime = stallTime.Duration()
	p.stallEnd = now.Add(p.stallTime)
	p.arrived = 0
	p.isLate = false
}

// endBody ends the time of a body.
func (p *pacedReader) endBody() { p.end = time.Time{} }

// Read reads what has arrived. Within a body it fails with [os.ErrDeadlineExceeded]
// when the body's time is over.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.end.IsZero() {
		return p.conn.Read(b)
	}
	deadline := p.end
	if p.stallEnd.Before(deadline) {
		deadline = p.stallEnd
	}
	_ = p.conn.SetReadDeadline(deadline)
	n, err := p.conn.Read(b)
	p.arrived += n
	if p.arrived >= minProgressBytes {
		p.arrived = 0
		p.stallEnd = time.Now().Add(p.stallTime)
	}
	p.isLate = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// earlyReply is the error of a request that is answered before its body is read.
type earlyReply struct {
	reply Reply
}

// Error returns the text of the error. It is part of no answer.
func (e *earlyReply) Error() string { return "the request was refused before its body" }

// hasBodyAhead reports whether a request with the header h has a long body that has not
// arrived, or one that its sender holds back until it is asked for.
func (c *session) hasBodyAhead(h *fasthttp.RequestHeader) bool {
	length := h.ContentLength()
	switch {
	case length == 0, length == lengthUntilClose:
		return false
	case length == lengthChunked, isBodyHeldBack(h):
		return true
	}
	return length > max(earlyBytes, c.br.Buffered())
}

// isBodyHeldBack reports whether the sender of a request waits for an interim answer
// before it sends the body.
func isBodyHeldBack(h *fasthttp.RequestHeader) bool { return len(h.Peek("Expect")) > 0 }
