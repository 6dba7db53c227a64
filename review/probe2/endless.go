package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// endlessInstance answers with bytes without end.
func endlessInstance(addr, how string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				m, err := readHead(br)
				if err != nil || m.readBody(br, false) != nil {
					return
				}
				head := "HTTP/1.1 200 OK\r\nRequest-Id: " + m.get("Request-Id") + "\r\nResponse-Signature: x\r\n"
				chunk := strings.Repeat("y", 65536)
				switch how {
				case "body":
					head += "\r\n"
				case "chunked":
					head += "Transfer-Encoding: chunked\r\n\r\n"
					chunk = fmt.Sprintf("%x\r\n%s\r\n", 65536, chunk)
				case "onechunk":
					head += "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n"
				case "chunkext":
					head += "Transfer-Encoding: chunked\r\n\r\n5;"
				case "tiny":
					head += "Transfer-Encoding: chunked\r\n\r\n"
					chunk = strings.Repeat("1\r\nz\r\n", 10000)
				case "trailer":
					head += "Transfer-Encoding: chunked\r\n\r\n0\r\n"
					chunk = strings.Repeat("X-A: b\r\n", 8000)
				case "head":
					chunk = strings.Repeat("X-A: b\r\n", 8000)
				case "interim":
					head = ""
					chunk = strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2000)
				case "others":
					head = ""
					chunk = strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nhello", 500)
				case "length":
					head += "Content-Length: 60000000\r\n\r\n"
				case "crlf":
					head = ""
					chunk = strings.Repeat("\r\n", 30000)
				}
				if _, err := c.Write([]byte(head)); err != nil {
					return
				}
				for {
					if _, err := c.Write([]byte(chunk)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln, nil
}

func runEndless(program, how string, clients int) int {
	f, err := newFleet(program, "catalogue", "catalogue")
	if err != nil {
		return 2
	}
	defer f.close()
	f.putConfig(nil, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 3000, attempts: 2, priority: 2},
		rule{name: "order", prefix: "/order/", kind: "unsafe", service: "catalogue", timeout: 3000, attempts: 2})
	for i, h := range f.hosts {
		h.id, h.born = fmt.Sprintf("i-%d", i), time.Now().UnixMilli()
		if _, err := endlessInstance(h.at(portApp), how); err != nil {
			return 2
		}
		f.putEntry(h, "ready")
		_ = f.startDaemon(h)
	}
	if f.awaitReady(10*time.Second) != nil {
		return 2
	}
	var mu sync.Mutex
	ends := map[string]int{}
	worst := time.Duration(0)
	var wg sync.WaitGroup
	stop := time.Now().Add(8 * time.Second)
	for n := 0; n < clients; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				c, err := net.Dial("tcp4", f.hosts[n%2].at(portOutbound))
				if err != nil {
					continue
				}
				at := time.Now()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				what := "GET /part/1"
				if n%3 == 0 {
					what = "POST /order/1"
				}
				fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %d%d\r\nDeadline-Ms: 6000\r\n%s\r\n", what, n, time.Now().UnixNano(), map[bool]string{true: "Content-Length: 0\r\n"}[n%3 == 0])
				m, err := readAnswer(bufio.NewReader(c))
				mu.Lock()
				if err != nil {
					ends["error"]++
				} else {
					ends[fmt.Sprint(m.status())]++
				}
				worst = max(worst, time.Since(at))
				mu.Unlock()
				_ = c.Close()
			}
		}()
	}
	wg.Wait()
	fmt.Println(how, clients, ends, worst, rss(f.hosts[0]), "|", rss(f.hosts[1]))
	return 0
}
