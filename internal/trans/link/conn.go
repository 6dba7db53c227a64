package link

import (
	"net"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// conn is a connection whose bytes are counted by a meter.
type conn struct {
	net.Conn
	meter *Meter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// The following methods set or clear a timeout that starts now. They ignore
// errors: setting a deadline fails only on a closed connection, and then the
// next read or write returns an error.

func (c *conn) setTimeout(d clock.Milli)      { _ = c.SetDeadline(time.Now().Add(d.Duration())) }
func (c *conn) setReadTimeout(d clock.Milli)  { _ = c.SetReadDeadline(time.Now().Add(d.Duration())) }
func (c *conn) setWriteTimeout(d clock.Milli) { _ = c.SetWriteDeadline(time.Now().Add(d.Duration())) }
func (c *conn) clearReadTimeout()             { _ = c.SetReadDeadline(time.Time{}) }
