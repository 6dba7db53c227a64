package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Goroutines of the HTTP library, which outlive the tests by seconds or run
		// forever.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

func newTarget(t *testing.T, cfg TargetConfig) *Target {
	t.Helper()
	target, err := NewTarget(cfg)
	if err != nil {
		t.Fatalf("NewTarget() = %v", err)
	}
	t.Cleanup(func() {
		if err := target.Close(); err != nil {
			t.Errorf("Close() = %v", err)
		}
	})
	return target
}

// caller sends requests to one address without retries.
type caller struct {
	host    *fasthttp.HostClient
	timeout time.Duration
}

func newCaller(t *testing.T, addr string) *caller {
	t.Helper()
	c := &caller{
		timeout: 10 * time.Second,
		host: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  64,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
	t.Cleanup(c.host.CloseIdleConnections)
	return c
}

// do sends a request and returns the status, header and body of the answer. The
// status is zero if no valid answer arrived.
func (c *caller) do(method, path string, fields map[string]string) (int, *fasthttp.ResponseHeader, Answer) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.host.Addr + "/" + path)
	for k, v := range fields {
		req.Header.Set(k, v)
	}
	if err := c.host.DoTimeout(req, &resp, c.timeout); err != nil {
		return 0, &resp.Header, Answer{}
	}
	var answer Answer
	_ = json.Unmarshal(resp.Body(), &answer) // The body of a refusal is plain text.
	return resp.StatusCode(), &resp.Header, answer
}

// get decodes the JSON resource at path into v.
func (c *caller) get(path string, v any) error {
	_, body, err := c.host.GetTimeout(nil, "http://"+c.host.Addr+"/"+path, c.timeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

func TestTargetFaults(t *testing.T) {
	tests := map[string]struct {
		fault     Fault
		status    int
		echoes    bool
		completed int64
	}{
		"none": {
			fault:     NoFault,
			status:    200,
			echoes:    true,
			completed: 1,
		},
		"cut": {
			fault:     Interrupted,
			completed: 1,
		},
		"wrong length": {
			fault:     WrongLength,
			completed: 1,
		},
		"late": {
			fault:     Late,
			status:    200,
			echoes:    true,
			completed: 1,
		},
		"silent": {
			fault: Silent,
		},
		"refused": {
			fault:  Refuse,
			status: 503,
		},
		"crossed": {
			fault:     Crossed,
			status:    200,
			completed: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, TargetConfig{
				Slots: 1,
				Conns: 4,
				Operations: map[string]Operation{
					"ledger/read": {
						ServiceTime: 1,
					},
				},
			})
			target.SetFaults(Faults{
				Fault: tt.fault,
				Share: 1,
				Delay: 5,
			})
			c := newCaller(t, target.Addr())
			if tt.fault == Silent {
				c.timeout = 50 * time.Millisecond
			}
			status, head, answer := c.do("POST", "ledger/read", map[string]string{
				header.IdempotencyKey: "k",
				header.Attempt:        "a",
			})
			echoes := answer.Key == "k" && string(head.Peek(header.Attempt)) == "a"
			if status != tt.status || echoes != tt.echoes {
				t.Errorf("status %d, echoes %v, want %d, %v", status, echoes, tt.status, tt.echoes)
			}
			if got := target.Counts(); got.Arrivals != 1 || got.Completed != tt.completed {
				t.Errorf("Counts() = %+v, want 1 arrival, %d completed", got, tt.completed)
			}
		})
	}
}

// TestTargetServesNoMoreThanItsSlots checks that requests beyond the slots wait,
// also while slots become free and waiters leave the queue.
func TestTargetServesNoMoreThanItsSlots(t *testing.T) {
	const slots, requests = 3, 12
	release := make(chan time.Time)
	sys := clock.System()
	target := newTarget(t, TargetConfig{
		Slots:            slots,
		Conns:            requests + 1,
		IgnoreDisconnect: true,
		Operations: map[string]Operation{
			"stock/count": {
				ServiceTime: clock.Hour,
			},
		},
		Clock: clock.Clock{
			Now:   sys.Now,
			Wall:  sys.Wall,
			After: func(clock.Milli) <-chan time.Time { return release },
		},
	})
	c := newCaller(t, target.Addr())
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			c.do("POST", "stock/count", map[string]string{
				header.Attempt: strconv.Itoa(i),
			})
		})
	}
	until(func() bool { return target.currentLoad().Waiting == requests-slots })
	if got := target.currentLoad().Running; got != slots {
		t.Errorf("%d requests run at once, want %d", got, slots)
	}
	for i := range requests {
		if status, _, _ := c.do("DELETE", fmt.Sprintf("attempts/%d", i), nil); status != 200 {
			t.Errorf("cancel = %d", status)
		}
		until(func() bool {
			n := target.Counts()
			return n.Cancelled+n.Refused == int64(i+1)
		})
		if got := target.currentLoad().Running; got > slots {
			t.Errorf("%d requests run at once, want at most %d", got, slots)
		}
	}
	wg.Wait()
}

// until polls until ok returns true.
func until(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// TestDeeperCallLeavesClosedConnections checks that a downstream call does not
// fail when the peer has closed the keep-alive connection since the last call.
func TestDeeperCallLeavesClosedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	closed := make(chan bool, 2)
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			body := `{"path":"ledger/book","key":"k.0"}`
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = conn.Close()
			closed <- true
		}
	}()
	payment := newTarget(t, TargetConfig{
		Slots:    1,
		Conns:    2,
		Outbound: ln.Addr().String(),
		Operations: map[string]Operation{
			"payment/pay": {
				Calls: []string{"ledger/book"},
			},
		},
	})
	caller := newCaller(t, payment.Addr())
	for n := range 2 {
		status, _, _ := caller.do("POST", "payment/pay", map[string]string{
			header.IdempotencyKey: "k",
		})
		if status != 200 {
			t.Fatalf("call %d: status %d", n, status)
		}
		<-closed
	}
}

// TestTargetCallsDeeper checks the keys of downstream calls, and that an answer
// to another request is noticed.
func TestTargetCallsDeeper(t *testing.T) {
	ledger := newTarget(t, TargetConfig{
		Name:  "ledger-1",
		Slots: 1,
		Conns: 2,
		Operations: map[string]Operation{
			"ledger/book": {
				AtMostOnce: true,
			},
		},
	})
	payment := newTarget(t, TargetConfig{
		Name:     "payment-1",
		Slots:    1,
		Conns:    2,
		Outbound: ledger.Addr(),
		Operations: map[string]Operation{
			"payment/pay": {
				Calls:      []string{"ledger/book", "ledger/book"},
				AtMostOnce: true,
			},
		},
	})
	status, _, answer := newCaller(t, payment.Addr()).do("POST", "payment/pay", map[string]string{
		header.IdempotencyKey: "k",
		header.Context:        "token",
	})
	if status != 200 || len(answer.Calls) != 2 || answer.Calls[1].Key != "k.1" {
		t.Errorf("pay = %d, %+v, want two downstream answers", status, answer)
	}
	want := Run{
		Started:   1,
		Completed: 1,
	}
	runs := ledger.Runs("ledger/book")
	if len(runs) != 2 || runs["k.0"] != want || runs["k.1"] != want {
		t.Errorf("Runs() = %v, want one run each of k.0 and k.1", runs)
	}
	ledger.SetFaults(Faults{
		Fault: Crossed,
		Share: 1,
	})
	status, _, _ = newCaller(t, payment.Addr()).do("POST", "payment/pay", nil)
	if n := payment.Counts().Crossed; status != 502 || n != 1 {
		t.Errorf("crossed answer = %d, counted %d times, want 502, once", status, n)
	}
}

func TestSilenceKeepsNewConnectionsWorking(t *testing.T) {
	target := newTarget(t, TargetConfig{
		Slots: 2,
		Conns: 4,
		Operations: map[string]Operation{
			"stock/look": {},
		},
	})
	old, fresh := newCaller(t, target.Addr()), newCaller(t, target.Addr())
	if status, _, _ := old.do("GET", "stock/look", nil); status != 200 {
		t.Fatalf("before = %d", status)
	}
	target.BlackholeOpen()
	if status, _, _ := fresh.do("GET", "stock/look", nil); status != 200 {
		t.Errorf("new connection = %d, want 200", status)
	}
	old.timeout = 50 * time.Millisecond
	if status, _, _ := old.do("GET", "stock/look", nil); status != 0 {
		t.Errorf("black-holed connection = %d, want no answer", status)
	}
}
