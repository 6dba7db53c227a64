package link

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

const loopback = "127.0.0.1:0"

var (
	fleetKey = []byte("the key of the whole fleet")
	otherKey = []byte("the key of another fleet..")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Echo is the service of these tests.
type Echo struct {
	calls atomic.Int64
	hold  chan struct{}
}

// Same answers with its argument.
func (e *Echo) Same(args string, reply *string) error {
	e.calls.Add(1)
	*reply = args
	return nil
}

// Fail answers with an error.
func (e *Echo) Fail(string, *string) error { return errors.New("no such part") }

// Hold answers after hold is closed.
func (e *Echo) Hold(string, *string) error {
	e.calls.Add(1)
	<-e.hold
	return nil
}

// newListener starts a listener with the service Echo. The methods that hold
// return when the test ends.
func newListener(t *testing.T, cfg ListenConfig) (*Listener, *Echo) {
	t.Helper()
	echo := &Echo{
		hold: make(chan struct{}),
	}
	cfg.Addr = loopback
	cfg.Receivers = map[string]any{
		"Echo": echo,
	}
	if cfg.Keys == nil {
		cfg.Keys = [][]byte{fleetKey}
	}
	l, err := Listen(cfg)
	if err != nil {
		t.Fatalf("Listen() = %v", err)
	}
	t.Cleanup(func() {
		close(echo.hold)
		if err := l.Close(); err != nil {
			t.Errorf("Close() = %v", err)
		}
	})
	return l, echo
}

// newLinks returns links that use the fleet key and are closed when the test
// ends.
func newLinks(t testing.TB, cfg LinksConfig) *Links {
	t.Helper()
	if cfg.Key == nil {
		cfg.Key = fleetKey
	}
	l, err := New(cfg)
	if err != nil {
		t.Fatalf("New() = %v", err)
	}
	t.Cleanup(l.Close)
	return l
}

// newPeerStub starts a peer that handles each connection with behave and then
// closes it. It returns the address of the peer.
func newPeerStub(t *testing.T, behave func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", loopback)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				behave(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

// readToEnd discards all input until the other end closes c.
func readToEnd(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// afterHandshake returns a behaviour that performs the server's part of the
// handshake and then runs behave.
func afterHandshake(behave func(c net.Conn)) func(c net.Conn) {
	return func(c net.Conn) {
		if _, err := serverHandshake(c, [][]byte{fleetKey}); err == nil {
			behave(c)
		}
	}
}

// sendAndHold returns a behaviour that sends data and then keeps the connection
// open.
func sendAndHold(data []byte) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Write(data)
		readToEnd(c)
	}
}

// TestCallFaults checks the error of a call to a faulty peer: its kind, whether
// the peer may have received the call, and that the connection is closed.
func TestCallFaults(t *testing.T) {
	oversize := binary.BigEndian.AppendUint32(nil, 1<<30)
	tests := map[string]struct {
		behave func(c net.Conn)
		want   Kind
		sent   bool
	}{
		"closes the connection at once": {
			behave: func(net.Conn) {},
			want:   Untrusted,
		},
		"does not respond to the handshake": {
			behave: readToEnd,
			want:   Timeout,
		},
		"garbage in the handshake": {
			behave: sendAndHold([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")),
			want:   Untrusted,
		},
		"speaks another version": {
			behave: sendAndHold(append([]byte(magic), handshakeVersion+1)),
			want:   BadVersion,
		},
		"proof under another key": {
			behave: func(c net.Conn) {
				first, _ := readFull(c, len(magic)+1+keyIDBytes+nonceBytes)
				nonce := first[len(first)-nonceBytes:]
				answer := append(append(hello(), nonce...), mac(otherKey, labelServer, nonce, nonce)...)
				sendAndHold(answer)(c)
			},
			want: Untrusted,
		},
		"refuses this end's key": {
			behave: func(c net.Conn) { _, _ = serverHandshake(c, [][]byte{otherKey}) },
			want:   Untrusted,
		},
		"closes the connection during the call": {
			behave: afterHandshake(func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }),
			want:   Broken,
			sent:   true,
		},
		"does not answer the call": {
			behave: afterHandshake(readToEnd),
			want:   Timeout,
			sent:   true,
		},
		"garbage instead of an answer": {
			behave: afterHandshake(sendAndHold([]byte("\x00\x00\x00\x20\x01 this is not a frame of the key"))),
			want:   Broken,
			sent:   true,
		},
		"oversize answer": {
			behave: afterHandshake(sendAndHold(append(oversize, wire.Version))),
			want:   Broken,
			sent:   true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr := newPeerStub(t, tt.behave)
			links := newLinks(t, LinksConfig{})
			var reply string
			err := links.Call(addr, "Echo.Same", "axle", &reply, 100*clock.Millisecond)
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want || e.Sent != tt.sent {
				t.Errorf("Call() = %v, want kind %d, sent %v", err, tt.want, tt.sent)
			}
			if n := links.Conns(); n != 0 {
				t.Errorf("%d connections still open, want none", n)
			}
		})
	}
}

// TestWriteEndsAtDeadline checks that a call returns at its deadline even if it
// is blocked in writing to a peer that does not read.
func TestWriteEndsAtDeadline(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	addr := newPeerStub(t, afterHandshake(func(net.Conn) { <-stop }))
	links := newLinks(t, LinksConfig{
		MaxFrameBytes: 64 << 20,
	})
	large := strings.Repeat("x", 32<<20) // More than the kernel buffers.
	if err := links.Call(addr, "Echo.Same", large, nil, 100*clock.Millisecond); !IsKind(err, Timeout) {
		t.Errorf("Call() to a peer that reads nothing = %v, want kind %d", err, Timeout)
	}
}

func TestCall(t *testing.T) {
	tests := map[string]struct {
		method string
		keys   [][]byte
		want   Kind
	}{
		"answer": {
			method: "Echo.Same",
		},
		"answer under the second key": {
			method: "Echo.Same",
			keys:   [][]byte{otherKey, fleetKey},
		},
		"other key": {
			method: "Echo.Same",
			keys:   [][]byte{otherKey},
			want:   Untrusted,
		},
		"error of the method": {
			method: "Echo.Fail",
			want:   Remote,
		},
		"unknown method": {
			method: "Echo.None",
			want:   Remote,
		},
		"slow method": {
			method: "Echo.Hold",
			want:   Timeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := newListener(t, ListenConfig{
				Keys: tt.keys,
			})
			links := newLinks(t, LinksConfig{})
			var reply string
			err := links.Call(l.Addr(), tt.method, "axle", &reply, 200*clock.Millisecond)
			if tt.want == 0 && (err != nil || reply != "axle") {
				t.Errorf("Call() = %q, %v, want axle", reply, err)
			}
			if tt.want != 0 && !IsKind(err, tt.want) {
				t.Errorf("Call() = %v, want kind %d", err, tt.want)
			}
		})
	}
}

// TestPeersShareOneConnection checks that concurrent calls to one peer share one
// connection, and that both ends count the same number of bytes.
func TestPeersShareOneConnection(t *testing.T) {
	l, echo := newListener(t, ListenConfig{})
	links := newLinks(t, LinksConfig{})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if err := links.Call(l.Addr(), "Echo.Same", "axle", nil, 10*clock.Second); err != nil {
				t.Errorf("Call() = %v", err)
			}
		})
	}
	wg.Wait()
	l.mu.Lock()
	conns := len(l.conns)
	l.mu.Unlock()
	if conns != 1 || echo.calls.Load() != 50 {
		t.Errorf("%d calls on %d connections, want 50 on 1", echo.calls.Load(), conns)
	}
	// An end counts bytes only after it has written them, so for a short time
	// the peer may already have counted more.
	end := time.Now().Add((10 * clock.Second).Duration())
	for {
		in, out := links.Bytes()
		serverIn, serverOut := l.Bytes()
		if in == serverOut && out == serverIn && in > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the client counts %d bytes in, %d out, the server %d in, %d out", in, out, serverIn, serverOut)
		}
		time.Sleep(time.Millisecond)
	}
}

// lossyConn drops each write of n bytes for which delivers returns false.
type lossyConn struct {
	net.Conn
	delivers func(n int) bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if !c.delivers(len(b)) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// dialLossy returns a Dial function for lossyConn, which passes the number of
// the connection to delivers.
func dialLossy(delivers func(conn int64, n int) bool) func(ctx context.Context, addr string) (net.Conn, error) {
	var conns atomic.Int64
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		number := conns.Add(1)
		return &lossyConn{
			Conn:     c,
			delivers: func(n int) bool { return delivers(number, n) },
		}, err
	}
}

// TestSilentConnectionIsReplaced checks that a connection on which the peer no
// longer responds is found by the probe and replaced, so that each call runs
// once. Without the probe, the call itself would fail at its deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l, echo := newListener(t, ListenConfig{})
	fake := clock.NewFake(0)
	var silent atomic.Int64
	links := newLinks(t, LinksConfig{
		Clock:        fake.Clock(),
		ProbeTimeout: 50 * clock.Millisecond,
		IdleTimeout:  clock.Hour,
		Dial:         dialLossy(func(conn int64, _ int) bool { return conn > silent.Load() }),
	})
	for i := range int64(3) {
		if err := links.Call(l.Addr(), "Echo.Same", "axle", nil, 10*clock.Second); err != nil {
			t.Errorf("Call() number %d = %v", i, err)
		}
		silent.Store(i + 1)
		fake.Advance(DefaultProbeAfter)
	}
	if n := echo.calls.Load(); n != 3 {
		t.Errorf("the method ran %d times, want 3", n)
	}
}

// TestSmallCallsPassLargeOnes checks that a small call does not wait for a large
// message to the same peer.
func TestSmallCallsPassLargeOnes(t *testing.T) {
	l, echo := newListener(t, ListenConfig{})
	unblock, entered := make(chan struct{}), make(chan struct{})
	links := newLinks(t, LinksConfig{
		Dial: dialLossy(func(_ int64, n int) bool {
			if n > bulkBytes {
				close(entered)
				<-unblock
			}
			return true
		}),
	})
	var wg sync.WaitGroup
	wg.Go(func() {
		large := strings.Repeat("x", bulkBytes+1)
		if err := links.Call(l.Addr(), "Echo.Same", large, nil, 10*clock.Second); err != nil {
			t.Errorf("large Call() = %v", err)
		}
	})
	<-entered
	if err := links.Call(l.Addr(), "Echo.Same", "axle", nil, 10*clock.Second); err != nil {
		t.Errorf("small Call() = %v", err)
	}
	if n := echo.calls.Load(); n != 1 {
		t.Errorf("%d calls ran, want only the small one", n)
	}
	close(unblock)
	wg.Wait()
}

func TestIdleConnectionIsClosed(t *testing.T) {
	l, _ := newListener(t, ListenConfig{})
	fake := clock.NewFake(0)
	links := newLinks(t, LinksConfig{
		Clock: fake.Clock(),
	})
	if err := links.Call(l.Addr(), "Echo.Same", "axle", nil, 10*clock.Second); err != nil {
		t.Fatalf("Call() = %v", err)
	}
	links.closeIdle(DefaultClientIdleTimeout - 1)
	if n := links.Conns(); n != 1 {
		t.Errorf("%d connections before the idle time, want 1", n)
	}
	links.closeIdle(DefaultClientIdleTimeout)
	if n := links.Conns(); n != 0 {
		t.Errorf("%d connections after the idle time, want 0", n)
	}
}

// waitUntil waits until ok returns true, as the effect of another goroutine.
func waitUntil(ok func() bool) {
	for !ok() {
		runtime.Gosched()
	}
}

// TestBounds checks that calls and messages beyond the configured bounds are
// refused, and that OnLost reports a message that failed.
func TestBounds(t *testing.T) {
	l, echo := newListener(t, ListenConfig{})
	lost := make(chan error, 8)
	links := newLinks(t, LinksConfig{
		MaxInFlight: 1,
		Workers:     1,
		MaxQueued:   1,
		SendTimeout: 10 * clock.Second,
		OnLost:      func(_, _ string, err error) { lost <- err },
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_ = links.Call(l.Addr(), "Echo.Hold", "", nil, 10*clock.Second)
	})
	waitUntil(func() bool { return echo.calls.Load() == 1 })
	if err := links.Call(l.Addr(), "Echo.Same", "", nil, clock.Second); !IsKind(err, Full) {
		t.Errorf("second Call() = %v, want kind %d", err, Full)
	}
	_ = links.Send(l.Addr(), "Echo.Fail", "")
	if err := <-lost; !IsKind(err, Remote) {
		t.Errorf("OnLost got %v, want kind %d", err, Remote)
	}
	_ = links.Send(l.Addr(), "Echo.Hold", "")
	waitUntil(func() bool { return echo.calls.Load() == 2 })
	_ = links.Send(l.Addr(), "Echo.Same", "")
	if err := links.Send(l.Addr(), "Echo.Same", ""); !IsKind(err, Full) {
		t.Errorf("Send() to a full queue = %v, want kind %d", err, Full)
	}
	links.Close()
	if err := links.Send(l.Addr(), "Echo.Same", ""); !IsKind(err, Closed) {
		t.Errorf("Send() after Close() = %v, want kind %d", err, Closed)
	}
}
