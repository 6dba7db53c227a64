package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// runEntries tries two entries of the open issues: clients that shut their sending
// direction, and the first request that runs once after a pause.
func runEntries(program string) int {
	f, err := newFleet(program, "catalogue", "ordering", "catalogue", "ordering")
	if err != nil {
		return 2
	}
	defer f.close()
	f.putConfig(nil, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 1500, attempts: 2, priority: 2},
		rule{name: "order, once", prefix: "/order/", kind: "unsafe", service: "ordering", timeout: 1500, attempts: 2})
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{work: 300 * time.Millisecond, size: 500} }
		_ = f.startInstance(h, fmt.Sprintf("i-%d", i))
		_ = f.startDaemon(h)
	}
	if f.awaitReady(10*time.Second) != nil {
		return 2
	}
	n := 0
	send := func(h *host, what string, shut bool) {
		n++
		id := fmt.Sprintf("%015x,%d", n, n%10)
		c, err := net.Dial("tcp4", h.at(portOutbound))
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", what, id)
		if shut {
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).CloseWrite()
		}
		m, err := readAnswer(bufio.NewReader(c))
		status := 0
		if err == nil {
			status = m.status()
		}
		fmt.Println(what, h.name, "shut", shut, "status", status, "err", err, "runs", len(f.book.of(id)))
	}
	for _, pause := range []time.Duration{0, 25 * time.Second, 55 * time.Second} {
		time.Sleep(pause)
		fmt.Println("after a pause of", pause)
		for _, h := range f.hosts {
			send(h, "POST /order/1", false)
		}
	}
	for _, h := range f.hosts {
		send(h, "GET /part/1", true)
		send(h, "POST /order/1", true)
	}
	return 0
}
