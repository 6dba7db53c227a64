package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Reply is what a handler returns.
type Reply struct {
	guard.Answer
	// Close ends the connection behind the answer.
	Close bool
	// Drop ends the connection without an answer.
	Drop bool
}

// ServerLimits bound what a caller may send and how long it may take.
type ServerLimits struct {
	MaxHeader   int
	MaxBody     int
	ReadTimeout clock.Milli
	IdleTimeout clock.Milli
}

// ServerConfig is what a [Server] is made from.
type ServerConfig struct {
	Clock clock.Clock
	// Limits returns the limits in force.
	Limits func() ServerLimits
	// Handle answers one request. Its context ends when the caller hangs up.
	Handle func(ctx context.Context, r *Request) Reply
	// MayPipeline reports whether r may be handled while earlier requests of
	// its connection are still without an answer.
	MayPipeline func(r *Request) bool
	// Malformed returns the answer to what could not be read as a request.
	Malformed func(status int, err error) guard.Answer
}

// Server serves connections. It is safe for concurrent use.
type Server struct {
	cfg ServerConfig

	stopping atomic.Bool
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[*session]struct{}
}

const (
	// maxPipelined is the number of requests of one connection that are read
	// before earlier ones have been answered.
	maxPipelined = 64
	// lingerTime is how long a connection that is being closed is still read,
	// so that its last answer is not lost by a reset.
	lingerTime = clock.Second
	// writeTimeout is how long a caller may take to read one answer.
	writeTimeout = 20 * clock.Second
	// headerSlackBytes is the room of a read buffer beyond the longest head.
	headerSlackBytes = 1 << 10
	// minBufferBytes is the size of a read buffer that most heads fit in.
	minBufferBytes = 4 << 10
)

// NewServer returns a server without connections.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:   cfg,
		conns: make(map[*session]struct{}),
	}
}

// Serve serves the connections that l accepts until it fails, as it does when it
// is closed. [Listen] returns a listener that outlasts passing failures.
func (s *Server) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(s.addConn(raw))
	}
}

// InFlight returns the number of requests without an answer, those among them that
// have not come whole yet included.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// IsIdle reports whether no request is without an answer and none waits to be
// read.
func (s *Server) IsIdle() bool {
	if s.InFlight() > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if sock.Peek(c.raw) == sock.Readable {
			return false
		}
	}
	return true
}

// Stop makes each connection close behind its next answer, and those without
// a request after the usual idle time. New requests are still handled.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no request waits for an answer.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.unanswered.Load() == 0 {
			_ = c.raw.Close()
		}
	}
}

// CloseAll resets all connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closing.Store(true)
		c.reset()
	}
}

// addConn takes in a connection. It counts from here on, before its goroutine has
// its first turn.
func (s *Server) addConn(raw net.Conn) *session {
	c := &session{
		server:     s,
		raw:        raw,
		br:         bufio.NewReaderSize(raw, s.bufferSize()),
		replies:    make(chan *pendingReply, maxPipelined),
		writerDone: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// serve serves a connection until it ends.
func (s *Server) serve(c *session) {
	defer c.cancel()
	go c.writeLoop()
	c.readLoop()
	close(c.replies)
	<-c.writerDone
	_ = c.raw.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) bufferSize() int {
	return max(minBufferBytes, s.cfg.Limits().MaxHeader+headerSlackBytes)
}
