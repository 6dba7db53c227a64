package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func runOdd(program string) int {
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
		{"get with length", "GET /part/1 HTTP/1.1\r\n" + base + "Content-Length: {E}\r\n\r\n" + emb},
		{"get chunked", "GET /part/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n{x}\r\n" + emb + "\r\n0\r\n\r\n"},
		{"cl+te", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Length: {E5}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + emb},
		{"te+cl", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\nContent-Length: {E5}\r\n\r\n0\r\n\r\n" + emb},
		{"te identity+cl", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: identity\r\nContent-Length: {E}\r\n\r\n" + emb},
		{"te xchunked", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: xchunked\r\nContent-Length: {E}\r\n\r\n" + emb},
		{"te gzip, chunked", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + emb},
		{"te chunked identity twice", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + emb},
		{"te tab", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding:\tchunked\r\nContent-Length: {E5}\r\n\r\n0\r\n\r\n" + emb},
		{"te name folded", "POST /order/1 HTTP/1.1\r\n" + base + "X: y\r\n Transfer-Encoding: chunked\r\nContent-Length: {E}\r\n\r\n" + emb},
		{"cl twice", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Length: 0\r\nContent-Length: {E}\r\n\r\n" + emb},
		{"cl plus", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Length: +{E}\r\n\r\n" + emb},
		{"cl list", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Length: 0, {E}\r\n\r\n" + emb},
		{"cl spaces", "POST /order/1 HTTP/1.1\r\n" + base + "Content-Length : {E}\r\n\r\n" + emb},
		{"cl underscore", "POST /order/1 HTTP/1.1\r\n" + base + "Content_Length: {E}\r\n\r\n" + emb},
		{"chunk 0x", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n0x{x}\r\n" + emb + "\r\n0\r\n\r\n"},
		{"chunk lf", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n{x}\n" + emb + "\n0\n\n"},
		{"chunk ext crlf", "POST /order/1 HTTP/1.1\r\n" + base + "Transfer-Encoding: chunked\r\n\r\n{x};a=\"\n\"\r\n" + emb + "\r\n0\r\n\r\n"},
		{"trailer id", "POST /order/1 HTTP/1.1\r\n" + base + "Trailer: Request-Id\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\n"},
		{"bare cr in value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A: b\rTransfer-Encoding: chunked\r\n\r\n"},
		{"nul in value", "GET /part/1 HTTP/1.1\r\n" + base + "X-A: b\x00c\r\n\r\n"},
		{"space in path", "GET /part/1 2 HTTP/1.1\r\n" + base + "\r\n"},
		{"path with cr", "GET /part/1\r2 HTTP/1.1\r\n" + base + "\r\n"},
		{"path utf8", "GET /part/\xc3\xa9%20a?x=%zz#f HTTP/1.1\r\n" + base + "\r\n"},
		{"path dots", "GET /part/../order/1//x/./y HTTP/1.1\r\n" + base + "\r\n"},
		{"abs uri", "GET http://app.example/part/1 HTTP/1.1\r\n" + base + "\r\n"},
		{"lf only", "GET /part/1 HTTP/1.1\n" + strings.ReplaceAll(base, "\r", "") + "\n"},
		{"no version", "GET /part/1\r\n" + base + "\r\n"},
		{"http 1.0", "GET /part/1 HTTP/1.0\r\n" + base + "\r\n"},
		{"http 2.0", "GET /part/1 HTTP/2.0\r\n" + base + "\r\n"},
		{"two ids", "GET /part/1 HTTP/1.1\r\n" + base + "Request-Id: second%d\r\n\r\n"},
		{"lower id", "GET /part/1 HTTP/1.1\r\nhost: app.example\r\nrequest-id: odd%d\r\ndeadline-ms: 1000\r\n\r\n"},
		{"connection id", "GET /part/1 HTTP/1.1\r\n" + base + "Connection: Request-Id, Deadline-Ms\r\n\r\n"},
		{"connection caller", "GET /part/1 HTTP/1.1\r\n" + base + "Connection: Caller-Service, Expected-Instance\r\nCaller-Service: x\r\n\r\n"},
		{"own headers", "POST /order/1 HTTP/1.1\r\n" + base + "Siskin-Hop: a\r\nSiskin-Word: b\r\nSiskin-Quota: c\r\nSiskin-Seen: 99999999999\r\nExpected-Instance: i-9\r\nCaller-Service: zz\r\nContent-Length: 0\r\n\r\n"},
		{"expect", "POST /order/1 HTTP/1.1\r\n" + base + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"},
		{"head", "HEAD /part/1 HTTP/1.1\r\n" + base + "\r\n"},
		{"options", "OPTIONS * HTTP/1.1\r\n" + base + "\r\n"},
		{"connect", "CONNECT app.example:80 HTTP/1.1\r\n" + base + "\r\n"},
		{"upgrade", "GET /part/1 HTTP/1.1\r\n" + base + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"},
		{"delete body", "DELETE /order/1 HTTP/1.1\r\n" + base + "Content-Length: 3\r\n\r\nabc"},
		{"crlf between", "GET /part/1 HTTP/1.1\r\n" + base + "\r\n\r\n\r\nGET /part/2 HTTP/1.1\r\n" + base + "\r\n"},
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
