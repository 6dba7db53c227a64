// Package relay forwards TCP connections between two processes and injects
// network faults into them, for tests.
//
// A [Relay] listens on one address and connects to another. Its [Mode] says
// what happens to the bytes and can change at any time. Open connections can
// also be reset, or turned into black holes for good, as by a firewall between
// two hosts that has lost their state.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// Mode says what a relay does with the bytes that it receives.
type Mode uint32

// Modes of a relay.
const (
	// Pass forwards all bytes at once.
	Pass Mode = iota
	// Delayed forwards them after a delay.
	Delayed
	// DropToServer drops the bytes sent to the server, DropToClient those sent
	// back. The connections stay open.
	DropToServer
	DropToClient
	// Blackhole drops the bytes of both directions and hides the end of either
	// connection from the other.
	Blackhole
	// Held keeps the bytes of both directions until the mode changes, as the
	// links of a host do that is silent for a while.
	Held
)

const (
	// delay is the delay of the mode [Delayed].
	delay = 60 * clock.Millisecond
	// heldPollEvery is the interval at which a held relay looks for another mode.
	heldPollEvery = 2 * clock.Millisecond
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 16 << 10
)

// Relay forwards connections from a listening address to an upstream address.
// It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	upstream string
	mode     atomic.Uint32

	mu     sync.Mutex
	open   map[*tunnel]struct{}
	closed bool
}

// New returns a relay that listens on listenAddr and forwards to upstream, both
// of the form "ip:port".
func New(listenAddr, upstream string) (*Relay, error) {
	l, err := net.Listen("tcp4", listenAddr)
	if err != nil {
		return nil, fmt.Errorf("relay: listen: %w", err)
	}
	r := &Relay{
		listener: l,
		upstream: upstream,
		open:     make(map[*tunnel]struct{}),
	}
	go r.accept()
	return r, nil
}

// SetMode sets the mode of all connections, open and new.
func (r *Relay) SetMode(m Mode) { r.mode.Store(uint32(m)) }

// BlackholeOpen turns the open connections into black holes for good. New
// connections are not affected.
func (r *Relay) BlackholeOpen() {
	for _, p := range r.tunnels() {
		p.blackholed.Store(true)
	}
}

// Reset resets the open connections at both ends.
func (r *Relay) Reset() {
	for _, p := range r.tunnels() {
		p.reset()
	}
}

// Close stops listening and resets all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
}

func (r *Relay) tunnels() []*tunnel {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*tunnel, 0, len(r.open))
	for p := range r.open {
		list = append(list, p)
	}
	return list
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward connects client to the upstream address and copies both directions
// until they end.
func (r *Relay) forward(client net.Conn) {
	server, err := net.Dial("tcp4", r.upstream)
	if err != nil {
		resetConn(client)
		return
	}
	p := &tunnel{
		relay:  r,
		client: client,
		server: server,
	}
	if !r.add(p) {
		p.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(client, server, DropToServer) })
	wg.Go(func() { p.copy(server, client, DropToClient) })
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, p)
}

// add registers p and reports whether the relay is still open.
func (r *Relay) add(p *tunnel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.open[p] = struct{}{}
	}
	return !r.closed
}

// tunnel is one connection through a relay: the client's connection to the
// relay and the relay's to the server.
type tunnel struct {
	relay      *Relay
	client     net.Conn
	server     net.Conn
	blackholed atomic.Bool
}

func (p *tunnel) mode() Mode {
	if p.blackholed.Load() {
		return Blackhole
	}
	return Mode(p.relay.mode.Load())
}

// copy forwards bytes in one direction until either end closes. dropMode is the
// mode that drops the bytes of this direction.
func (p *tunnel) copy(from, to net.Conn, dropMode Mode) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		mode := p.mode()
		for ; mode == Held; mode = p.mode() {
			time.Sleep(heldPollEvery.Duration())
		}
		if mode == Delayed {
			time.Sleep(delay.Duration())
		}
		if n > 0 && mode != Blackhole && mode != dropMode {
			if _, err := to.Write(buf[:n]); err != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.forwardEnd(to, err, mode)
			return
		}
	}
}

// forwardEnd passes the end of one direction on, as a half-close or as a reset.
// A black hole hides it.
func (p *tunnel) forwardEnd(to net.Conn, err error, mode Mode) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case mode == Blackhole:
	case ok && errors.Is(err, io.EOF):
		_ = tcp.CloseWrite()
	default:
		p.reset()
	}
}

func (p *tunnel) reset() {
	resetConn(p.client)
	resetConn(p.server)
}

// resetConn closes c so that the other end sees a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
