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
	// passSize is the most that is passed on at once, in bytes.
	passSize = 16 << 10
)

// Relay passes connections on. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	to       string
	way      atomic.Uint32

	mu     sync.Mutex
	open   map[*passage]struct{}
	closed bool
}

// New listens on one "ip:port" and passes on to another.
func New(at, to string) (*Relay, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, fmt.Errorf("relay: listen: %w", err)
	}
	r := &Relay{
		listener: l,
		to:       to,
		open:     make(map[*passage]struct{}),
	}
	go r.accept()
	return r, nil
}

// SetMode sets what happens to bytes from now on.
func (r *Relay) SetMode(w Mode) { r.way.Store(uint32(w)) }

// BlackholeOpen makes the connections that are open silent for good. New ones work.
func (r *Relay) BlackholeOpen() {
	for _, p := range r.passages() {
		p.silent.Store(true)
	}
}

// Reset resets the connections that are open, at both ends.
func (r *Relay) Reset() {
	for _, p := range r.passages() {
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

func (r *Relay) passages() []*passage {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*passage, 0, len(r.open))
	for p := range r.open {
		list = append(list, p)
	}
	return list
}

func (r *Relay) accept() {
	for {
		here, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(here)
	}
}

// pass connects one connection with the address behind the relay.
func (r *Relay) pass(here net.Conn) {
	there, err := net.Dial("tcp4", r.to)
	if err != nil {
		resetConn(here)
		return
	}
	p := &passage{
		relay: r,
		here:  here,
		there: there,
	}
	if !r.enter(p) {
		p.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(here, there, DropToServer) })
	wg.Go(func() { p.copy(there, here, DropToClient) })
	wg.Wait()
	_ = here.Close()
	_ = there.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, p)
}

func (r *Relay) enter(p *passage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.open[p] = struct{}{}
	}
	return !r.closed
}

// passage is one connection through a relay.
type passage struct {
	relay  *Relay
	here   net.Conn
	there  net.Conn
	silent atomic.Bool
}

func (p *passage) way() Mode {
	if p.silent.Load() {
		return Blackhole
	}
	return Mode(p.relay.way.Load())
}

// copy passes bytes on until one end is over; deaf is the way on which they are
// lost.
func (p *passage) copy(from, to net.Conn, deaf Mode) {
	buf := make([]byte, passSize)
	for {
		n, err := from.Read(buf)
		way := p.way()
		if way == Delayed {
			time.Sleep(delay.Duration())
		}
		if n > 0 && way != Blackhole && way != deaf {
			if _, err := to.Write(buf[:n]); err != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.end(to, err, way)
			return
		}
	}
}

// end passes on that one direction has ended: as an end of what is sent or as a
// reset, or not at all.
func (p *passage) end(to net.Conn, err error, way Mode) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case way == Blackhole:
	case ok && errors.Is(err, io.EOF):
		_ = tcp.CloseWrite()
	default:
		p.reset()
	}
}

func (p *passage) reset() {
	resetConn(p.here)
	resetConn(p.there)
}

// resetConn closes a connection so that its other end sees a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
