package fakes

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// DefaultRate is the default limit of a [Store] in reads a second.
const DefaultRate = 2000

// maxWatchWait bounds the wait that a reader may ask for.
const maxWatchWait = 5 * clock.Minute

// Mode is a way in which a [Store] answers.
type Mode uint8

// Modes of a [Store].
const (
	// Up answers with the newest value.
	Up Mode = iota
	// Down closes each connection without an answer.
	Down
	// Hang reads requests and never answers.
	Hang
	// Stale answers with the value that was newest when the mode was set.
	Stale
	// Replay answers with the previous value under a new version number.
	Replay
)

// StoreConfig configures a [Store].
type StoreConfig struct {
	// Addr is "ip:port"; empty means a free port on loopback.
	Addr string
	// Rate is the limit in reads a second; zero means [DefaultRate].
	Rate int
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
}

// Reads counts the requests that a [Store] received. A watch counts as one.
type Reads struct {
	Total    int64
	Watches  int64
	Rejected int64
	// Peak is the highest number of requests in one second.
	Peak int64
}

// Store is a fake configuration service. GET /value returns the value with its
// version number as ETag. With the parameters after=N and wait=MS (a watch) it
// answers as soon as the number differs from N, or with 304 after the wait.
// Reads beyond the rate are answered with 429.
type Store struct {
	*server
	cfg StoreConfig

	mu       sync.Mutex
	mode     Mode
	value    value
	previous value
	frozen   value
	changed  chan struct{}
	reads    Reads
	second   clock.Milli
	count    int64
}

type value struct {
	etag uint64
	data []byte
}

// NewStore starts a configuration service without a value.
func NewStore(cfg StoreConfig) (*Store, error) {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Clock.Now == nil {
		cfg.Clock = clock.System()
	}
	s := &Store{
		cfg:     cfg,
		changed: make(chan struct{}),
	}
	srv, err := serve(cfg.Addr, 0, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = srv
	return s, nil
}

// Publish makes a copy of data the newest value and returns its version number,
// which is 1 for the first.
func (s *Store) Publish(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous = s.value
	s.value = value{
		etag: s.value.etag + 1,
		data: append([]byte(nil), data...),
	}
	s.notifyWatches()
	return s.value.etag
}

// SetMode changes how s answers. It also applies to waiting watches.
func (s *Store) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = s.value
	s.mode = mode
	s.notifyWatches()
}

// Reads returns the counters of s.
func (s *Store) Reads() Reads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// ResetPeak resets [Reads.Peak] and the count of the current second.
func (s *Store) ResetPeak() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Peak = 0
	s.count = 0
}

// notifyWatches wakes every waiting watch to check the value and mode again. The
// caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the mode, the value that readers see now, and a channel that
// is closed on the next change of either.
func (s *Store) current() (Mode, value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.mode {
	case Stale:
		return s.mode, s.frozen, s.changed
	case Replay:
		return s.mode, value{
			etag: s.value.etag + 1,
			data: s.previous.data,
		}, s.changed
	default:
		return s.mode, s.value, s.changed
	}
}

// allow counts one request and reports whether it is within the rate.
func (s *Store) allow(watch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.cfg.Clock.Now() / clock.Second
	if window != s.second {
		s.second = window
		s.count = 0
	}
	s.count++
	s.reads.Total++
	s.reads.Peak = max(s.reads.Peak, s.count)
	if watch {
		s.reads.Watches++
	}
	if s.count <= int64(s.cfg.Rate) {
		return true
	}
	s.reads.Rejected++
	return false
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/value" {
		ctx.Error("no such resource", fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsGet() {
		ctx.Error("read only", fasthttp.StatusMethodNotAllowed)
		return
	}
	wait := clock.Milli(ctx.QueryArgs().GetUintOrZero("wait"))
	if !s.allow(wait > 0) {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		ctx.Error("too many reads", fasthttp.StatusTooManyRequests)
		return
	}
	after := strings.Trim(string(ctx.QueryArgs().Peek("after")), `"`)
	s.answer(ctx, after, min(wait, maxWatchWait))
}

// answer answers with the value, or waits for one whose number is not after.
func (s *Store) answer(ctx *fasthttp.RequestCtx, after string, wait clock.Milli) {
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = s.cfg.Clock.After(wait)
	}
	for {
		mode, v, change := s.current()
		etag := strconv.FormatUint(v.etag, 10)
		switch {
		case mode == Down:
			closeWithoutAnswer(ctx)
			return
		case mode == Hang:
		case v.etag == 0 && wait == 0:
			ctx.Error("nothing published", fasthttp.StatusNotFound)
			return
		case v.etag != 0 && etag != after:
			ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(etag))
			ctx.SetBody(v.data)
			return
		case wait == 0:
			ctx.NotModified()
			return
		}
		select {
		case <-change:
		case <-timeout:
			if mode != Hang {
				ctx.NotModified()
				return
			}
			timeout = nil
		case <-s.quit:
			closeWithoutAnswer(ctx)
			return
		}
	}
}
