package link

import (
	"context"
	"errors"
	"net/rpc"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// session is a connection after the handshake.
type session struct {
	cfg    LinksConfig
	client *rpc.Client
	// lastAnswer is the time in milliseconds of the last answer, or of the
	// handshake.
	lastAnswer atomic.Int64
	// closed is set when the connection was closed or has failed.
	closed atomic.Bool
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

// sessionCodec is a client codec that records in its session the time of each
// answer and the failure of the connection.
type sessionCodec struct {
	*wire.Client
	session *session
}

// ReadResponseHeader reads the header of the next answer.
func (h *sessionCodec) ReadResponseHeader(r *rpc.Response) error {
	err := h.check(h.Client.ReadResponseHeader(r))
	if err == nil {
		h.session.recordAnswer()
	}
	return err
}

// ReadResponseBody decodes the body of the answer.
func (h *sessionCodec) ReadResponseBody(body any) error {
	return h.check(h.Client.ReadResponseBody(body))
}

// check closes the connection if reading has failed. net/rpc would leave it
// open.
func (h *sessionCodec) check(err error) error {
	if err != nil {
		h.session.closed.Store(true)
		_ = h.Close()
	}
	return err
}

func (s *session) recordAnswer() { s.lastAnswer.Store(int64(s.cfg.Clock.Now())) }

func (s *session) lastAnswerAt() clock.Milli { return clock.Milli(s.lastAnswer.Load()) }

// close closes the connection. The calls in flight on it fail.
func (s *session) close() {
	s.closed.Store(true)
	_ = s.client.Close() // Fails if the client has shut down by itself.
}

// isUsable reports whether s can be used for a call. If no answer has arrived
// for the time ProbeAfter, it probes the peer, and closes the connection if the
// probe fails.
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

// emptyMessage is the CBOR encoding of a struct without fields.
var emptyMessage = wire.Raw{0xa0}

// call sends an encoded message and waits for the encoded answer. If ctx ends
// first, it closes the connection, because the peer may no longer respond.
// Closing also unblocks a write to a peer that does not read.
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

// callError returns the error for a call that failed on a session.
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
