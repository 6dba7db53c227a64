package fakes

import (
	"errors"
	"net"
	"time"

	"siskinswitch.example/siskin/internal/trans/sock"
)

// dialTimeout bounds the dial of a connection for a downstream call.
const dialTimeout = time.Second

// errStale means that the peer closed an idle keep-alive connection before a
// request was written to it.
var errStale = errors.New("the peer closed the keep-alive connection")

// liveConn fails the first write of a request with [errStale] if the peer has
// closed the connection. The HTTP library does not check this itself.
type liveConn struct {
	net.Conn
	// hasAnswered is set by a read of an answer, and cleared by the write of the
	// next request.
	hasAnswered bool
}

func dialLive(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &liveConn{
		Conn: conn,
	}, nil
}

// Write implements net.Conn.
func (c *liveConn) Write(b []byte) (int, error) {
	if c.hasAnswered && sock.Peek(c.Conn) == sock.Closed {
		return 0, errStale
	}
	c.hasAnswered = false
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *liveConn) Read(b []byte) (int, error) {
	c.hasAnswered = true
	return c.Conn.Read(b)
}
