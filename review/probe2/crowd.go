package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

func cpuTicks(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	u, s := 0, 0
	if len(fields) > 13 {
		fmt.Sscan(fields[11], &u)
		fmt.Sscan(fields[12], &s)
	}
	return u + s
}

// runCrowd lets a daemon live beside many entries of services that are not named here.
func runCrowd(program string, count, perSecond int) int {
	f, err := newFleet(program, "catalogue", "ordering", "catalogue", "ordering")
	if err != nil {
		return 2
	}
	defer f.close()
	f.store.pageBytes = pageBytes
	entry := func(i, n int) []byte {
		v, _ := json.Marshal(map[string]any{
			"address": fmt.Sprintf("10.%d.%d.%d:8080", i/60000, i/250%240, i%250+1), "born": 1700000000000 + i,
			"info":   map[string]any{"service": fmt.Sprintf("other-%d", i%500), "zone": "z1", "version": fmt.Sprint("v", n), "slots": 64},
			"status": map[string]any{"state": "ready", "sequence": n, "cold-remaining-ms": 0},
		})
		return v
	}
	for i := range count {
		f.store.put(fmt.Sprintf("servers/j-%07d", i), entry(i, 0))
	}
	f.store.mu.Lock()
	f.store.kept, f.store.history = f.store.revision, nil
	f.store.mu.Unlock()
	f.putConfig(nil, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 800, attempts: 2, priority: 2})
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{work: 5 * time.Millisecond, size: 500} }
		_ = f.startInstance(h, fmt.Sprintf("i-%d", i))
		_ = f.startDaemon(h)
	}
	began := time.Now()
	if err := f.awaitReady(40 * time.Second); err != nil {
		fmt.Println(err)
	}
	fmt.Println("ready after", time.Since(began), rss(f.hosts[0]))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			i := n * 7919 % count
			f.store.put(fmt.Sprintf("servers/j-%07d", i), entry(i, n))
			if n%2000 == 1999 {
				f.store.mu.Lock()
				f.store.history = append([]item(nil), f.store.history[1000:]...)
				f.store.kept = f.store.history[0].Revision - 1
				f.store.mu.Unlock()
			}
		}
	}()
	var mu sync.Mutex
	var took []time.Duration
	ends := map[int]int{}
	for _, h := range f.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				at := time.Now()
				c, err := net.Dial("tcp4", h.at(portOutbound))
				if err != nil {
					continue
				}
				_ = c.SetDeadline(at.Add(3 * time.Second))
				fmt.Fprintf(c, "GET /part/%d HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s%d\r\nDeadline-Ms: 2000\r\n\r\n", n, h.name, n)
				m, err := readAnswer(bufio.NewReader(c))
				_ = c.Close()
				mu.Lock()
				took = append(took, time.Since(at))
				if err == nil {
					ends[m.status()]++
				} else {
					ends[0]++
				}
				mu.Unlock()
			}
		}()
	}
	before := cpuTicks(f.hosts[0].cmd.Process.Pid)
	for range 5 {
		time.Sleep(3 * time.Second)
		fmt.Println(rss(f.hosts[0]))
	}
	cpu := float64(cpuTicks(f.hosts[0].cmd.Process.Pid)-before) / 100 / 15
	close(stop)
	wg.Wait()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	fmt.Printf("%d entries, %d changes a second: %.2f cores, ends %v, p50 %v p99 %v\n", count, perSecond, cpu, ends, took[len(took)/2], took[len(took)*99/100])
	return 0
}
