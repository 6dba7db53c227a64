package sock

import (
	"net"
	"testing"
	"time"
)

func TestPeek(t *testing.T) {
	tests := map[string]struct {
		act  func(t *testing.T, near, far net.Conn)
		want State
	}{
		"still open": {
			act:  func(*testing.T, net.Conn, net.Conn) {},
			want: Open,
		},
		"unread bytes": {
			act: func(t *testing.T, _, far net.Conn) {
				t.Helper()
				if _, err := far.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			},
			want: Readable,
		},
		"closed by the peer": {
			act:  func(_ *testing.T, _, far net.Conn) { _ = far.Close() },
			want: Closed,
		},
		"closed locally": {
			act:  func(_ *testing.T, near, _ net.Conn) { _ = near.Close() },
			want: Closed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			tt.act(t, near, far)
			got := Peek(near)
			for end := time.Now().Add(5 * time.Second); got != tt.want && time.Now().Before(end); got = Peek(near) {
				time.Sleep(time.Millisecond)
			}
			if got != tt.want {
				t.Errorf("Peek = %d, want %d", got, tt.want)
			}
		})
	}
}

func TestPeekWithoutSocket(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	if got := Peek(near); got != Open {
		t.Errorf("Peek = %d, want %d", got, Open)
	}
}

func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	near, err = net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// Guards against a reset that counts as an orderly end.
func TestIsHalfClosed(t *testing.T) {
	tests := map[string]struct {
		act  func(t *testing.T, near, far *net.TCPConn)
		want bool
	}{
		"open": {
			act: func(*testing.T, *net.TCPConn, *net.TCPConn) {},
		},
		"closed by the peer for writing": {
			act:  func(_ *testing.T, _, far *net.TCPConn) { _ = far.CloseWrite() },
			want: true,
		},
		"closed by the peer": {
			act:  func(_ *testing.T, _, far *net.TCPConn) { _ = far.Close() },
			want: true,
		},
		"reset by the peer": {
			act: func(_ *testing.T, _, far *net.TCPConn) {
				_ = far.SetLinger(0)
				_ = far.Close()
			},
		},
		"closed by the peer with unread bytes": {
			act: func(t *testing.T, near, far *net.TCPConn) {
				t.Helper()
				_, _ = near.Write([]byte("x"))
				for Peek(far) != Readable {
					time.Sleep(time.Millisecond)
				}
				_ = far.Close()
			},
		},
		"closed at both ends": {
			act: func(_ *testing.T, near, far *net.TCPConn) {
				_ = far.CloseWrite()
				_, _ = near.Read(make([]byte, 1))
				_ = near.CloseWrite()
			},
		},
		"closed locally": {
			act: func(_ *testing.T, near, _ *net.TCPConn) { _ = near.Close() },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			tt.act(t, near.(*net.TCPConn), far.(*net.TCPConn))
			limit := 100 * time.Millisecond
			if tt.want {
				limit = 5 * time.Second
			}
			got := IsHalfClosed(near)
			for end := time.Now().Add(limit); !got && time.Now().Before(end); got = IsHalfClosed(near) {
				time.Sleep(time.Millisecond)
			}
			if got != tt.want {
				t.Errorf("IsHalfClosed = %v, want %v", got, tt.want)
			}
		})
	}
	near, far := net.Pipe()
	_ = far.Close()
	if IsHalfClosed(near) {
		t.Error("a connection without a socket is half closed")
	}
}
