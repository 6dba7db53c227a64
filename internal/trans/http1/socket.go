package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"siskinswitch.example/siskin/internal/trans/accept"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection is considered lost. A device between the two ends may have
	// dropped its state of the connection silently.
	userTimeout = 2500 * clock.Millisecond
	// probeIdle is the idle time before the first keep-alive probe, and
	// probeEvery the time between two probes.
	probeIdle  = clock.Second
	probeEvery = clock.Second
	probeCount = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package
	// syscall lacks.
	tcpUserTimeout = 18
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle.Duration(),
		Interval: probeEvery.Duration(),
		Count:    probeCount,
	}
}

// setUserTimeout sets the user timeout of a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout))
	})
	if err != nil {
		return err
	}
	return set
}

// lingerer is a connection that Close can be made to reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// writeCloser is a connection whose writing direction can be closed alone.
type writeCloser interface {
	CloseWrite() error
}

// Listen opens a TCP listener whose connections use keep-alive probes. The
// listener survives temporary failures of Accept.
func Listen(addr string, c clock.Clock) (*accept.Listener, error) {
	cfg := net.ListenConfig{
		Control:         setUserTimeout,
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
		Control:         setUserTimeout,
		KeepAliveConfig: keepAliveConfig(),
	}
	return d.DialContext(ctx, "tcp4", addr)
}
