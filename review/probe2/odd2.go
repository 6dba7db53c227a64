package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func runOdd2(program string) int {
	f, err := newFleet(program, "catalogue", "catalogue")
	if err != nil {
		return 2
	}
	defer f.close()
	f.putConfig(nil, rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 1500, attempts: 2, priority: 2},
		rule{name: "order", prefix: "/order/", kind: "unsafe", service: "catalogue", timeout: 1500, attempts: 2})
	for i, h := range f.hosts {
		h.inst.behave = func(*message) behaviour { return behaviour{size: 60} }
		_ = f.startInstance(h, fmt.Sprintf("i-%d", i))
		_ = f.startDaemon(h)
	}
	if f.awaitReady(10*time.Second) != nil {
		return 2
	}
	emb := "GET /part/smuggled HTTP/1.1\r\nHost: app.example\r\nRequest-Id: smuggled%d\r\nDeadline-Ms: 1000\r\n\r\n"
	base := "Host: app.example\r\nRequest-Id: odd%d\r\nDeadline-Ms: 1000\r\n"
	cases := []struct{ name, text string }{
		{"utf8 value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A: caf\xc3\xa9\r\n\r\n"},
		{"latin1 value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A: caf\xe9\r\n\r\n"},
		{"tab value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A: a\tb\r\n\r\n"},
		{"empty value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A:\r\n\r\n"},
		{"token name", "GET /part/1 HTTP/1.1\r\n" + base + "X!#$%&'*+-.^_|~1: a\r\n\r\n"},
		{"backtick name", "GET /part/1 HTTP/1.1\r\n" + base + "X`: a\r\n\r\n"},
		{"uri marks", "GET /part/1?a=[b]&c={d}|e^f`g\"h<i>j\\k HTTP/1.1\r\n" + base + "\r\n"},
		{"long query", "GET /part/1?" + strings.Repeat("q", 9000) + " HTTP/1.1\r\n" + base + "\r\n"},
		{"head of 16384", "GET /part/1 HTTP/1.1\r\n" + base + "X: " + strings.Repeat("p", 16384-100) + "\r\n\r\n"},
		{"many fields", "GET /part/1 HTTP/1.1\r\n" + base + strings.Repeat("X-A: b\r\n", 1900) + "\r\n"},
		{"trailer", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{"trailer announced", "POST /order/1 HTTP/1.1\r\n" + base + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{"chunk ext", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0;c\r\n\r\n"},
		{"chunk zeros", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n0003\r\nabc\r\n000\r\n\r\n"},
		{"chunk caps te", "POST /order/1 HTTP/1.1\r\n" + base + "transfer-encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"many 1-byte chunks", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 40000) + "0\r\n\r\n"},
		{"chunk ext long", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 100)+"\r\na\r\n", 400) + "0\r\n\r\n"},
		{"patch", "PATCH /order/1 HTTP/1.1\r\n" + base + "Content-Length: 1\r\n\r\na"},
		{"custom method", "M-SEARCH /part/1 HTTP/1.1\r\n" + base + "\r\n"},
		{"two cookies", "GET /part/1 HTTP/1.1\r\n" + base + "Cookie: a=b\r\nCookie: c=d\r\n\r\n"},
		{"te header", "GET /part/1 HTTP/1.1\r\n" + base + "TE: trailers\r\nConnection: TE, keep-alive\r\n\r\n"},
		{"two types", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Type: a/b\r\nContent-Type: a/b\r\nContent-Length: 0\r\n\r\n"},
		{"no length", "POST /order/1 HTTP/1.1\r\n" + base + "\r\n"},
		{"fraction", "GET /part/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: odd%d\r\nDeadline-Ms: 900.25\r\n\r\n"},
		{"leading crlf", "\r\nGET /part/1 HTTP/1.1\r\n" + base + "\r\n"},
		{"ows", "GET /part/1 HTTP/1.1\r\nHost:app.example\r\nRequest-Id:odd%d  \r\nDeadline-Ms:\t1000 \r\n\r\n"},
	}
	for i, k := range cases {
		n := len(fmt.Sprintf(emb, i))
		text := strings.NewReplacer("{E}", fmt.Sprint(n), "{E5}", fmt.Sprint(n+5), "{x}", fmt.Sprintf("%x", n), "%d", fmt.Sprint(i)).Replace(k.text)
		c, err := net.Dial("tcp4", f.hosts[0].at(portOutbound))
		if err != nil {
			fmt.Println("DOWN", err)
			return 1
		}
		before := len(f.book.runs)
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(600 * time.Millisecond))
		b, _ := io.ReadAll(c)
		_ = c.Close()
		time.Sleep(30 * time.Millisecond)
		f.book.mu.Lock()
		ran := ""
		for _, r := range f.book.runs[before:] {
			ran += r.id + "(" + r.caller + ") "
		}
		f.book.mu.Unlock()
		var firsts []string
		for _, l := range strings.Split(string(b), "\r\n") {
			if strings.HasPrefix(l, "HTTP/") {
				firsts = append(firsts, l)
			}
		}
		fmt.Printf("%-26s ran [%s] got %q\n", k.name, ran, firsts)
	}
	return 0
}
