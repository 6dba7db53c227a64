package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an instance has begun to work on.
type run struct {
	at       time.Time
	id       string
	instance string
	service  string
	what     string // digest of method, path and body
	caller   string
	status   int
	note     string
}

// instance stands in for an instance of a service.
type instance struct {
	service, addr string
	book          *book
	behave        func(r *message) behaviour
	callOut       func(n *instance, id string) bool

	mu     sync.Mutex
	id     string
	ln     net.Listener
	conns  map[net.Conn]bool
	active int
}

// behaviour is what an instance does with one request.
type behaviour struct {
	work   time.Duration
	reject bool
	copied bool // a refusal is written once more before the next answer
	status int
	how    string // "", truncate, unframed, resetframed, extra, extralate, lost, lostreset, close, chunked, interim, garbage
	idle   time.Duration
	call   bool
	size   int
}

// book records what instances ran.
type book struct {
	mu   sync.Mutex
	runs []run
	by   map[string][]int
}

func (b *book) add(r run) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
	b.by[r.id] = append(b.by[r.id], len(b.runs)-1)
	return len(b.runs) - 1
}

func (b *book) end(i, status int, note string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[i].status = status
	b.runs[i].note = note
}

func (b *book) of(id string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []run
	for _, i := range b.by[id] {
		list = append(list, b.runs[i])
	}
	return list
}

func digest(method, uri string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, uri)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func (n *instance) start(id string) error {
	ln, err := net.Listen("tcp4", n.addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.id, n.ln, n.conns = id, ln, map[net.Conn]bool{}
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go func() {
				n.serve(c, id)
				_ = c.Close()
				n.mu.Lock()
				delete(n.conns, c)
				n.mu.Unlock()
			}()
		}
	}()
	return nil
}

// crash ends the instance and resets its connections.
func (n *instance) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.ln.Close()
	for c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (n *instance) body(id, self string, size int) string {
	base := "answer of " + self + " to " + id + " "
	return base + strings.Repeat("x", max(0, size-len(base)))
}

func (n *instance) serve(c net.Conn, self string) {
	br := bufio.NewReader(c)
	pending := ""
	for {
		m, err := readHead(br)
		if err != nil {
			return
		}
		parts := strings.SplitN(m.first, " ", 3)
		if len(parts) < 3 {
			return
		}
		id := m.get("Request-Id")
		b := n.behave(m)
		if b.reject && b.how == "early" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			if m.readBody(br, false) != nil {
				return
			}
			continue
		}
		if err := m.readBody(br, false); err != nil {
			return
		}
		if pending != "" {
			_, _ = c.Write([]byte(pending))
			pending = ""
		}
		if want := m.get("Expected-Instance"); want != "" && want != self {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, self)
			continue
		}
		if b.reject {
			text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = c.Write([]byte(text))
			if b.copied {
				pending = text
			}
			continue
		}
		i := n.book.add(run{at: time.Now(), id: id, instance: self, service: n.service, what: digest(parts[0], parts[1], m.body), caller: m.get("Caller-Service")})
		if b.call && n.callOut != nil {
			if !n.callOut(n, id) {
				b.status = 500
			}
		}
		n.mu.Lock()
		n.active++
		n.mu.Unlock()
		gone := !waitOpen(c, br, b.work)
		n.mu.Lock()
		n.active--
		load := n.active
		n.mu.Unlock()
		if gone {
			n.book.end(i, 0, "cut")
			return
		}
		status := b.status
		if status == 0 {
			status = 200
		}
		n.book.end(i, status, b.how)
		body := n.body(id, self, b.size)
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: %s.%d\r\nServer-Load: %d,0,64,100\r\nX-Status: %d\r\n", status, id, self, i, load, status)
		framed := head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		switch b.how {
		case "truncate":
			_, _ = c.Write([]byte(framed[:len(framed)/2+rand.Intn(len(framed)/2)]))
			return
		case "unframed":
			_, _ = c.Write([]byte(head + "\r\n" + body))
			return
		case "resetframed":
			_, _ = c.Write([]byte(head + "\r\n" + body[:len(body)/2]))
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "extra":
			_, _ = c.Write([]byte(framed + framed))
		case "extralate":
			_, _ = c.Write([]byte(framed))
			pending = framed
		case "lost":
			return
		case "lostreset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "close":
			_, _ = c.Write([]byte(head + "Connection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body))
			return
		case "chunked":
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, 10, body[:10], len(body)-10, body[10:])
		case "chunkcut":
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
			return
		case "interim":
			_, _ = c.Write([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + framed))
		case "garbage":
			_, _ = c.Write([]byte(framed + "HTTP/1.1 "))
		default:
			_, _ = c.Write([]byte(framed))
		}
		if b.idle > 0 {
			if !waitOpen(c, br, b.idle) {
				if br.Buffered() == 0 {
					return
				}
			}
			if br.Buffered() == 0 {
				return // an idle connection is dropped without notice
			}
		}
	}
}

// waitOpen waits for d and reports whether the connection is still open.
func waitOpen(c net.Conn, br *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := br.Peek(br.Buffered() + 1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		// More bytes came: another request behind this one, or what is left of it.
		return true
	}
	return os.IsTimeout(err)
}
