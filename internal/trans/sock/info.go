package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateCloseWait is the state of a TCP connection whose peer has closed its direction,
// and which neither this end nor a reset has ended, as Linux numbers it.
const stateCloseWait = 8

// IsHalfClosed reports whether the peer of c has closed its direction in order, and c is
// open for writing. It returns false if c has no TCP socket.
func IsHalfClosed(c net.Conn) bool {
	info, ok := readInfo(c)
	return ok && info.State == stateCloseWait
}

// readInfo returns what the system knows of the TCP socket of c. It returns false if c
// has none, or no open one.
func readInfo(c net.Conn) (*unix.TCPInfo, bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && infoErr == nil
}
