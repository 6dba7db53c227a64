package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that an instance began to work on.
type run struct {
	id, instance, service, caller, path string
	body                                int
	began                               time.Time
}

// instance is a sound instance of a service. It runs each request that expects
// it, at most slots at a time, and answers with its signature.
type instance struct {
	id, service, addr string
	slots             int
	// work is how long a request takes, answer the bytes of its answer.
	work   func(path string) time.Duration
	answer int
	// call, if not nil, makes the call that a request of the path needs, if any, and
	// reports whether it succeeded.
	call func(path, id string) bool

	mu      sync.Mutex
	running int
	runs    []run
	// cutAt tells when the connection of a request that was being run was closed.
	cutAt map[string]time.Time
	l     net.Listener
	conns map[net.Conn]bool
}

func startInstance(n *instance) error {
	l, err := net.Listen("tcp4", n.addr)
	if err != nil {
		return err
	}
	n.l = l
	n.conns = make(map[net.Conn]bool)
	n.cutAt = make(map[string]time.Time)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return nil
}

// stop ends the instance and its connections.
func (n *instance) stop() {
	_ = n.l.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.Close()
	}
}

func (n *instance) load() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", n.running, n.slots)
}

func (n *instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !n.handle(c, br, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection may be used on.
func (n *instance) handle(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		return n.write(c, 200, "Instance-Id: "+n.id+"\r\nServer-Load: "+n.load(), id, 0)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != n.id {
		return n.write(c, 421, "Instance-Id: "+n.id, id, 0)
	}
	n.mu.Lock()
	full := n.running >= n.slots
	if !full {
		n.running++
		n.runs = append(n.runs, run{id: id, instance: n.id, service: n.service, caller: r.Header.Get("Caller-Service"),
			path: r.URL.RequestURI(), body: len(body), began: time.Now()})
	}
	n.mu.Unlock()
	if full {
		return n.write(c, 503, "Not-Executed: 1\r\nServer-Load: "+n.load(), id, 0)
	}
	defer func() {
		n.mu.Lock()
		n.running--
		n.mu.Unlock()
	}()
	if n.call != nil && !n.call(r.URL.Path, id) {
		return n.write(c, 500, "Response-Signature: "+signature(n.id, id, 0), id, 0)
	}
	if !awaitWork(c, br, n.work(r.URL.Path)) {
		n.mu.Lock()
		n.cutAt[id] = time.Now()
		n.mu.Unlock()
		return false
	}
	return n.write(c, 200, "Response-Signature: "+signature(n.id, id, n.answer)+"\r\nServer-Load: "+n.load(), id, n.answer)
}

// awaitWork waits for d and reports whether the connection is still open then.
func awaitWork(c net.Conn, br *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(max(d, time.Millisecond)))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		return true
	}
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func signature(instance, id string, n int) string { return instance + "." + id + "." + strconv.Itoa(n) }

// bodyOf is the body of an answer.
func bodyOf(id string, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return b
}

func (n *instance) write(c net.Conn, status int, fields, id string, length int) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, fields, length)
	body := []byte(nil)
	if length > 0 {
		body = bodyOf(id, length)
	}
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

// runsOf returns how often each id began to run on any of the instances.
func runsOf(all []*instance) map[string]int {
	m := make(map[string]int)
	for _, n := range all {
		n.mu.Lock()
		for _, r := range n.runs {
			m[r.id]++
		}
		n.mu.Unlock()
	}
	return m
}
