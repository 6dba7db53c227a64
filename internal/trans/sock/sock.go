// Package sock looks at the state of a connection's socket without reading from
// it or waiting.
package sock

import (
	"net"
	"syscall"
)

// State is what a look at a socket shows.
type State uint8

// States.
const (
	// Open means that the connection stands and nothing waits to be read. A
	// connection that has no socket of its own to look at counts as open.
	Open State = iota
	// Readable means that bytes wait to be read.
	Readable
	// Closed means that the peer has closed it, or that it is broken.
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
