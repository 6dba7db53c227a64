package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// runHeads raises the limit for headers while clients keep their connections.
func runHeads(program string, trouble bool, record *os.File) int {
	f, err := newFleet(program, "catalogue", "catalogue", "ordering", "ordering")
	if err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	defer f.close()
	rules := []rule{
		{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 800, attempts: 2, priority: 2},
		{name: "order", prefix: "/order/", kind: "unsafe", service: "ordering", timeout: 1000, attempts: 2},
	}
	f.maxHeader = 16384
	if !trouble {
		f.maxHeader = 32768
	}
	f.putConfig(nil, rules...)
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{work: 5 * time.Millisecond, size: 500} }
		if err := f.startInstance(h, fmt.Sprintf("i-%d", i)); err != nil {
			fmt.Fprintln(record, "could not run:", err)
			return 2
		}
		if err := f.startDaemon(h); err != nil {
			fmt.Fprintln(record, "could not run:", err)
			return 2
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	time.Sleep(4 * time.Second) // past stable-window-ms: all machines are in touch
	type client struct {
		c  net.Conn
		br *bufio.Reader
		h  *host
	}
	var clients []*client
	connect := func(h *host) (*client, error) {
		c, err := net.Dial("tcp4", h.at(portOutbound))
		if err != nil {
			return nil, err
		}
		return &client{c, bufio.NewReader(c), h}, nil
	}
	for i := 0; i < 24; i++ {
		k, err := connect(f.hosts[i%len(f.hosts)])
		if err != nil {
			fmt.Fprintln(record, "could not run:", err)
			return 2
		}
		clients = append(clients, k)
	}
	total, denied, other, n := 0, 0, 0, 0
	send := func(k *client, what string, pad int) {
		if k.c == nil {
			fresh, err := connect(k.h)
			if err != nil {
				return
			}
			*k = *fresh
		}
		n++
		total++
		id := fmt.Sprintf("%016x", n)
		head := fmt.Sprintf("%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nX-Session: ", what, id)
		head += strings.Repeat("s", max(0, pad-len(head)-4)) + "\r\n\r\n"
		_ = k.c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := k.c.Write([]byte(head))
		var m *message
		if err == nil {
			m, err = readAnswer(k.br)
		}
		status := 0
		if err == nil {
			status = m.status()
		}
		fmt.Fprintf(record, "%s %s to %s, header of %d bytes: status %d signed %t err %v, runs %d\n",
			time.Now().Format("15:04:05.000"), id, k.h.name, len(head), status, err == nil && m.get("Response-Signature") != "", err, len(f.book.of(id)))
		switch {
		case status == 200:
		case status/100 == 4 && m.get("Response-Signature") == "" && status != 408 && status != 421 && status != 429:
			denied++
		default:
			other++
		}
		if err != nil || m.closes() {
			_ = k.c.Close()
			k.c = nil
		}
	}
	for range 3 {
		for i, k := range clients {
			send(k, []string{"GET /part/1", "POST /order/1"}[i%2], 1000)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if trouble {
		f.maxHeader = 32768
		f.putConfig(nil, rules...)
		fmt.Fprintf(record, "%s the store has acknowledged a version with max-header-bytes 32768\n", time.Now().Format("15:04:05.000"))
	}
	time.Sleep(5 * time.Second) // twice config-ms; below four fifths of idle-timeout-ms
	for range 3 {
		for i, k := range clients {
			send(k, []string{"GET /part/1", "POST /order/1"}[i%2], 20000)
		}
	}
	allowed := 5 + total/500
	fmt.Fprintf(record, "%d requests, %d denied with a 4xx of the system's own (allowed %d), %d ended otherwise than 200\n", total, denied, allowed, other)
	fmt.Printf("%d requests, %d denied (allowed %d), %d other\n", total, denied, allowed, other)
	if denied > allowed {
		return 1
	}
	return 0
}
