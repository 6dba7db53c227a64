package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

var requests atomic.Int64

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", os.Getpid(), requests.Add(1))
}

// result is what a client saw of one request.
type result struct {
	id        string
	status    int
	signature string
	whole     bool
	got       int
	err       error
	took      time.Duration
}

func (r result) String() string {
	s := fmt.Sprintf("request %s: status %d, signed %t, whole %t, %d bytes of the body, after %.3f s", r.id, r.status, r.signature != "", r.whole, r.got, r.took.Seconds())
	if r.err != nil {
		s += ": " + r.err.Error()
	}
	return s
}

// client is a client with one connection to its machine's daemon.
type client struct {
	c  net.Conn
	br *bufio.Reader
}

// dial connects. A receive buffer of more than 0 bytes makes the window small.
func dialClient(addr string, receive int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receive == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive) })
	}}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &client{c: c, br: bufio.NewReaderSize(c, 1024)}, nil
}

func requestText(method, host, path, id string, limit time.Duration, body int) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, limit.Milliseconds())
	if body > 0 || method != "GET" {
		s += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return s + "\r\n" + string(bodyOf("b", body))
}

// ask sends one request and reads its answer. pause, if not nil, is called when the
// head of the answer has been read.
func (k *client) ask(method, host, path string, limit time.Duration, body int, pause func()) result {
	return k.askAs(newID(), method, host, path, limit, body, pause)
}

// askAs is ask with a given id.
func (k *client) askAs(id, method, host, path string, limit time.Duration, body int, pause func()) result {
	r := result{id: id}
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	_ = k.c.SetDeadline(began.Add(limit))
	if _, err := io.WriteString(k.c, requestText(method, host, path, r.id, limit, body)); err != nil {
		r.err = err
		return r
	}
	k.readAnswer(&r, pause)
	r.took = time.Since(began)
	return r
}

func (k *client) readAnswer(r *result, pause func()) {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		r.err = err
		return
	}
	r.status = resp.StatusCode
	r.signature = resp.Header.Get("Response-Signature")
	if id := resp.Header.Get("Request-Id"); id != r.id {
		r.err = fmt.Errorf("the answer is of request %q", id)
		return
	}
	if pause != nil {
		pause()
	}
	b, err := io.ReadAll(resp.Body)
	r.got, r.err = len(b), err
	r.whole = err == nil
	if r.whole && r.status == 200 && string(b) != string(bodyOf(r.id, len(b))) {
		r.whole, r.err = false, fmt.Errorf("the body isn't the instance's")
	}
}

func (k *client) close() { _ = k.c.Close() }
