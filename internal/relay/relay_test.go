package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// startEcho starts a server that sends back what it reads, and returns its
// address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestModes makes a round trip through a relay, injects a fault and makes
// another. Each fault must show in the second one.
func TestModes(t *testing.T) {
	tests := map[string]struct {
		act func(r *Relay)
		// want is the error of the second round trip; slow says that it takes
		// longer.
		want error
		slow bool
	}{
		"clear": {
			act: func(*Relay) {},
		},
		"delayed": {
			act:  func(r *Relay) { r.SetMode(Delayed) },
			slow: true,
		},
		"drop to server": {
			act:  func(r *Relay) { r.SetMode(DropToServer) },
			want: os.ErrDeadlineExceeded,
		},
		"drop to client": {
			act:  func(r *Relay) { r.SetMode(DropToClient) },
			want: os.ErrDeadlineExceeded,
		},
		"silent": {
			act:  func(r *Relay) { r.SetMode(Blackhole) },
			want: os.ErrDeadlineExceeded,
		},
		"black hole for open connections": {
			act:  (*Relay).BlackholeOpen,
			want: os.ErrDeadlineExceeded,
		},
		"reset": {
			act:  (*Relay).Reset,
			want: syscall.ECONNRESET,
		},
		"closed": {
			act:  (*Relay).Close,
			want: syscall.ECONNRESET,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := New("127.0.0.1:0", startEcho(t))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			c, err := net.Dial("tcp4", r.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			if _, err := roundTrip(c); err != nil {
				t.Fatal(err)
			}
			tt.act(r)
			took, err := roundTrip(c)
			if !errors.Is(err, tt.want) {
				t.Errorf("error = %v, want %v", err, tt.want)
			}
			if tt.slow && took < 2*delay.Duration() {
				t.Errorf("took %v, want at least twice the delay", took)
			}
		})
	}
}

// roundTrip sends one byte on c and waits until it comes back.
func roundTrip(c net.Conn) (time.Duration, error) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(400 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	return time.Since(began), err
}
