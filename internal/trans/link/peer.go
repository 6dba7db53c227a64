package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"siskinswitch.example/siskin/pkg/clock"
)

// peer is one connection to another daemon, which is opened when it is needed
// and replaced when it has failed.
type peer struct {
	links *Links
	addr  string
	// activeCalls is the number of calls that use the peer. It is guarded by
	// links.mu.
	activeCalls int
	// openLock holds a value while the connection is being opened or probed. It
	// is a channel rather than a mutex so that a wait for it can have a
	// deadline.
	openLock chan struct{}
	session  atomic.Pointer[session]
}

func newPeer(l *Links, addr string) *peer {
	return &peer{
		links:    l,
		addr:     addr,
		openLock: make(chan struct{}, 1),
	}
}

// open returns the current session if it is usable, else a new one.
func (p *peer) open(ctx context.Context) (*session, error) {
	select {
	case p.openLock <- struct{}{}:
	case <-ctx.Done():
		return nil, p.openError(ctx, "open", ctx.Err())
	}
	defer func() { <-p.openLock }()
	if s := p.session.Load(); s != nil && s.isUsable(ctx) {
		return s, nil
	}
	s, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.session.Store(s)
	if ctx.Err() != nil { // Links.Close may not have seen the new session.
		s.close()
	}
	return s, nil
}

// dial opens a connection and performs the handshake on it.
func (p *peer) dial(ctx context.Context) (*session, error) {
	cfg := p.links.cfg
	nc, err := cfg.Dial(ctx, p.addr)
	if err != nil {
		return nil, p.openError(ctx, "dial", err)
	}
	c := &conn{
		Conn:  nc,
		meter: cfg.Meter,
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	key, err := clientHandshake(c, cfg.Key)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, p.openError(ctx, "prove", err)
	}
	return newSession(cfg, c, key), nil
}

// openError returns the error for a session that could not be opened.
func (p *peer) openError(ctx context.Context, op string, err error) error {
	var e *Error
	var timeout net.Error
	switch {
	case p.links.ctx.Err() != nil:
		return newError(op, Closed, errClosed)
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return newError(op, Timeout, err)
	case errors.As(err, &e):
		return e
	}
	return newError(op, Unreachable, err)
}

// isOpen reports whether p has a connection that has not failed.
func (p *peer) isOpen() bool {
	s := p.session.Load()
	return s != nil && !s.closed.Load()
}

// isIdle reports whether p has no open connection or has received no answer
// for the idle timeout.
func (p *peer) isIdle(now clock.Milli) bool {
	s := p.session.Load()
	return s == nil || s.closed.Load() || now-s.lastAnswerAt() >= p.links.cfg.IdleTimeout
}

// close closes the connection, if there is one.
func (p *peer) close() {
	if s := p.session.Load(); s != nil {
		s.close()
	}
}
