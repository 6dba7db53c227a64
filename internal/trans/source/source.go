// Package source reads the platform's configuration service and list of hosts.
//
// Both are read-only and served over HTTP. Each method makes a single exchange
// with a deadline and never retries, because the configuration service limits
// the rate of reads of all readers together; the caller decides when to read.
// Only [Client.PollHosts] repeats its exchange, at a jittered interval that
// grows after failures.
//
// An answer that announces a body above the limit is rejected before any of the
// body is buffered. The package does not judge values: the configuration
// service may be stale or return an older value again, so the caller must
// decide whether a value comes into force.
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
	// Unreachable means that no complete answer was received.
	Unreachable Kind = iota + 1
	// Timeout means that the deadline passed first.
	Timeout
	// TooLarge means that the answer exceeds the size limit.
	TooLarge
	// RateLimited means that the service asked for fewer reads.
	RateLimited
	// NotFound means that nothing has been published.
	NotFound
	// BadStatus means that the HTTP status is not one that this package knows.
	BadStatus
	// BadFormat means that the answer could not be parsed.
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

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("source: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Value is a published value and the version number that the service gave it.
type Value struct {
	ETag string
	Data []byte
}

// Host is an entry of the list of hosts.
type Host struct {
	Name string `json:"name"`
	// Addr is the IP address of the host.
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Config configures a [Client].
type Config struct {
	// StoreAddr is the "ip:port" of the configuration service, and RosterAddr
	// that of the list of hosts.
	StoreAddr  string
	RosterAddr string
	// Timeout bounds an exchange. For Watch, WatchWait is added to it.
	Timeout clock.Milli
	// WatchWait is how long Watch asks the service to wait for a new value.
	WatchWait clock.Milli
	// MaxBody bounds the body of an answer in bytes.
	MaxBody int
	// MaxBackoff bounds the interval between two reads of PollHosts.
	MaxBackoff clock.Milli
	// Clock is the clock to use; the zero value means the system clock.
	Clock clock.Clock
	// Rand returns a random number in [0, 1) for jitter; nil means [rand.Float64].
	Rand func() float64
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnHosts receives each list that PollHosts reads, and OnError each failure.
	// Both are called on the goroutine of PollHosts.
	OnHosts func(hosts []Host)
	OnError func(err error)
	// OnOddHost receives why an entry of the list of hosts was left out. It is called
	// on the goroutine that reads the list.
	OnOddHost func(err error)
}

// Client reads the platform's services. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client. Zero fields of cfg take their defaults.
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
	if cfg.OnOddHost == nil {
		cfg.OnOddHost = func(error) {}
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

// classify turns the error of a failed exchange into an [*Error].
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
