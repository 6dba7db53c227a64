package http1

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"siskinswitch.example/siskin/internal/trans/sock"
)

// asyncWriteBytes is the size of a body from which it is written by a goroutine of its
// own, so that an early answer can be read meanwhile.
const asyncWriteBytes = 16 << 10

// errBroken means that a connection ended, within an answer that lasts until the
// connection is closed, in another way.
var errBroken = errors.New("the connection broke within an answer without a length")

// sending is the write of a request, which may go on while the answer is read.
type sending struct {
	// done is closed at the end of the write. err is its error, valid from then on.
	done chan struct{}
	err  error
}

// send writes r. A request with a long body is written while send returns.
func (n *conn) send(r *Request) *sending {
	s := &sending{
		done: make(chan struct{}),
	}
	if len(r.Body) < asyncWriteBytes {
		head := appendRequest(make([]byte, 0, headBytes+len(r.Body)), r)
		_, s.err = n.raw.Write(append(head, r.Body...))
		close(s.done)
		return s
	}
	go func() {
		defer close(s.done)
		bufs := net.Buffers{appendRequest(make([]byte, 0, headBytes), r), r.Body}
		_, s.err = bufs.WriteTo(n.raw)
	}()
	return s
}

// isOver reports whether the write has ended by now.
func (s *sending) isOver() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// isWhole reports whether the whole request has been written by now.
func (s *sending) isWhole() bool { return s.isOver() && s.err == nil }

// isFutile reports whether the write has failed by now, for another reason than that
// the other end has closed the connection. It may have sent an answer before it did.
func (s *sending) isFutile() bool {
	return s.isOver() && s.err != nil && !errors.Is(s.err, syscall.EPIPE) && !errors.Is(s.err, syscall.ECONNRESET)
}

// wait waits for the end of the write and returns its error.
func (s *sending) wait() error {
	<-s.done
	return s.err
}

// checkEnd returns an error if the connection, which has ended for the reader, was not
// closed in order. The system reports the error of a connection once, to a read or to a
// write; once the write of the request has taken it, a read only finds the end. The
// write fails with EPIPE if the other end had closed its direction before.
func (n *conn) checkEnd(sent *sending) error {
	if sock.IsHalfClosed(n.raw) {
		return nil
	}
	err := sent.wait()
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("%w: %w", errBroken, err)
}
