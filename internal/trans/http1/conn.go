package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/head"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// maxMismatches is the number of answers to other requests that are read
	// before the client gives the connection up, and maxInterim that of interim
	// answers before each.
	maxMismatches = 4
	maxInterim    = 8
	// recentEchoes is the number of exchanges for which a connection remembers
	// the echo.
	recentEchoes = 8
	// maxRefusals is the number of refusals after which a connection is closed. It
	// remembers each of them, since a late copy of one could deny a later run.
	maxRefusals = 1 << 10
	// headBytes is the usual size of a message's header.
	headBytes = 1 << 10
	// readBufferBytes is the size of a read buffer. The header of an answer must
	// fit in it.
	readBufferBytes = 8 << 10
	// keepAliveMargin is subtracted from the idle timeout that the other end
	// announces, so that no request is sent while the other end closes.
	keepAliveMargin = 500 * clock.Millisecond
)

// conn is one connection of a client.
type conn struct {
	raw net.Conn
	br  *bufio.Reader
	// idleSince is the end of the last exchange. From usableUntil on, the
	// connection must not be reused.
	idleSince   clock.Milli
	usableUntil clock.Milli
	// peerIdle is the idle timeout that the other end announced, less a margin;
	// 0 if it announced none.
	peerIdle clock.Milli
	// recent holds the echoes of the last exchanges, the next one at position
	// exchanges modulo its length.
	recent    [recentEchoes]uint64
	exchanges int
	// beganAt is when the exchange in progress began, silence judges whether the
	// other end has fallen silent since, and isSilent is set if so. They belong to
	// the client's mutex.
	beganAt  clock.Milli
	silence  sock.Silence
	isSilent bool
	// refused holds the echoes of all exchanges that were refused or failed.
	refused []uint64
}

// record remembers the echo of an exchange.
func (n *conn) record(echo uint64) {
	n.recent[n.exchanges%recentEchoes] = echo
	n.exchanges++
}

// recordAnswer remembers how an exchange ended, and reports whether the connection
// has room for another refusal.
func (n *conn) recordAnswer(echo uint64, status int) bool {
	if echo != 0 && status >= fasthttp.StatusBadRequest {
		n.refused = append(n.refused, echo)
	}
	return len(n.refused) < maxRefusals
}

// hasCarried reports whether one of the last exchanges had the echo, or any that
// was refused.
func (n *conn) hasCarried(echo uint64) bool {
	return echo != 0 && (slices.Contains(n.recent[:], echo) || slices.Contains(n.refused, echo))
}

var (
	errMismatched = errors.New("received only answers to other requests")
	errInterim    = errors.New("received only interim answers")
	errSilent     = errors.New("the other end is silent")
)

// reading tells how to read an answer.
type reading struct {
	header    func(h *fasthttp.ResponseHeader, br *bufio.Reader) error
	echoField string
	maxBody   int
	hold      *hold.Hold
}

// exchange sends r and reads its answer. It also reports whether the connection
// may be reused.
func (n *conn) exchange(r *Request, how reading) (guard.Answer, bool, error) {
	sent := n.send(r)
	if sent.isFutile() {
		return guard.Answer{}, false, sent.err
	}
	a, reusable, err := n.read(r, sent, how)
	if err != nil {
		return a, false, err
	}
	// If the answer came before the request was written completely, the rest must
	// not run into the next request on this connection.
	return a, reusable && sent.isWhole(), nil
}

// read reads answers until one belongs to r, which sent writes. It also reports
// whether the connection may be reused.
func (n *conn) read(r *Request, sent *sending, how reading) (guard.Answer, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	wantEcho := ""
	if how.echoField != "" {
		wantEcho = r.Get(how.echoField)
	}
	reusable := true
	for range maxMismatches {
		body, err := n.readAnswer(resp, r.Method == fasthttp.MethodHead, sent, how)
		if err != nil {
			return guard.Answer{}, false, err
		}
		if wantEcho != "" && string(resp.Header.Peek(how.echoField)) != wantEcho {
			how.hold.Shrink(cap(body))
			reusable = false
			continue
		}
		reusable = reusable && n.isReusable(resp)
		return copyAnswer(resp, body), reusable, nil
	}
	return guard.Answer{}, false, errMismatched
}

// readAnswer reads one final answer to the request that sent writes. It leaves the
// header in resp and returns the body, which is empty if noBody is set.
func (n *conn) readAnswer(resp *fasthttp.Response, noBody bool, sent *sending, how reading) ([]byte, error) {
	h := &resp.Header
	for range maxInterim {
		resp.Reset()
		if err := how.header(h, n.br); err != nil {
			return nil, err
		}
		if status := h.StatusCode(); status < fasthttp.StatusContinue || status >= fasthttp.StatusOK {
			break
		}
	}
	if !hasBody(h.StatusCode()) {
		if h.StatusCode() < fasthttp.StatusOK {
			return nil, errInterim
		}
		return nil, nil
	}
	if noBody {
		return nil, nil
	}
	length := h.ContentLength()
	body, err := readBody(n.br, length, how.maxBody, how.hold)
	if err != nil {
		return nil, err
	}
	switch length {
	case lengthChunked:
		err = readTrailer(h, n.br)
	case lengthUntilClose:
		h.SetConnectionClose()
		err = n.checkEnd(sent)
	}
	if err != nil {
		how.hold.Shrink(cap(body))
		return nil, err
	}
	return body, nil
}

// unexpected returns err, or that a message ended too early for the end of a
// connection.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isReusable reports whether the connection may be used after the answer.
func (n *conn) isReusable(resp *fasthttp.Response) bool {
	if resp.ConnectionClose() || n.br.Buffered() > 0 {
		return false
	}
	n.peerIdle = keepAliveTimeout(resp.Header.Peek("Keep-Alive"))
	return true
}

// keepAliveTimeout parses the timeout of a Keep-Alive field and subtracts the
// margin. It returns 0 if there is no valid timeout.
func keepAliveTimeout(value []byte) clock.Milli {
	_, after, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(string(after), ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0
	}
	return max(clock.Milli(seconds)*clock.Second-keepAliveMargin, clock.Millisecond)
}

// isUnusable reports whether the other end has closed the connection or sent
// bytes that belong to no request.
func (n *conn) isUnusable() bool { return sock.Peek(n.raw) != sock.Open }

// abort ends a running exchange from another goroutine.
func (n *conn) abort() { _ = n.raw.Close() }

func (n *conn) close() { _ = n.raw.Close() }

func kindOf(err error) Kind {
	var broken *head.Error
	var panicked *rescue.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errSilent):
		return Timeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errNoMemory), errors.Is(err, errLongHead):
		return TooLarge
	case errors.Is(err, errMismatched), errors.Is(err, errInterim), errors.Is(err, errBadHead), errors.Is(err, errBadBody),
		errors.As(err, &broken), errors.As(err, &panicked):
		return BadAnswer
	}
	return Interrupted
}
