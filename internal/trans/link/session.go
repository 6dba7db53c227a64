package link

import (
	"context"
	"errors"
	"net/rpc"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// session is one connection that both ends have proved.
type session struct {
	cfg        LinksConfig
	client     *rpc.Client
	lastAnswer atomic.Int64
	closed     atomic.Bool
}

func newSession(cfg LinksConfig, c *conn, key []byte) *session {
	s := &session{
		cfg: cfg,
	}
	s.recordAnswer()
	s.client = rpc.NewClientWithCodec(&sessionCodec{
		Client: wire.NewClient(wire.Config{
			Conn:         c,
			Limit:        cfg.MaxFrameBytes,
			Key:          key,
			BeforeWait:   c.clearReadTimeout, // Each call has a deadline of its own.
			FrameStarted: func() { c.setReadTimeout(cfg.FrameTimeout) },
			BeforeWrite:  func() { c.setWriteTimeout(cfg.FrameTimeout) },
		}),
		session: s,
	})
	return s
}

// sessionCodec notes when the peer was heard last and that the connection failed.
type sessionCodec struct {
	*wire.Client
	session *session
}

// ReadResponseHeader reads the next answer.
func (h *sessionCodec) ReadResponseHeader(r *rpc.Response) error {
	err := h.check(h.Client.ReadResponseHeader(r))
	if err == nil {
		h.session.recordAnswer()
	}
	return err
}

// ReadResponseBody decodes the answer.
func (h *sessionCodec) ReadResponseBody(body any) error {
	return h.check(h.Client.ReadResponseBody(body))
}

// check closes the connection if reading failed, which net/rpc leaves open.
func (h *sessionCodec) check(err error) error {
	if err != nil {
		h.session.closed.Store(true)
		_ = h.Close()
	}
	return err
}

func (s *session) recordAnswer() { s.lastAnswer.Store(int64(s.cfg.Clock.Now())) }

func (s *session) lastAnswerAt() clock.Milli { return clock.Milli(s.lastAnswer.Load()) }

// close closes the connection. The calls on it fail.
func (s *session) close() {
	s.closed.Store(true)
	_ = s.client.Close() // It may have failed by itself before.
}

// isUsable reports whether a call may travel on s. After a silence it asks the
// peer and closes a connection that gives no answer.
func (s *session) isUsable(ctx context.Context) bool {
	if s.closed.Load() {
		return false
	}
	if s.cfg.Clock.Now()-s.lastAnswerAt() < s.cfg.ProbeAfter {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProbeTimeout.Duration())
	defer cancel()
	_, err := s.call(ctx, pingMethod, emptyMessage)
	return err == nil
}

// emptyMessage is the encoding of a message without fields.
var emptyMessage = wire.Raw{0xa0}

// call sends body and waits for the answer. When ctx ends first, the
// connection is closed, since its peer may have gone silent; that also frees a
// write which the peer doesn't read.
func (s *session) call(ctx context.Context, method string, body wire.Raw) (wire.Raw, error) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	var answer wire.Raw
	call := <-s.client.Go(method, body, &answer, make(chan *rpc.Call, 1)).Done
	if call.Error == nil {
		return answer, nil
	}
	err := callError(ctx, call.Error)
	if err.Kind != Remote {
		s.close()
	}
	return nil, err
}

// callError tells why a call failed on a session.
func callError(ctx context.Context, err error) *Error {
	kind := Broken
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		kind = Remote
	case ctx.Err() != nil:
		kind = Timeout
		err = ctx.Err()
	}
	return &Error{
		Op:   "call",
		Kind: kind,
		Sent: true,
		Err:  err,
	}
}
