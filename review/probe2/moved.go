package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// runMoved moves the store to another address, of which the settings files tell.
func runMoved(program string, trouble bool, record *os.File) int {
	f, err := newFleet(program, "catalogue", "ordering", "catalogue", "ordering")
	if err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	defer f.close()
	part := rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 800, attempts: 2, priority: 2}
	order := rule{name: "order", prefix: "/order/", kind: "unsafe", service: "catalogue", timeout: 1000, attempts: 2}
	f.putConfig(nil, part, order)
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
	stamp := func() string { return time.Now().Format("15:04:05.000") }
	time.Sleep(4 * time.Second)
	if trouble {
		old, err := f.store.moveTo(net.JoinHostPort(f.hosts[0].ip[:len(f.hosts[0].ip)-1]+"251", fmt.Sprint(portStore)))
		if err != nil {
			fmt.Fprintln(record, "could not run:", err)
			return 2
		}
		fmt.Fprintf(record, "%s the store answers at %s too, with the same content\n", stamp(), f.store.addr)
		for i, h := range f.hosts {
			if _, err := f.writeSettings(h); err != nil {
				fmt.Fprintln(record, "could not run:", err)
				return 2
			}
			fmt.Fprintf(record, "%s the settings file of %s names the new address\n", stamp(), h.name)
			if i < 3 {
				h.signal(syscall.SIGHUP)
				fmt.Fprintf(record, "%s SIGHUP to %s\n", stamp(), h.name)
			}
		}
		time.Sleep(5 * time.Second)
		old()
		fmt.Fprintf(record, "%s the old address is closed\n", stamp())
	}
	time.Sleep(6 * time.Second) // twice stable-window-ms
	part.service, order.service = "ordering", "ordering"
	f.putConfig(nil, part, order)
	ack := time.Now()
	fmt.Fprintf(record, "%s the store has acknowledged a version that moves both routes from catalogue to ordering\n", stamp())
	total, stale, failed := 0, 0, 0
	for round := range 3 {
		// 2.6, 5.6 and 8.6 s after the ack; config-ms is 2,500.
		time.Sleep(time.Until(ack.Add(2600*time.Millisecond + time.Duration(round)*3*time.Second)))
		for i, h := range f.hosts {
			for j, what := range []string{"GET /part/1", "POST /order/1"} {
				total++
				id := fmt.Sprintf("%08x%04x%04x", round+1, i, j)
				c, err := net.DialTimeout("tcp4", h.at(portOutbound), time.Second)
				status := 0
				if err == nil {
					_ = c.SetDeadline(time.Now().Add(3 * time.Second))
					fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", what, id)
					if m, err := readAnswer(bufio.NewReader(c)); err == nil {
						status = m.status()
					}
					_ = c.Close()
				}
				service := "none"
				for _, r := range f.book.of(id) {
					service = r.service
				}
				if service == "catalogue" {
					stale++
				}
				if status != 200 {
					failed++
				}
				fmt.Fprintf(record, "%s %s %s to %s, %v after the ack: status %d, run by %s\n", stamp(), id, what, h.name, time.Since(ack).Round(time.Millisecond), status, service)
			}
		}
	}
	fmt.Fprintf(record, "%d requests later than config-ms after the ack, %d run by the old service, %d not answered with 200\n", total, stale, failed)
	switch {
	case stale > 0:
		return 1
	case failed > total/2:
		return 2
	}
	return 0
}
