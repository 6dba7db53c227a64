// Package relay passes connections on and spoils them: it stands in for what
// lies between two processes.
//
// A [Relay] listens on one address and connects to another. What happens to the
// bytes on the way is a [Mode], which can be changed at any time; open
// connections can also be made silent for good, as something between two hosts
// does that has lost track of them, or be reset.
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

// Mode is what happens to bytes.
type Mode uint32

// Ways.
const (
	// Pass passes all bytes on at once.
	Pass Mode = iota
	// Delayed passes them on later.
	Delayed
	// DropToServer loses what is sent to the far side, DeafHere what comes back:
	// the connections stay open.
	DropToServer
	DropToClient
	// Blackhole loses both, and the ends of connections too.
	Blackhole
)

const (
	// delay is the delay of a way that is [Delayed].
	delay = 60 * clock.Millisecond
	// bufferBytes is the most that is passed on at once, in bytes.
	bufferBytes = 16 << 10
)

// Relay passes connections on. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	upstream string
	mode     atomic.Uint32

	mu     sync.Mutex
	open   map[*tunnel]struct{}
	closed bool
}

// New listens on one "ip:port" and passes on to another.
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

// SetMode sets what happens to bytes from now on.
func (r *Relay) SetMode(m Mode) { r.mode.Store(uint32(m)) }

// BlackholeOpen makes the connections that are open silent for good. New ones work.
func (r *Relay) BlackholeOpen() {
	for _, p := range r.tunnels() {
		p.blackholed.Store(true)
	}
}

// Reset resets the connections that are open, at both ends.
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

// forward connects one connection with the address behind the relay.
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

func (r *Relay) add(p *tunnel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.open[p] = struct{}{}
	}
	return !r.closed
}

// tunnel is one connection through a relay.
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

// copy passes bytes on until one end is over; deaf is the way on which they are
// lost.
func (p *tunnel) copy(from, to net.Conn, dropMode Mode) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		mode := p.mode()
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

// forwardEnd passes on that one direction has ended: as an forwardEnd of what is sent or as a
// reset, or not at all.
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

// resetConn closes a connection so that its other end sees a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
