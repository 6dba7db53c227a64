package link

import (
	"bytes"
	"io"
	"net"
	"testing"

	"siskinswitch.example/siskin/internal/proto/wire"
	"siskinswitch.example/siskin/pkg/clock"
)

// TestListenerClosesHostileConnections checks that the listener closes a
// connection that is silent, not authenticated, malformed or idle, and runs no
// call from it.
func TestListenerClosesHostileConnections(t *testing.T) {
	prove := func(c net.Conn) { _, _ = clientHandshake(c, fleetKey) }
	tests := map[string]func(c net.Conn){
		"sends nothing":          func(net.Conn) {},
		"speaks HTTP":            func(c net.Conn) { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
		"speaks another version": func(c net.Conn) { _, _ = c.Write(append([]byte(magic), handshakeVersion+1)) },
		"has another key":        func(c net.Conn) { _, _ = clientHandshake(c, otherKey) },
		"knows only the id of the key": func(c net.Conn) {
			first := append(append(hello(), keyID(fleetKey)...), make([]byte, nonceBytes)...)
			_, _ = c.Write(append(first, make([]byte, macBytes)...))
		},
		"announces 4 GB": func(c net.Conn) {
			prove(c)
			_, _ = c.Write([]byte{0xff, 0xff, 0xff, 0xff, wire.Version})
		},
		"frame without a MAC": func(c net.Conn) {
			prove(c)
			_, _ = c.Write(append([]byte{0, 0, 0, 32, wire.Version}, make([]byte, 32)...))
		},
		"stops within a frame": func(c net.Conn) {
			prove(c)
			_, _ = c.Write([]byte{0, 0})
		},
		"is idle": prove,
	}
	for name, behave := range tests {
		t.Run(name, func(t *testing.T) {
			l, echo := newListener(t, ListenConfig{
				HandshakeTimeout: 50 * clock.Millisecond,
				FrameTimeout:     50 * clock.Millisecond,
				IdleTimeout:      100 * clock.Millisecond,
			})
			c, err := net.Dial("tcp4", l.Addr())
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer func() { _ = c.Close() }()
			behave(c)
			readToEnd(c) // Returns once the listener has closed the connection.
			if n := echo.calls.Load(); n != 0 {
				t.Errorf("%d calls ran, want none", n)
			}
		})
	}
}

// TestListenerBoundsConnections checks that a connection beyond each bound is
// refused.
func TestListenerBoundsConnections(t *testing.T) {
	tests := map[string]ListenConfig{
		"all": {
			MaxConns: 2,
		},
		"in the handshake": {
			MaxHandshakes: 2,
		},
		"in the handshake from one host": {
			MaxHostHandshakes: 2,
		},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			refused := make(chan struct{})
			cfg.OnRefused = func(_ net.Addr, err error) {
				if IsKind(err, Full) {
					close(refused)
				}
			}
			l, _ := newListener(t, cfg)
			for range 3 {
				c, err := net.Dial("tcp4", l.Addr())
				if err != nil {
					t.Fatalf("dial: %v", err)
				}
				defer func() { _ = c.Close() }()
			}
			<-refused
		})
	}
}

// TestReflectedProofIsRefused checks that the server does not accept its own
// proof, sent back by a client without the fleet key.
func TestReflectedProofIsRefused(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	go func() {
		_, _ = near.Write(append(append(hello(), keyID(fleetKey)...), make([]byte, nonceBytes)...))
		answer, _ := readFull(near, len(magic)+1+nonceBytes+macBytes)
		_, _ = near.Write(answer[len(answer)-macBytes:])
	}()
	if _, err := serverHandshake(far, [][]byte{fleetKey}); !IsKind(err, Untrusted) {
		t.Errorf("serverHandshake() with its own proof = %v, want kind %d", err, Untrusted)
	}
}

func TestKeys(t *testing.T) {
	for _, keys := range [][][]byte{nil, {[]byte("short")}} {
		if err := checkKeys(keys); !IsKind(err, Config) {
			t.Errorf("checkKeys(%q) = %v, want kind %d", keys, err, Config)
		}
	}
}

// FuzzProof checks that no input made without the fleet key passes the client's
// or the server's part of the handshake.
func FuzzProof(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), false)
	f.Add(append(append(hello(), keyID(fleetKey)...), make([]byte, nonceBytes+macBytes)...), false)
	f.Add(append(hello(), make([]byte, nonceBytes+macBytes)...), true)
	f.Fuzz(func(t *testing.T, data []byte, client bool) {
		rw := struct {
			io.Reader
			io.Writer
		}{
			Reader: bytes.NewReader(data),
			Writer: io.Discard,
		}
		var err error
		if client {
			_, err = clientHandshake(rw, fleetKey)
		} else {
			_, err = serverHandshake(rw, [][]byte{fleetKey})
		}
		if err == nil {
			t.Error("the handshake accepted a proof made without the key")
		}
	})
}
