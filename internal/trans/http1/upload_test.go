package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
)

// partialAnswer is an answer without a length, or its beginning.
const partialAnswer = statusLine + echoLine + "\r\nabc"

// uploadBytes is longer than the buffers between.
const uploadBytes = 12 << 20

// Guards against a part of an answer without a length that reaches the caller as whole,
// since the write of the request took the error of a reset (MIXED), and against a whole
// one that is refused because the target did not read the whole request.
func TestEarlyAnswerWithoutALength(t *testing.T) {
	const rounds = 40
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	tests := map[string]struct {
		end  func(c *net.TCPConn)
		fail bool
	}{
		"reset": {
			end:  reset,
			fail: true,
		},
		"closed with the request unread": {
			end: func(c *net.TCPConn) {
				// The system sends a reset if there are unread bytes.
				for sock.Peek(c) == sock.Open {
					time.Sleep(time.Millisecond)
				}
				_ = c.Close()
			},
			fail: true,
		},
		"ended, and the request is read on": {
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			},
		},
		"ended, and the request is not read": {
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(100 * time.Millisecond)
				_ = c.Close()
			},
		},
		"ended, and reset at once": {
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				reset(c)
			},
		},
	}
	for name, tt := range tests {
		for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			t.Run(name+", after "+pause.String(), func(t *testing.T) {
				t.Parallel()
				addr := startTarget(t, partialAnswer, func(c *net.TCPConn) {
					time.Sleep(pause)
					tt.end(c)
				})
				r := echoRequest()
				r.Method = "POST"
				r.Body = make([]byte, uploadBytes)
				for round := range rounds {
					ctx, cancel := WithTimeout(context.Background(), 10*clock.Second)
					a, err := endlessClient().Do(ctx, addr, r, Options{})
					cancel()
					var e *Error
					switch {
					case tt.fail && err == nil:
						t.Fatalf("round %d: answer %d with body %q of a connection that was reset", round, a.Status, a.Body)
					case tt.fail && (!errors.As(err, &e) || e.Kind != Interrupted):
						t.Fatalf("round %d: error %v, want kind %s", round, err, Interrupted)
					case !tt.fail && (err != nil || string(a.Body) != "abc"):
						t.Fatalf("round %d: body %q, %v, want the whole answer", round, a.Body, err)
					}
				}
			})
		}
	}
}

// scriptedConn is a connection whose writes fail with an error and whose reads return a
// text and its end.
type scriptedConn struct {
	net.Conn
	text     *bufio.Reader
	writeErr error
}

func (c *scriptedConn) Read(b []byte) (int, error)  { return c.text.Read(b) }
func (c *scriptedConn) Write(b []byte) (int, error) { return len(b), c.writeErr }

// Guards the decision of the test before, for each error that the system may have
// reported to the write, of a short request too.
func TestErrorOfTheWriteEndsAnAnswer(t *testing.T) {
	tests := map[string]struct {
		writeErr error
		fail     bool
	}{
		"none": {},
		"reset behind the end": {
			writeErr: syscall.EPIPE,
		},
		"reset": {
			writeErr: syscall.ECONNRESET,
			fail:     true,
		},
		"no acknowledgement": {
			writeErr: syscall.ETIMEDOUT,
			fail:     true,
		},
		"no route": {
			writeErr: syscall.EHOSTUNREACH,
			fail:     true,
		},
	}
	for name, tt := range tests {
		for size, bodyBytes := range map[string]int{
			"short": 10,
			"long":  2 * asyncWriteBytes,
		} {
			t.Run(name+", "+size, func(t *testing.T) {
				raw := &scriptedConn{
					writeErr: tt.writeErr,
				}
				raw.text = bufio.NewReader(strings.NewReader(partialAnswer))
				n := &conn{
					raw: raw,
					br:  bufio.NewReader(raw),
				}
				r := echoRequest()
				r.Body = make([]byte, bodyBytes)
				a, _, err := n.exchange(r, reading{
					header:    readHead,
					echoField: echoField,
					maxBody:   100,
				})
				if fail := err != nil; fail != tt.fail {
					t.Errorf("body %q, error %v, want an error: %v", a.Body, err, tt.fail)
				}
			})
		}
	}
}

// Guards against an exchange that waits for an answer to a request of which the write has
// failed while the connection stays open.
func TestFutileWriteEndsTheExchange(t *testing.T) {
	silent, _ := io.Pipe()
	raw := &scriptedConn{
		text:     bufio.NewReader(silent),
		writeErr: syscall.ENOBUFS,
	}
	n := &conn{
		raw: raw,
		br:  bufio.NewReader(raw),
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := n.exchange(echoRequest(), reading{
			header: readHead,
		})
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ENOBUFS) {
			t.Errorf("error %v, want that of the write", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the exchange still waits after 5 s")
	}
}
