package http1

import (
	"context"
	"net"
	"time"

	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// probeIdle is the idle time before the first keep-alive probe, and
	// probeEvery the time between two probes.
	probeIdle  = clock.Second
	probeEvery = clock.Second
	probeCount = 2
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle.Duration(),
		Interval: probeEvery.Duration(),
		Count:    probeCount,
	}
}

// lingerer is a connection that Close can be made to reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// writeCloser is a connection whose writing direction can be closed alone.
type writeCloser interface {
	CloseWrite() error
}

// Listen opens a TCP listener whose connections use keep-alive probes, which end an
// idle connection whose peer has fallen silent. The listener survives temporary
// failures of Accept.
func Listen(addr string, c clock.Clock) (*accept.Listener, error) {
	cfg := net.ListenConfig{
		KeepAliveConfig: keepAliveConfig(),
	}
	l, err := cfg.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return accept.Wrap(l, c), nil
}

// dial opens a connection within wait.
func dial(ctx context.Context, addr string, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         wait,
		KeepAliveConfig: keepAliveConfig(),
	}
	return d.DialContext(ctx, "tcp4", addr)
}
