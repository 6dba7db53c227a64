package fakes

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errCut = errors.New("the network is cut")

// Network stands between processes that connect through it. It can cut pairs
// of hosts from each other, make connections silent that are open, and delay
// what passes between two hosts. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	cuts  map[pair]bool
	delay func(from, to string) time.Duration
	conns map[*netConn]struct{}
}

// pair is two hosts in one direction of connecting.
type pair struct {
	from string
	to   string
}

// NewNetwork returns a network that passes everything on at once.
func NewNetwork() *Network {
	return &Network{
		cuts:  make(map[pair]bool),
		delay: func(string, string) time.Duration { return 0 },
		conns: make(map[*netConn]struct{}),
	}
}

// SetDelay sets the time that passing from one host to another takes, for
// connections opened from now on.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Connect returns what a process on a host connects with.
func (n *Network) Connect(from string) func(addr string, wait time.Duration) (net.Conn, error) {
	return func(addr string, wait time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return n.dial(ctx, from, addr)
	}
}

// Partition cuts two hosts from each other: open connections between them turn
// silent and new ones fail.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair{from: a, to: b}] = true
	n.cuts[pair{from: b, to: a}] = true
	for c := range n.conns {
		if n.cuts[c.pair] {
			c.silent.Store(true)
		}
	}
}

// Heal ends all cuts. Connections that are silent stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = make(map[pair]bool)
}

// BlackholeOpen makes the open connections to a host silent for good. New ones work.
func (n *Network) BlackholeOpen(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.pair.to == host {
			c.silent.Store(true)
		}
	}
}

// CloseOpen closes the open connections to a host. New ones work.
func (n *Network) CloseOpen(host string) {
	n.mu.Lock()
	var broken []*netConn
	for c := range n.conns {
		if c.pair.to == host {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

func (n *Network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	between := pair{
		from: from,
		to:   to,
	}
	n.mu.Lock()
	cut, delay := n.cuts[between], n.delay(from, to)
	n.mu.Unlock()
	if cut {
		return nil, errCut
	}
	d := net.Dialer{}
	inner, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &netConn{
		Conn:  inner,
		pair:  between,
		delay: delay,
		net:   n,
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	return c, nil
}

// netConn is a connection that can turn silent and be slow.
type netConn struct {
	net.Conn
	pair   pair
	delay  time.Duration
	silent atomic.Bool
	net    *Network
}

// Write pretends that bytes were sent once the connection is silent.
func (c *netConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(b)
}

// Read drops what arrives once the connection is silent.
func (c *netConn) Read(b []byte) (int, error) {
	for {
		read, err := c.Conn.Read(b)
		if err != nil && c.silent.Load() && !isTimeout(err) {
			// The end of the connection does not arrive either.
			<-time.After(time.Second)
		}
		if err != nil || !c.silent.Load() {
			return read, err
		}
	}
}

func (c *netConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
