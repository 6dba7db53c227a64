package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/hold"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// Reply is the result of a handler.
type Reply struct {
	guard.Answer
	// Close closes the connection after the answer.
	Close bool
	// Drop resets the connection instead of answering.
	Drop bool
}

// ServerLimits bound the size in bytes and the duration of what a client sends.
type ServerLimits struct {
	MaxHeader   int
	MaxBody     int
	ReadTimeout clock.Milli
	IdleTimeout clock.Milli
	// StallTime is how long a body may bring less than minProgressBytes; 0 means
	// defaultStallTime.
	StallTime clock.Milli
}

// ServerConfig configures a [Server].
type ServerConfig struct {
	Clock clock.Clock
	// Limits returns the limits in force.
	Limits func() ServerLimits
	// Handle answers one request. Its context ends when the client disconnects.
	Handle func(ctx context.Context, r *Request) Reply
	// MayPipeline reports whether r may be handled while earlier requests of
	// its connection are unanswered.
	MayPipeline func(r *Request) bool
	// BodyTime returns how long the body of r may take from the end of its header
	// on, beside the limit for one that stalls. nil means no bound.
	BodyTime func(r *Request) clock.Milli
	// Precheck returns the reply to a request that is refused whatever its body is,
	// and whether it is. It is called before a long body is read; r has no body then.
	// nil refuses none.
	Precheck func(r *Request) (Reply, bool)
	// Malformed returns the answer to input that is not a valid request or
	// exceeds a bound. r has the header, or is nil if that was not read.
	Malformed func(r *Request, status int, err error) guard.Answer
	// Requests and Answers bound the memory of the bodies of requests, and of
	// the answers that handlers receive for them, until the reply is written.
	// nil means that there is no bound.
	Requests *hold.Pool
	Answers  *hold.Pool
	// OnPanic is called with a panic that ended a connection; nil ignores them.
	OnPanic func(*rescue.Error)
	// OnBroken is called when a connection from the given address breaks while an
	// answer may still be unread, for another reason than its client closing it; nil
	// ignores that.
	OnBroken func(from string, err error)
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
	// maxPipelined bounds the unanswered requests of one connection.
	maxPipelined = 64
	// lingerTime is how long a closing connection is still read while nothing
	// arrives, and maxLingerTime how long in all. Closing it with unread bytes would
	// reset it, and the client could lose the last answer.
	lingerTime    = clock.Second
	maxLingerTime = 5 * clock.Second
	// idleCheckTime is how long a connection that is to close when idle waits
	// for a request that is on the way.
	idleCheckTime = clock.Millisecond
	// writeTimeout is how long a client may take nothing of an answer, once the
	// buffers between are full.
	writeTimeout = 20 * clock.Second
	// headerSlackBytes is added to the longest header for the size of a read
	// buffer.
	headerSlackBytes = 1 << 10
	// minBufferBytes is the least size of a read buffer; most headers fit in it.
	minBufferBytes = 4 << 10
)

// NewServer returns a server without connections.
func NewServer(cfg ServerConfig) *Server {
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(*rescue.Error) {}
	}
	if cfg.BodyTime == nil {
		cfg.BodyTime = func(*Request) clock.Milli { return maxBodyTime }
	}
	if cfg.Precheck == nil {
		cfg.Precheck = func(*Request) (Reply, bool) { return Reply{}, false }
	}
	if cfg.OnBroken == nil {
		cfg.OnBroken = func(string, error) {}
	}
	return &Server{
		cfg:   cfg,
		conns: make(map[*session]struct{}),
	}
}

// Serve accepts and serves connections until l fails, which includes closing it.
// The listener that [Listen] returns survives temporary failures.
func (s *Server) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(s.addConn(raw))
	}
}

// InFlight returns the number of unanswered requests, including those that have
// arrived only in part.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Reading returns the number of connections that may still deliver requests.
func (s *Server) Reading() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if !c.closing.Load() && !c.readerEnded.Load() {
			n++
		}
	}
	return n
}

// IsIdle reports whether no request is unanswered and no connection has unread
// bytes.
func (s *Server) IsIdle() bool {
	// A request is counted as in flight after its first bytes are taken from the
	// socket, so the sockets are looked at first.
	return !s.isReadable() && s.InFlight() == 0
}

func (s *Server) isReadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if sock.Peek(c.raw) == sock.Readable {
			return true
		}
	}
	return false
}

// Stop makes each connection close after its next answer, or after the usual
// idle timeout if no request comes. New requests are still handled.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle makes each connection close as soon as it has no unanswered request
// and no unread bytes, which is at once for idle ones. It does not wait.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeWhenIdle()
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

// addConn registers a connection. It is called before the goroutine of the
// connection starts, so that IsIdle sees the connection from the first moment.
func (s *Server) addConn(raw net.Conn) *session {
	paced := &pacedReader{
		conn: raw,
	}
	c := &session{
		server:     s,
		raw:        raw,
		paced:      paced,
		br:         bufio.NewReaderSize(paced, s.bufferSize()),
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
	if err := rescue.Run("read requests", c.readLoop); err != nil {
		s.cfg.OnPanic(err)
		c.closing.Store(true)
	}
	c.readerEnded.Store(true)
	close(c.replies)
	<-c.writerDone
	c.discardInput()
	_ = c.raw.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) bufferSize() int {
	return max(minBufferBytes, s.cfg.Limits().MaxHeader+headerSlackBytes)
}
