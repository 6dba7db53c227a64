// Package plat reads and watches the platform: the configuration service and
// the list of hosts.
//
// Both are read over HTTP and can only be read. Each call has a deadline and
// ends with one exchange: nothing is repeated below [Client.Read], because the
// service limits the reads of all readers together. Who reads when is decided
// by the caller; only [Client.PollHosts] repeats by itself, at a jittered and, after
// failures, growing distance.
//
// An answer is refused by its announced length before any of it is buffered.
// Whether a value may come into force is not decided here: the service may be
// stale or replay an older value, so values are handed on as they come.
package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// Defaults of [Config].
const (
	DefaultTimeout    = 3 * clock.Second
	DefaultWatchWait  = 30 * clock.Second
	DefaultMaxBody    = 1 << 20
	DefaultMaxBackoff = 30 * clock.Second
)

// Kind classifies an [Error].
type Kind uint8

// Kinds of errors.
const (
	// Unreachable means that no whole answer came.
	Unreachable Kind = iota + 1
	// Timeout means that the deadline passed first.
	Timeout
	// TooLarge means that the answer exceeds the limit.
	TooLarge
	// RateLimited means that the service asked for fewer reads.
	RateLimited
	// NotFound means that nothing has been published.
	NotFound
	// BadStatus means an answer that this package has no meaning for.
	BadStatus
	// BadFormat means that the answer could not be understood.
	BadFormat
	// Canceled means that the context ended.
	Canceled
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("plat: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Value is a published value with the number that the service gave it.
type Value struct {
	ETag string
	Data []byte
}

// Host is one entry of the list of hosts.
type Host struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Config configures a [Client].
type Config struct {
	// StoreAddr and Roster are the "ip:port" of the configuration service and of
	// the list of hosts.
	StoreAddr  string
	RosterAddr string
	// Timeout bounds a read.
	Timeout clock.Milli
	// WatchWait is how long a watch asks the service to wait.
	WatchWait clock.Milli
	// MaxBody bounds an answer in bytes.
	MaxBody int
	// MaxBackoff bounds the distance between two calls of [Client.Poll].
	MaxBackoff clock.Milli
	// Clock is the time; the zero value means the clock of the host.
	Clock clock.Clock
	// Rand returns a number in [0, 1) for jitter.
	Rand func() float64
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnHosts receives the lists that Poll reads, and OnError what failed.
	// Both run on the goroutine of Poll.
	OnHosts func(hosts []Host)
	OnError func(err error)
}

// Client reads the platform. Its methods are safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client of the platform. Zero fields of cfg take their default.
func New(cfg Config) *Client {
	cfg.Timeout = orDefault(cfg.Timeout, DefaultTimeout)
	cfg.WatchWait = orDefault(cfg.WatchWait, DefaultWatchWait)
	cfg.MaxBody = orDefault(cfg.MaxBody, DefaultMaxBody)
	cfg.MaxBackoff = orDefault(cfg.MaxBackoff, DefaultMaxBackoff)
	if cfg.Clock.Now == nil {
		cfg.Clock = clock.System()
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	if cfg.Dial == nil {
		cfg.Dial = dial
	}
	if cfg.OnHosts == nil {
		cfg.OnHosts = func([]Host) {}
	}
	if cfg.OnError == nil {
		cfg.OnError = func(error) {}
	}
	return &Client{
		cfg: cfg,
	}
}

func orDefault[T int | clock.Milli](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// classify turns a failed exchange into an error of this package.
func classify(ctx context.Context, op string, err error) error {
	kind := Unreachable
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		kind = Canceled
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		kind = TooLarge
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		kind = Timeout
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = Timeout
	}
	return &Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
