package fakes

import (
	"errors"
	"net"
	"time"

	"siskinswitch.example/siskin/internal/trans/sock"
)

// dialWait bounds the making of a connection for a deeper call.
const dialWait = time.Second

// errStale means that the peer closed a kept connection before a request was
// written to it.
var errStale = errors.New("the kept connection was closed by its peer")

// liveConn refuses to begin a request on a connection that its peer has
// closed, which the HTTP library does not notice by itself.
type liveConn struct {
	net.Conn
	// used is set from the first byte of an answer to the next request.
	used bool
}

func dialLive(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialWait)
	if err != nil {
		return nil, err
	}
	return &liveConn{
		Conn: conn,
	}, nil
}

// Write implements net.Conn.
func (c *liveConn) Write(b []byte) (int, error) {
	if c.used && sock.Peek(c.Conn) == sock.Closed {
		return 0, errStale
	}
	c.used = false
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *liveConn) Read(b []byte) (int, error) {
	c.used = true
	return c.Conn.Read(b)
}
