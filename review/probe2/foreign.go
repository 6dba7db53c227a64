package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB   = 284
	valueBytes = 1 << 20
	pageBytes  = 1 << 20
	pageItems  = 500
)

// resident returns the resident memory of a process in kB, 0 if it is gone.
func resident(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	kb := 0
	for _, l := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// keeper is the platform's part that starts a process again and kills one that exceeds
// its memory.
type keeper struct {
	f      *fleet
	record *os.File
	mu     sync.Mutex
	// ends counts the ends of each process, over those for its memory.
	ends, over map[string]int
	peak       map[string]int
}

func (k *keeper) keep(h *host, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		h.mu.Lock()
		pid, done := h.cmd.Process.Pid, h.done
		h.mu.Unlock()
		kb := resident(pid)
		k.mu.Lock()
		k.peak[h.name] = max(k.peak[h.name], kb)
		k.mu.Unlock()
		why := ""
		if kb > memoryMB*1024 {
			h.signal(syscall.SIGKILL)
			h.ended(3 * time.Second)
			k.mu.Lock()
			k.over[h.name]++
			k.mu.Unlock()
			why = fmt.Sprintf("killed by the platform at %d kB, over memory-mb", kb)
		} else {
			select {
			case <-done:
				why = "exited"
			default:
				continue
			}
		}
		k.mu.Lock()
		k.ends[h.name]++
		k.mu.Unlock()
		fmt.Fprintf(k.record, "%s %s: %s\n", time.Now().Format("15:04:05.000"), h.name, why)
		time.Sleep(500 * time.Millisecond)
		_ = k.f.startDaemon(h)
	}
}

// runForeign has another writer fill the store with entries that cannot be read, while
// daemons run.
func runForeign(program string, trouble bool, count int, record *os.File) int {
	f, err := newFleet(program, "catalogue", "catalogue", "ordering", "ordering")
	if err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	defer f.close()
	f.store.pageBytes = pageBytes
	f.putConfig(nil,
		rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 800, attempts: 2, priority: 2},
		rule{name: "order", prefix: "/order/", kind: "unsafe", service: "ordering", timeout: 1000, attempts: 2})
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{work: 5 * time.Millisecond, size: 500} }
		if err := f.startInstance(h, fmt.Sprintf("i-%d", i)); err != nil {
			return 2
		}
		if err := f.startDaemon(h); err != nil {
			return 2
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		fmt.Fprintln(record, "could not run:", err)
		return 2
	}
	k := &keeper{f: f, record: record, ends: map[string]int{}, over: map[string]int{}, peak: map[string]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Add(1)
		go func() { defer wg.Done(); k.keep(h, stop) }()
	}
	var mu sync.Mutex
	ends := map[string]int{}
	for i, h := range f.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				end := "not reached"
				id := fmt.Sprintf("%08x%08x", i, n)
				if c, err := net.DialTimeout("tcp4", h.at(portOutbound), time.Second); err == nil {
					_ = c.SetDeadline(time.Now().Add(3 * time.Second))
					fmt.Fprintf(c, "GET /part/%d HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", n, id)
					m, err := readAnswer(bufio.NewReader(c))
					end = "cut"
					if err == nil {
						end = fmt.Sprint(m.status())
					}
					_ = c.Close()
				}
				fmt.Fprintf(record, "%s %s to %s: %s, runs %d\n", time.Now().Format("15:04:05.000"), id, h.name, end, len(f.book.of(id)))
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		value := make([]byte, valueBytes)
		rand.New(rand.NewSource(1)).Read(value)
		for i := range count {
			f.store.put(fmt.Sprintf("servers/other-%04d", i), value)
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Fprintf(record, "%s another writer has written %d entries of %d bytes that cannot be read\n", time.Now().Format("15:04:05.000"), count, valueBytes)
	}
	time.Sleep(3 * time.Second)
	time.Sleep(35 * time.Second)
	close(stop)
	wg.Wait()
	machines := 0
	for _, h := range f.hosts {
		over := k.over[h.name]
		fmt.Fprintf(record, "%s: ended %d times over memory-mb, %d ends in all, peak %d kB\n", h.name, over, k.ends[h.name], k.peak[h.name])
		if over >= 3 {
			machines++
		}
	}
	fmt.Fprintf(record, "requests ended %v; %d machines whose process ended three times over its memory\n", ends, machines)
	if machines >= 2 {
		return 1
	}
	return 0
}
