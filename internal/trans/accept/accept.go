// Package accept provides a listener that survives temporary failures of Accept
// and can be closed without resetting connections that wait to be accepted.
//
// The HTTP library ends its server for good on the first error of Accept and
// leaves the listening socket open, so that callers connect and are never
// served. Running out of file descriptors for a moment is enough. The listener
// of this package pauses and retries instead, until it is closed.
//
// Closing a listening socket resets the connections in its accept queue.
// [Listener.Drain] accepts those that wait, lets no more in and closes then.
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
	// retryInterval is the pause after a failed Accept. Meanwhile, connections
	// wait in the accept queue of the system.
	retryInterval = 50 * clock.Millisecond
	// drainWait is how long a draining listener waits for one more connection.
	drainWait = 2 * clock.Millisecond
	// plugTimeout bounds connecting to the own listener.
	plugTimeout = 5 * clock.Millisecond
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
	// plugConn is the connection of plug, nil if there is none.
	plugConn net.Conn
}

// conn is an accepted connection that is still open.
type conn struct {
	net.Conn
	ln *Listener
}

// deadliner is a listener whose Accept supports a deadline.
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

// Wrap returns a Listener that accepts from ln and survives its failures.
func Wrap(ln net.Listener, c clock.Clock) *Listener {
	return &Listener{
		Listener: ln,
		clock:    c,
		closed:   make(chan struct{}),
		conns:    make(map[*conn]struct{}),
	}
}

// Accept returns the next connection. Its only errors are [net.ErrClosed] after
// Close, and [io.EOF] once the accept queue of a draining listener is empty.
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
			if !l.plug() {
				continue
			}
			// The accept queue has no client, so closing resets nobody.
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

// Drain closes l once its accept queue has no client, or after wait at the
// latest. No client connects between the last look at the queue and the close.
// If the system does not allow that, Drain goes on without it and returns the
// error. Another goroutine must call Accept meanwhile.
func (l *Listener) Drain(wait clock.Milli) error {
	err := shrinkQueue(l.Listener)
	l.draining.Store(true)
	l.setDeadline()
	select {
	case <-l.closed:
	case <-l.clock.After(wait):
		_ = l.Close()
	}
	return err
}

// Close stops listening. Further calls do nothing.
func (l *Listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
		l.unplug()
	})
	return err
}

// CloseAll closes l and every connection that it accepted, even those in use.
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

// SyscallConn returns the raw connection, which package sock needs to inspect
// the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// CloseWrite closes the writing direction of the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errNoSocket
}

// SetLinger sets what Close does with unsent bytes, like [net.TCPConn.SetLinger].
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errNoSocket
}

// Close closes the connection and removes it from its listener.
func (c *conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
