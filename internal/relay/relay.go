// Package relay passes connections on and spoils them: it stands in for what
// lies between two processes.
//
// A [Relay] listens on one address and connects to another. What happens to the
// bytes on the way is a [Way], which can be changed at any time; open
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

// Way is what happens to bytes.
type Way uint32

// Ways.
const (
	// Clear passes all bytes on at once.
	Clear Way = iota
	// Delayed passes them on later.
	Delayed
	// DeafThere loses what is sent to the far side, DeafHere what comes back:
	// the connections stay open.
	DeafThere
	DeafHere
	// Silent loses both, and the ends of connections too.
	Silent
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

// SetWay sets what happens to bytes from now on.
func (r *Relay) SetWay(w Way) { r.way.Store(uint32(w)) }

// Silence makes the connections that are open silent for good. New ones work.
func (r *Relay) Silence() {
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
	wg.Go(func() { p.copy(here, there, DeafThere) })
	wg.Go(func() { p.copy(there, here, DeafHere) })
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

func (p *passage) way() Way {
	if p.silent.Load() {
		return Silent
	}
	return Way(p.relay.way.Load())
}

// copy passes bytes on until one end is over; deaf is the way on which they are
// lost.
func (p *passage) copy(from, to net.Conn, deaf Way) {
	buf := make([]byte, passSize)
	for {
		n, err := from.Read(buf)
		way := p.way()
		if way == Delayed {
			time.Sleep(delay.Duration())
		}
		if n > 0 && way != Silent && way != deaf {
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
func (p *passage) end(to net.Conn, err error, way Way) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case way == Silent:
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
