// Package sock inspects the state of a connection's socket without consuming
// input and without blocking.
package sock

import (
	"net"
	"syscall"
)

// State is the observed state of a socket.
type State uint8

// States.
const (
	// Open means that the connection is open and has no unread bytes. A
	// connection without a socket of its own also counts as open.
	Open State = iota
	// Readable means that unread bytes are buffered.
	Readable
	// Closed means that the peer has closed the connection or that it is
	// broken.
	Closed
)

// Peek returns the state of c.
func Peek(c net.Conn) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Open
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN, err == syscall.EINTR:
			state = Open
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
