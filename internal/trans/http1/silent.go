package http1

import (
	"net"
	"sync"
	"time"

	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// silenceLimit is how long a peer may owe acknowledgements without a sign of life.
	silenceLimit = 2 * clock.Second
	// observeEvery is the interval at which connections in use are observed.
	observeEvery = 500 * clock.Millisecond
)

// observer closes a connection whose peer falls silent while a long answer is written
// to it. The system's own limit for that, TCP_USER_TIMEOUT, does not serve: it also ends
// connections whose peer is alive and only reads slowly.
type observer struct {
	conn net.Conn
	// now returns the present instant, close ends the connection.
	now   func() clock.Milli
	close func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// isSilent is set when the connection was closed.
	isSilent bool
	silence  sock.Silence
}

// observe begins to observe a connection, until stop is called.
func observe(conn net.Conn, now func() clock.Milli, closeConn func()) *observer {
	o := &observer{
		conn:  conn,
		now:   now,
		close: closeConn,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = time.AfterFunc(observeEvery.Duration(), o.look)
	return o
}

// look observes the connection once.
func (o *observer) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	d, ok := sock.ReadDelivery(o.conn)
	if !ok {
		return
	}
	if o.silence.Observe(o.now(), d, silenceLimit) {
		o.isSilent = true
		o.close()
		return
	}
	o.timer.Reset(observeEvery.Duration())
}

// stop ends the observation and reports whether the connection was closed by it.
func (o *observer) stop() bool {
	o.timer.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	return o.isSilent
}
