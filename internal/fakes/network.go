package fakes

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errPartitioned = errors.New("the hosts are partitioned from each other")

// Network injects network faults between hosts: it wraps the connections that
// are opened through [Network.Connect]. It can partition pairs of hosts, drop
// or close open connections, and delay writes. A black-holed connection drops
// all bytes in both directions without an error, as when packets are lost.
// Network is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	partitions map[hostPair]bool
	delay      func(from, to string) time.Duration
	conns      map[*netConn]struct{}
}

// hostPair identifies the connections that one host opens to another.
type hostPair struct {
	from string
	to   string
}

// NewNetwork returns a network without faults and delays.
func NewNetwork() *Network {
	return &Network{
		partitions: make(map[hostPair]bool),
		delay:      func(string, string) time.Duration { return 0 },
		conns:      make(map[*netConn]struct{}),
	}
}

// SetDelay sets the delay of each write from one host to another, for
// connections opened from now on.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Connect returns the dial function for processes on the host from. Its wait
// bounds the dial.
func (n *Network) Connect(from string) func(addr string, wait time.Duration) (net.Conn, error) {
	return func(addr string, wait time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return n.dial(ctx, from, addr)
	}
}

// Partition partitions two hosts from each other: open connections between them
// are black-holed for good, and new ones fail until [Network.Heal].
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[hostPair{from: a, to: b}] = true
	n.partitions[hostPair{from: b, to: a}] = true
	for c := range n.conns {
		if n.partitions[c.pair] {
			c.isBlackholed.Store(true)
		}
	}
}

// Heal ends all partitions. Black-holed connections remain so.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = make(map[hostPair]bool)
}

// BlackholeOpen black-holes the open connections to a host for good. New ones
// work.
func (n *Network) BlackholeOpen(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.pair.to == host {
			c.isBlackholed.Store(true)
		}
	}
}

// CloseOpen closes the open connections to a host. New ones work.
func (n *Network) CloseOpen(host string) {
	n.mu.Lock()
	var open []*netConn
	for c := range n.conns {
		if c.pair.to == host {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (n *Network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	hosts := hostPair{
		from: from,
		to:   to,
	}
	n.mu.Lock()
	isPartitioned, delay := n.partitions[hosts], n.delay(from, to)
	n.mu.Unlock()
	if isPartitioned {
		return nil, errPartitioned
	}
	d := net.Dialer{}
	inner, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &netConn{
		Conn:  inner,
		pair:  hosts,
		delay: delay,
		net:   n,
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	return c, nil
}

// netConn is a connection that the network can delay and black-hole.
type netConn struct {
	net.Conn
	pair         hostPair
	delay        time.Duration
	isBlackholed atomic.Bool
	net          *Network
}

// Write reports success without sending once the connection is black-holed.
func (c *netConn) Write(b []byte) (int, error) {
	if c.isBlackholed.Load() {
		return len(b), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(b)
}

// Read discards received bytes once the connection is black-holed.
func (c *netConn) Read(b []byte) (int, error) {
	for {
		read, err := c.Conn.Read(b)
		if err != nil && c.isBlackholed.Load() && !isTimeout(err) {
			// A black hole hides the end of the connection too, for a second at least.
			<-time.After(time.Second)
		}
		if err != nil || !c.isBlackholed.Load() {
			return read, err
		}
	}
}

// Close closes the connection and removes it from the network.
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
