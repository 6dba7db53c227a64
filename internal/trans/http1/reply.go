package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"siskinswitch.example/siskin/internal/state/guard"
)

// writeLoop writes the replies in the order of their requests.
func (c *session) writeLoop() {
	defer close(c.writerDone)
	closed := false
	for p := range c.replies {
		reply := <-p.reply
		if !closed {
			closed = !c.writeReply(p, reply)
		}
		c.finish(p)
	}
	if !closed && !c.closing.Load() {
		c.closeGracefully()
	}
}

// writeReply writes one reply and reports whether further replies may follow.
func (c *session) writeReply(p *pendingReply, reply Reply) bool {
	if reply.Drop {
		c.closing.Store(true)
		c.reset()
		return false
	}
	closes := reply.Close || p.close || c.closesIdle.Load() || c.server.stopping.Load()
	if closes {
		c.closing.Store(true)
	}
	if err := c.writeAnswer(&reply.Answer, p.noBody, closes); err != nil {
		c.reportBroken(err)
		c.closing.Store(true)
		c.reset()
		return false
	}
	if closes {
		c.closeGracefully()
		return false
	}
	return true
}

// writeAnswer writes an answer, without its body if noBody is set.
func (c *session) writeAnswer(a *guard.Answer, noBody, closes bool) error {
	body := a.Body
	if noBody || !hasBody(a.Status) {
		body = nil
	}
	bufs := buffersOf(a, body, closes)
	if len(bufs) == 1 {
		// A short answer fits in the buffers between.
		return c.writeBuffers(bufs)
	}
	watched := observe(c.raw, c.server.cfg.Clock.Now, func() { _ = c.raw.Close() })
	err := c.writeBuffers(bufs)
	if watched.stop() {
		return errSilent
	}
	return err
}

// buffersOf returns an answer as it is written, in one piece unless its body is long.
func buffersOf(a *guard.Answer, body []byte, closes bool) net.Buffers {
	if len(body) >= asyncWriteBytes {
		return net.Buffers{appendAnswer(make([]byte, 0, headBytes), a, closes), body}
	}
	head := appendAnswer(make([]byte, 0, headBytes+len(body)), a, closes)
	return net.Buffers{append(head, body...)}
}

// writeBuffers writes all buffers. It fails if the client takes nothing of them for
// writeTimeout.
func (c *session) writeBuffers(bufs net.Buffers) error {
	for {
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
		n, err := bufs.WriteTo(c.raw)
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return err
	}
}

// reset resets the connection and cancels its handlers.
func (c *session) reset() {
	c.cancel()
	if l, ok := c.raw.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = c.raw.Close()
}

// closeGracefully closes the connection after its last answer. It closes the
// writing direction only, because closing with unread bytes would reset the
// connection and lose the answer; discardInput reads the rest.
func (c *session) closeGracefully() {
	c.closing.Store(true)
	c.cancel()
	if w, ok := c.raw.(writeCloser); ok {
		_ = w.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime.Duration()))
	// The reader may be about to set a later deadline. The timer must not keep the
	// session with its buffer.
	raw := c.raw
	c.lingerEnd = time.AfterFunc(maxLingerTime.Duration(), func() { _ = raw.Close() })
}

// discardInput reads, for maxLingerTime at most, what the client still sends on a
// connection that was closed gracefully, until nothing arrives for lingerTime. Nothing
// is read from br any more.
func (c *session) discardInput() {
	if c.lingerEnd == nil {
		return
	}
	c.br, c.paced = nil, nil
	_, _ = io.Copy(io.Discard, &patientReader{
		conn: c.raw,
	})
	c.lingerEnd.Stop()
}

// patientReader reads from a connection until nothing arrives for lingerTime.
type patientReader struct {
	conn net.Conn
}

// Read reads what has arrived.
func (p *patientReader) Read(b []byte) (int, error) {
	_ = p.conn.SetReadDeadline(time.Now().Add(lingerTime.Duration()))
	return p.conn.Read(b)
}
