package accept

import (
	"errors"
	"net"
	"syscall"
)

// shrinkQueue makes the accept queue of a listener hold one connection. Further
// clients then are not connected while one waits.
func shrinkQueue(ln net.Listener) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var listened error
	err = raw.Control(func(fd uintptr) { listened = syscall.Listen(int(fd), 0) })
	return errors.Join(err, listened)
}

// plug fills the shrunk accept queue with a connection of its own, and reports
// whether it could. It can't while a client waits in the queue. Once it did, no
// client connects any more, so that closing the listener resets nobody.
//
// A client whose handshake began before and ends after the plug is reset. On the
// loopback interface a handshake takes microseconds.
func (l *Listener) plug() bool {
	c, err := net.DialTimeout("tcp", l.Addr().String(), plugTimeout.Duration())
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plugConn = c
	return true
}

// unplug closes the connection of plug.
func (l *Listener) unplug() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.plugConn != nil {
		_ = l.plugConn.Close()
	}
}
