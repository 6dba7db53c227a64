package accept

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
)

// failingListener returns errs from its first calls of Accept.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// TestServeOutlastsFailures guards against an HTTP server that ends when Accept
// fails temporarily, as the library's server does without Wrap.
func TestServeOutlastsFailures(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := Wrap(&failingListener{
		Listener: inner,
		errs:     []error{os.NewSyscallError("accept4", syscall.EMFILE), os.NewSyscallError("accept4", syscall.ECONNABORTED)},
	}, clock.System())
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") },
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+inner.Addr().String()+"/", (5 * clock.Second).Duration())
	if err != nil || string(body) != "served" {
		t.Errorf("Get = %q, %v; want served", body, err)
	}
	if err := ln.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve ended with %v", err)
	}
}

// TestDrainTakesInWhoWaits guards against resetting a connection that is in the
// accept queue when the listener is drained.
func TestDrainTakesInWhoWaits(t *testing.T) {
	ln, err := Listen("127.0.0.1:0", clock.System())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	waiting, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = waiting.Close() }()
	drained := make(chan bool)
	go func() {
		if err := ln.Drain(clock.Minute); err != nil {
			t.Errorf("drain: %v", err)
		}
		close(drained)
	}()
	// A listener that ignores its accept queue would be closed by then.
	select {
	case <-drained:
	case <-time.After(50 * time.Millisecond):
	}
	taken := 0
	for {
		conn, err := ln.Accept()
		if err != nil {
			break
		}
		taken++
		_ = conn.Close()
	}
	<-drained
	if taken != 1 {
		t.Errorf("accepted %d connections, want the one in the queue", taken)
	}
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("the listener still listens")
	}
}

// TestCloseAllEndsOpenConnections checks that CloseAll closes a connection that is
// already accepted.
func TestCloseAllEndsOpenConnections(t *testing.T) {
	ln, err := Listen("127.0.0.1:0", clock.System())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = peer.Close() }()
	if _, err := ln.Accept(); err != nil {
		t.Fatalf("accept: %v", err)
	}
	ln.CloseAll()
	_ = peer.SetReadDeadline(time.Now().Add((5 * clock.Second).Duration()))
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on a closed connection = %v, want EOF", err)
	}
}

// lateListener is a listener to which a client connects in the last moment, after
// its queue was seen empty and before it is closed.
type lateListener struct {
	*net.TCPListener
	connect func()
}

func (l *lateListener) Close() error {
	l.connect()
	return l.TCPListener.Close()
}

// TestDrainResetsNobody checks that a client that connects between the last look
// at the queue and the close is either accepted or not connected at all: a reset
// after the first request was written leaves a caller without a word.
func TestDrainResetsNobody(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		t.Fatalf("the listener is a %T", inner)
	}
	var late net.Conn
	ln := Wrap(&lateListener{
		TCPListener: tcp,
		connect: func() {
			late, _ = net.DialTimeout("tcp4", inner.Addr().String(), 200*time.Millisecond)
		},
	}, clock.System())
	before, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = before.Close() }()
	drained := make(chan error, 1)
	go func() { drained <- ln.Drain(clock.Second) }()
	accepted := 0
	for {
		c, err := ln.Accept()
		if err != nil {
			break
		}
		accepted++
		defer func() { _ = c.Close() }()
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if accepted != 1 {
		t.Errorf("accepted %d connections, want the one that waited", accepted)
	}
	if late == nil {
		return
	}
	defer func() { _ = late.Close() }()
	_, werr := late.Write([]byte("request"))
	_ = late.SetReadDeadline(time.Now().Add(time.Second))
	_, rerr := late.Read(make([]byte, 1))
	t.Errorf("a client was connected and reset: write %v, read %v", werr, rerr)
}
