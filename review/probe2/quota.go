package main

import (
	"bufio"
	"fmt"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runQuota floods a fleet with one tenant's requests while all daemons are killed and
// the store, whose entries lapse meanwhile, comes back.
func runQuota(program string, hosts int, rate, burst float64, trouble string, spread time.Duration) int {
	services := make([]string, hosts)
	for i := range services {
		services[i] = "catalogue"
	}
	f, err := newFleet(program, services...)
	if err != nil {
		return 2
	}
	defer f.close()
	f.extra = map[string]any{"revoke": 5000, "span": 5, "over": 0.25, "spare": 20}
	tenants := []any{map[string]any{"name": "hot", "api-keys": []string{"key-of-hot"}, "priority": 1, "rate-per-s": rate, "burst-size": burst},
		map[string]any{"name": "calm", "api-keys": []string{"key-of-calm"}, "priority": 1}}
	f.putConfig(tenants, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 1500, attempts: 2, priority: 0})
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{work: 5 * time.Millisecond, size: 300} }
		_ = f.startInstance(h, fmt.Sprintf("i-%02d", i))
		_ = f.startDaemon(h)
	}
	if f.awaitReady(10*time.Second) != nil {
		return 2
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var next atomic.Int64
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	ends := map[int]int{}
	for n := 0; n < hosts*6; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := f.hosts[n%hosts]
			var c net.Conn
			var br *bufio.Reader
			for {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp4", h.at(portOutbound)); err != nil {
						c = nil
						continue
					}
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("%016x", next.Add(1))
				at := time.Now()
				_ = c.SetDeadline(at.Add(3 * time.Second))
				fmt.Fprintf(c, "GET /part/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nKey: key-of-hot\r\n\r\n", id)
				m, err := readAnswer(br)
				mu.Lock()
				sentAt[id] = at
				if err == nil {
					ends[m.status()]++
				}
				mu.Unlock()
				if err != nil || m.closes() {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(8 * time.Second)
	t0 := time.Now()
	switch trouble {
	case "lapse":
		f.store.setMode("busy")
		for _, h := range f.hosts {
			f.store.remove("servers/" + h.id)
		}
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range f.hosts {
			h.ended(3 * time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts {
			_ = f.startDaemon(h)
		}
		time.Sleep(time.Until(t0.Add(4500 * time.Millisecond)))
		f.store.setMode("")
		for i, h := range f.hosts {
			if i > 0 {
				time.Sleep(spread / time.Duration(hosts))
			}
			f.putEntry(h, "ready")
		}
	}
	fmt.Println("entries are back", time.Since(t0))
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	seen := map[string]bool{}
	var at []time.Time
	f.book.mu.Lock()
	for _, r := range f.book.runs {
		if !seen[r.id] {
			seen[r.id] = true
			at = append(at, r.at)
		}
	}
	f.book.mu.Unlock()
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most, when := 0, time.Time{}
	for i := range at {
		j := sort.Search(len(at), func(k int) bool { return at[k].After(at[i].Add(5 * time.Second)) })
		if j-i > most {
			most, when = j-i, at[i]
		}
	}
	per := map[int]int{}
	for _, a := range at {
		per[int(a.Sub(t0)/(500*time.Millisecond))]++
	}
	for k := -8; k < 26; k++ {
		fmt.Print(per[k], " ")
	}
	bound := (rate*5+burst)*1.25 + 20
	fmt.Printf("\nmost in 5 s: %d at %v, bound %.0f, ends %v\n", most, when.Sub(t0), bound, ends)
	return 0
}
