// Package accept listens for connections, outlasts failures to accept them and
// ends without resetting those who have connected.
//
// The HTTP library ends its server for good on the first error of Accept, and
// leaves the listening socket open: callers then connect and are never served.
// Running out of file descriptors for a moment is enough. The listener of this
// package waits and tries again instead, until it is closed.
//
// Closing a listening socket resets the connections that wait in its queue.
// [Listener.Drain] takes them in first.
package accept

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// retryInterval is the wait after a failure. Connections wait in the system's queue.
	retryInterval = 50 * clock.Millisecond
	// drainWait is how long a draining listener waits for one more connection.
	drainWait = 2 * clock.Millisecond
)

var errNoSocket = errors.New("accept: the connection has no socket")

// Listener accepts connections until it is closed.
type Listener struct {
	net.Listener
	clock    clock.Clock
	closed   chan struct{}
	once     sync.Once
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is an accepted connection that is still open.
type conn struct {
	net.Conn
	ln *Listener
}

// deadliner is a listener whose Accept can be given a deadline.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// Listen listens for TCP connections on addr, an "ip:port".
func Listen(addr string, c clock.Clock) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return Wrap(ln, c), nil
}

// Wrap returns ln with an Accept that outlasts failures.
func Wrap(ln net.Listener, c clock.Clock) *Listener {
	return &Listener{
		Listener: ln,
		clock:    c,
		closed:   make(chan struct{}),
		conns:    make(map[*conn]struct{}),
	}
}

// Accept returns the next connection. Its only errors are [net.ErrClosed], after
// Close, and [io.EOF] once a draining listener has nobody left to take in.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			l.setDeadline()
		}
		inner, err := l.Listener.Accept()
		if err == nil {
			return l.track(inner), nil
		}
		if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			// The queue is empty, so closing resets nobody.
			_ = l.Close()
			return nil, io.EOF
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-l.clock.After(retryInterval):
		}
	}
}

// Drain closes l once nobody waits to be taken in. Somebody must be accepting
// meanwhile; wait bounds the time given to it.
func (l *Listener) Drain(wait clock.Milli) {
	l.draining.Store(true)
	l.setDeadline()
	select {
	case <-l.closed:
	case <-l.clock.After(wait):
		_ = l.Close()
	}
}

// Close stops listening. Closing again does nothing.
func (l *Listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}

// CloseAll closes l and every connection that it accepted, whatever passes on them.
func (l *Listener) CloseAll() {
	_ = l.Close()
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (l *Listener) setDeadline() {
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(time.Now().Add(drainWait.Duration()))
	}
}

func (l *Listener) track(inner net.Conn) net.Conn {
	c := &conn{
		Conn: inner,
		ln:   l,
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// SyscallConn gives access to the socket, for those who look at its state.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// CloseWrite ends what is sent on the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errNoSocket
}

// SetLinger sets what Close does with bytes that are not sent yet, like the
// method of [net.TCPConn].
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errNoSocket
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
