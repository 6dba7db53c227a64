package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func rss(h *host) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	out := ""
	for _, l := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(l, "VmHWM") || strings.HasPrefix(l, "VmRSS") {
			out += strings.Join(strings.Fields(l), " ") + "  "
		}
	}
	return out
}

// runMem: how = answers|bodies|heads, size, clients
func runMem(program, how string, size, clients int) int {
	f, err := newFleet(program, "catalogue", "catalogue")
	if err != nil {
		return 2
	}
	defer f.close()
	f.putConfig(nil, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 5000, attempts: 2, priority: 2},
		rule{name: "order", prefix: "/order/", kind: "unsafe", service: "catalogue", timeout: 5000, attempts: 2})
	for i, h := range f.hosts {
		h.inst.behave = func(m *message) behaviour {
			b := behaviour{size: 1000, work: 500 * time.Millisecond}
			if how == "answers" {
				b.size = size
			}
			return b
		}
		_ = f.startInstance(h, fmt.Sprintf("i-%d", i))
		_ = f.startDaemon(h)
	}
	if f.awaitReady(10*time.Second) != nil {
		return 2
	}
	var mu sync.Mutex
	ends := map[string]int{}
	var wg sync.WaitGroup
	stop := time.Now().Add(15 * time.Second)
	for n := 0; n < clients; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				h := f.hosts[0]
				c, err := net.Dial("tcp4", h.at(portOutbound))
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(15 * time.Second))
				switch how {
				case "bodies":
					fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %d.%d\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", n, time.Now().UnixNano(), size)
					go func() { _, _ = io.CopyN(c, zero{}, int64(size)) }()
				case "heads":
					pad := strings.Repeat("a", 15000)
					var sb strings.Builder
					for i := 0; i < size; i++ {
						fmt.Fprintf(&sb, "GET /part/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %d%d%d\r\nDeadline-Ms: 6000\r\nX-Pad: %s\r\n\r\n", n, i, time.Now().UnixNano(), pad)
					}
					go func() { _, _ = io.WriteString(c, sb.String()) }()
				default:
					fmt.Fprintf(c, "GET /part/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %d%d\r\nDeadline-Ms: 6000\r\n\r\n", n, time.Now().UnixNano())
				}
				br := bufio.NewReader(slow{c})
				k := 1
				if how == "heads" {
					k = size
				}
				for i := 0; i < k; i++ {
					m, err := readAnswer(br)
					mu.Lock()
					if err != nil {
						ends["error"]++
					} else {
						ends[fmt.Sprint(m.status())]++
					}
					mu.Unlock()
					if err != nil {
						break
					}
				}
				_ = c.Close()
			}
		}()
	}
	for i := 0; i < 8; i++ {
		time.Sleep(2 * time.Second)
		fmt.Println(rss(f.hosts[0]), "|", rss(f.hosts[1]))
	}
	wg.Wait()
	fmt.Println(how, size, clients, ends)
	return 0
}

type zero struct{}

func (zero) Read(b []byte) (int, error) { return len(b), nil }

// slow reads at some 2 MB a second.
type slow struct{ net.Conn }

func (s slow) Read(b []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Conn.Read(b)
}
