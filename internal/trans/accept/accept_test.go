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
		ln.Drain(clock.Minute)
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
