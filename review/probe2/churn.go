package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"time"
)

// runChurn has another writer keep entries that cannot be read, and change them.
func runChurn(program string, trouble bool, count, perSecond int, record *os.File) int {
	f, err := newFleet(program, "catalogue", "ordering", "catalogue", "ordering")
	if err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	defer f.close()
	part := rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 800, attempts: 2, priority: 2}
	order := rule{name: "order", prefix: "/order/", kind: "unsafe", service: "catalogue", timeout: 1000, attempts: 2}
	f.store.pageBytes, f.store.answerTime, f.store.bytesPerSecond = pageBytes, 4*time.Millisecond, 125_000_000
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
		value := make([]byte, valueBytes)
		rand.New(rand.NewSource(1)).Read(value)
		fmt.Fprintf(record, "%s another writer begins to write %d entries of %d bytes, %d a second, and goes on to change them\n", stamp(), count, valueBytes, perSecond)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / time.Duration(perSecond)):
				}
				f.store.put(fmt.Sprintf("servers/other-%04d", i%count), append([]byte(fmt.Sprint(i)), value[20:]...))
				f.store.forget(20 * perSecond)
			}
		}()
		time.Sleep(time.Duration(count/perSecond+3) * time.Second)
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
	for _, h := range f.hosts {
		fmt.Fprintf(record, "%s: %s\n", h.name, rss(h))
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
