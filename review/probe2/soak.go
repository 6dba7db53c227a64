package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sent is a request of a client and what became of it.
type sent struct {
	id, method, uri, what string
	host                  string
	at                    time.Time
	behind                bool
	status                int
	sig                   string
	body                  []byte
	note                  string
	err                   error
	took                  time.Duration
}

type soak struct {
	f       *fleet
	rng     *rand.Rand
	mu      sync.Mutex
	list    []*sent
	ids     map[string]*sent
	faulty  atomic.Bool
	nextID  atomic.Int64
	calls   map[string]string // id of a call: what
	planned bool
	longest time.Duration
}

func (s *soak) id() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), s.nextID.Add(1)) }

func (s *soak) behave(m *message) behaviour {
	b := behaviour{work: time.Duration(rand.Intn(60)) * time.Millisecond, size: 100 + rand.Intn(6000)}
	if rand.Intn(20) == 0 {
		b.work = time.Duration(200+rand.Intn(900)) * time.Millisecond
	}
	if rand.Intn(4) == 0 {
		b.call = !strings.Contains(m.get("Request-Id"), ".")
	}
	switch rand.Intn(12) {
	case 0:
		b.how = "close"
	case 1:
		b.how = "chunked"
	case 2:
		b.how = "interim"
	}
	if !s.planned && rand.Intn(8) == 0 {
		b.idle = time.Duration(rand.Intn(400)) * time.Millisecond
	}
	if rand.Intn(60) == 0 {
		b.status = 500
	}
	if s.faulty.Load() {
		switch rand.Intn(30) {
		case 0, 1:
			b.how = "truncate"
		case 2:
			b.how = "unframed"
		case 3:
			b.how = "resetframed"
		case 4:
			b.how = "extra"
		case 5:
			b.how = "extralate"
		case 6:
			b.how = "lost"
		case 7:
			b.how = "lostreset"
		case 8:
			b.how = "chunkcut"
		case 9:
			b.how = "garbage"
		}
	}
	if rand.Intn(25) == 0 {
		b.reject = true
		b.copied = rand.Intn(3) == 0
		if len(m.get("Content-Length")) > 4 {
			b.how = "early"
		}
	}
	if b.how == "unframed" {
		b.size = 100
	}
	return b
}

func (s *soak) callOut(n *instance, id string) bool {
	var h *host
	for _, o := range s.f.hosts {
		if o.inst == n {
			h = o
		}
	}
	q := &sent{id: id + "." + s.id(), method: "GET", uri: "/bin/" + s.id(), host: h.name, at: time.Now()}
	q.what = digest(q.method, q.uri, nil)
	s.mu.Lock()
	s.ids[q.id] = q
	s.mu.Unlock()
	c, err := net.DialTimeout("tcp4", h.at(portOutbound), time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 700\r\n\r\n", q.uri, q.id)
	at := time.Now()
	m, err := readAnswer(bufio.NewReader(c))
	if err != nil {
		s.mu.Lock()
		q.err, q.took = err, time.Since(at)
		q.note = "call"
		s.list = append(s.list, q)
		s.mu.Unlock()
	}
	return err == nil && m.status() == 200
}

// client sends batches of requests until stop is closed.
func (s *soak) client(seed int64, stop chan struct{}) {
	r := rand.New(rand.NewSource(seed))
	var c net.Conn
	var br *bufio.Reader
	for {
		select {
		case <-stop:
			return
		default:
		}
		time.Sleep(time.Duration(r.Intn(40)) * time.Millisecond)
		h := s.f.hosts[r.Intn(len(s.f.hosts))]
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", h.at(portOutbound), time.Second); err != nil {
				c = nil
				continue
			}
			br = bufio.NewReader(c)
			c = named{c, h.name}
		}
		count := 1
		if r.Intn(4) == 0 {
			count = 1 + r.Intn(5)
		}
		var batch []*sent
		var out bytes.Buffer
		for i := 0; i < count; i++ {
			q := &sent{id: s.id(), host: c.(named).host, behind: i > 0}
			var body []byte
			head := ""
			switch {
			case count > 1 || r.Intn(2) == 0:
				q.method, q.uri = "GET", fmt.Sprintf("/part/%d?q=%d", r.Intn(1000), r.Intn(99))
				if count > 1 && i == count-1 && r.Intn(3) == 0 {
					q.method, q.uri = "POST", "/order/behind"
				}
			case r.Intn(3) == 0:
				q.method, q.uri = "POST", fmt.Sprintf("/upld/%d", r.Intn(1000))
			default:
				q.method, q.uri = "POST", fmt.Sprintf("/order/%d", r.Intn(1000))
			}
			if q.method == "POST" {
				size := r.Intn(2000)
				if q.uri[1] == 'u' || r.Intn(10) == 0 {
					size = 20000 + r.Intn(200000)
				}
				body = bytes.Repeat([]byte(q.id), size/16+1)[:size]
			}
			if len(body) > 0 && r.Intn(2) == 0 {
				var cb bytes.Buffer
				for rest := body; len(rest) > 0; {
					n := min(len(rest), 1+r.Intn(30000))
					fmt.Fprintf(&cb, "%x\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				cb.WriteString("0\r\n\r\n")
				head = "Transfer-Encoding: chunked\r\n\r\n" + cb.String()
			} else if q.method == "POST" {
				head = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			} else {
				head = "\r\n"
			}
			q.what = digest(q.method, q.uri, body)
			fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", q.method, q.uri, q.id, 1000+r.Intn(2000), head)
			batch = append(batch, q)
		}
		now := time.Now()
		s.mu.Lock()
		for _, q := range batch {
			q.at = now
			s.ids[q.id] = q
			s.list = append(s.list, q)
		}
		s.mu.Unlock()
		leave := !s.planned && r.Intn(25) == 0
		_ = c.SetDeadline(now.Add(6 * time.Second))
		wrote := make(chan struct{})
		go func(c net.Conn) { _, _ = c.Write(out.Bytes()); close(wrote) }(c)
		if leave {
			time.Sleep(time.Duration(r.Intn(100)) * time.Millisecond)
			_ = c.Close()
			c = nil
			for _, q := range batch {
				q.note, q.err = "client left", errors.New("left")
			}
			<-wrote
			continue
		}
		closed := false
		for _, q := range batch {
			if closed {
				q.err, q.note = errNoAnswer, "behind an answer that closes"
				continue
			}
			m, err := readAnswer(br)
			q.took = time.Since(now)
			if err != nil {
				q.err = err
				closed = true
				if m != nil {
					q.note = "an answer that ends early"
				}
				continue
			}
			q.status, q.sig, q.body = m.status(), m.get("Response-Signature"), m.body
			if got := m.get("Request-Id"); got != q.id {
				q.note = "FOREIGN " + got
			}
			if m.unframed {
				q.note = "UNFRAMED"
			}
			closed = m.closes()
		}
		if closed || r.Intn(8) == 0 {
			_ = c.Close()
			<-wrote
			c = nil
		}
	}
}

type named struct {
	net.Conn
	host string
}

func (s *soak) rules(moved bool) []rule {
	part := rule{name: "part", prefix: "/part/", kind: "safe", service: "catalogue", timeout: 900, attempts: 2, priority: 2}
	if moved {
		part.service = ""
		part.weights = map[string]int{"catalogue": 50, "ordering": 50}
	}
	return []rule{part,
		{name: "order", prefix: "/order/", kind: "unsafe", service: "ordering", timeout: 1500, attempts: 2},
		{name: "upld", prefix: "/upld/", kind: "upload", service: "stores", timeout: 1500, attempts: 2, priority: 1},
		{name: "bin", prefix: "/bin/", kind: "safe", service: "stores", timeout: 600, attempts: 2, priority: 2},
	}
}

func (s *soak) disturb(r *rand.Rand) {
	i := r.Intn(len(s.f.hosts))
	h := s.f.hosts[i]
	pause := time.Duration(r.Intn(1200)) * time.Millisecond
	kind := r.Intn(14)
	if s.planned {
		kind = []int{2, 2, 2, 3, 4, 7, 10}[r.Intn(7)]
	}
	switch kind {
	case 0:
		h.signal(syscall.SIGKILL)
		h.ended(5 * time.Second)
		_ = s.f.startDaemon(h)
	case 1:
		h.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		h.signal(syscall.SIGCONT)
	case 2:
		h.signal(syscall.SIGTERM)
		began := time.Now()
		defer func() {
			if d := time.Since(began); d > s.longest {
				s.longest = d
			}
		}()
		if !h.ended(8 * time.Second) {
			fmt.Println("HANG: a stop lasted more than 8 s:", h.name)
			h.signal(syscall.SIGKILL)
			h.ended(5 * time.Second)
		}
		_ = s.f.startDaemon(h)
	case 3:
		h.signal(syscall.SIGHUP)
	case 4:
		s.f.putConfig(nil, s.rules(r.Intn(2) == 0)...)
	case 5, 6:
		s.faulty.Store(true)
		time.Sleep(pause + time.Second)
		s.faulty.Store(false)
	case 7:
		s.f.store.setMode([]string{"busy", "silent"}[r.Intn(2)])
		time.Sleep(pause)
		s.f.store.setMode("")
	case 8, 9:
		// The instance crashes and starts again, under the same id or a new one.
		h.inst.crash()
		time.Sleep(pause / 4)
		id := h.id
		if r.Intn(2) == 0 {
			s.f.store.remove("servers/" + h.id)
			id = fmt.Sprintf("i-%08x", rand.Uint32())
		}
		for try := 0; try < 50; try++ {
			if err := s.f.startInstance(h, id); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	case 10:
		s.f.putEntry(h, "draining")
		time.Sleep(pause)
		s.f.putEntry(h, "ready")
	case 12, 13:
		// The address goes to an instance of another service, beside a frozen daemon.
		frozen := s.f.hosts[(i+2)%len(s.f.hosts)]
		if kind == 13 {
			frozen.signal(syscall.SIGSTOP)
		}
		h.inst.crash()
		old := h.id
		time.Sleep(2 * time.Second)
		if r.Intn(2) == 0 {
			s.f.store.remove("servers/" + old)
		}
		was := h.service
		h.service = []string{"catalogue", "ordering", "stores"}[r.Intn(3)]
		h.inst.service = h.service
		_ = s.f.startInstance(h, fmt.Sprintf("i-%08x", rand.Uint32()))
		time.Sleep(2500 * time.Millisecond)
		s.f.store.remove("servers/" + old)
		frozen.signal(syscall.SIGCONT)
		time.Sleep(2 * time.Second)
		h.inst.crash()
		s.f.store.remove("servers/" + h.id)
		h.service = was
		h.inst.service = was
		time.Sleep(100 * time.Millisecond)
		_ = s.f.startInstance(h, fmt.Sprintf("i-%08x", rand.Uint32()))
	case 11:
		// Two at once.
		o := s.f.hosts[(i+1)%len(s.f.hosts)]
		h.signal(syscall.SIGKILL)
		o.signal(syscall.SIGSTOP)
		time.Sleep(pause / 2)
		h.ended(5 * time.Second)
		_ = s.f.startDaemon(h)
		o.signal(syscall.SIGCONT)
	}
}

func (s *soak) check() (broken []string) {
	add := func(format string, a ...any) { broken = append(broken, fmt.Sprintf(format, a...)) }
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.f.book.runs {
		q := s.ids[r.id]
		if q == nil {
			add("UNASKED %s ran at %s, no client sent it", r.id, r.instance)
			continue
		}
		if r.what != q.what {
			add("UNASKED %s ran changed (%s, sent %s %s)", r.id, r.what, q.method, q.uri)
		}
		from := ""
		for _, h := range s.f.hosts {
			if h.name == q.host {
				from = h.service
			}
		}
		if r.caller != from {
			add("UNASKED %s ran with Caller-Service %q, want %q", r.id, r.caller, from)
		}
		allowed := map[string][]string{"/part": {"catalogue", "ordering"}, "/orde": {"ordering"}, "/bin/": {"stores"}, "/upld": {"stores"}}[q.uri[:5]]
		if !strings.Contains(strings.Join(allowed, " "), r.service) {
			add("ROUTE %s %s ran at %s", r.id, q.uri, r.service)
		}
	}
	for _, q := range s.list {
		runs := s.f.book.of(q.id)
		if q.method == "POST" {
			if len(runs) > 1 {
				add("TWICE %s ran %d times: %+v", q.id, len(runs), runs)
			}
			if len(runs) > 0 && (q.status == 429 || q.status == 503 || q.status == 408 || q.status == 421) {
				add("REFUSED %s got %d and ran: %+v", q.id, q.status, runs)
			}
		}
		if q.method == "GET" && len(runs) > 2 {
			add("BUDGET %s ran %d times: %+v", q.id, len(runs), runs)
		}
		if strings.HasPrefix(q.note, "FOREIGN") || strings.HasPrefix(q.note, "UNFRAMED") {
			add("MIXED %s: %s", q.id, q.note)
		}
		if q.err == nil && q.sig != "" {
			ok := false
			for _, r := range runs {
				if strings.HasPrefix(q.sig, r.instance+".") && r.status == q.status {
					ok = true
				}
			}
			if !ok {
				add("MIXED %s got %d signed %s, runs %+v", q.id, q.status, q.sig, runs)
			}
			if !bytes.HasPrefix(q.body, []byte("answer of "+strings.SplitN(q.sig, ".", 2)[0]+" to "+q.id+" ")) || len(q.body) < 100 {
				add("MIXED %s got another body: %.60q", q.id, q.body)
			}
		}
		if q.err == nil && q.status/100 == 2 && q.sig == "" {
			add("MIXED %s got %d without a signature", q.id, q.status)
		}
		if q.err == nil && (q.status/100 == 4 && q.status != 408 && q.status != 421 && q.status != 429 || q.status/100 == 3) && q.sig == "" {
			add("DENIED %s got %d: %.80q", q.id, q.status, q.body)
		}
		if s.planned && q.err != nil && (len(runs) > 0 || q.took > 200*time.Millisecond) && !q.behind {
			add("LOST %s %s to %s sent %s: %v %s after %v, runs %+v", q.id, q.method, q.host, q.at.Format("05.000"), q.err, q.note, q.took, runs)
		}
		if s.planned && q.err != nil && len(runs) > 0 && q.behind {
			add("LOSTBEHIND %s %s to %s sent %s: %v %s after %v, runs %+v", q.id, q.method, q.host, q.at.Format("05.000"), q.err, q.note, q.took, runs)
		}
		if q.note == "an answer that ends early" && s.planned {
			add("MIXED early end %s", q.id)
		}
	}
	return broken
}

func runSoak(program string, seed int64, length time.Duration, planned bool) int {
	f, err := newFleet(program, "catalogue", "ordering", "stores", "catalogue", "ordering", "stores")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	clients := 40
	if n := os.Getenv("SLOTS"); n != "" {
		clients = 120
		for _, h := range f.hosts {
			fmt.Sscan(n, &h.slots)
		}
	}
	s := &soak{f: f, ids: map[string]*sent{}, planned: planned}
	f.putConfig(nil, s.rules(false)...)
	for i, h := range f.hosts {
		h.inst.behave, h.inst.callOut = s.behave, s.callOut
		if err := f.startInstance(h, fmt.Sprintf("i-%d", i)); err != nil {
			fmt.Println(err)
			return 2
		}
		if err := f.startDaemon(h); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := 0; n < clients; n++ {
		wg.Add(1)
		go func() { defer wg.Done(); s.client(seed*1000+int64(n), stop) }()
	}
	r := rand.New(rand.NewSource(seed))
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(100+r.Intn(500)) * time.Millisecond)
		s.disturb(r)
	}
	close(stop)
	wg.Wait()
	time.Sleep(3 * time.Second)
	if os.Getenv("LEAKS") != "" {
		time.Sleep(12 * time.Second)
		for _, h := range f.hosts {
			fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
			fmt.Println(h.name, "fds", len(fds), rss(h))
			c := http.Client{Timeout: time.Second}
			if r, err := c.Get("http://" + h.ip + ":7690/metrics"); err == nil {
				text, _ := io.ReadAll(r.Body)
				for _, l := range strings.Split(string(text), "\n") {
					if !strings.HasPrefix(l, "#") && (strings.Contains(l, "memory") || strings.Contains(l, "running") || strings.Contains(l, "queued") || strings.Contains(l, "goroutines") || strings.Contains(l, "panics")) {
						fmt.Println("    ", l)
					}
				}
			}
		}
	}
	broken := s.check()
	kinds := map[string]int{}
	for _, b := range broken {
		kinds[strings.SplitN(b, " ", 2)[0]]++
	}
	ends := map[string]int{}
	for _, q := range s.list {
		if q.err != nil {
			ends["error"]++
		} else {
			ends[fmt.Sprint(q.status)]++
		}
	}
	fmt.Println("longest stop", s.longest)
	fmt.Printf("seed %d: %d requests, ends %v, %d runs, broken %v\n", seed, len(s.list), ends, len(f.book.runs), kinds)
	for i, b := range broken {
		if i < 12 {
			fmt.Println("  ", b)
		}
	}
	for _, h := range f.hosts {
		text, _ := os.ReadFile(f.dir + "/" + h.name + ".log")
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "panic") || strings.Contains(line, "goroutine ") || strings.Contains(line, "fatal") {
				fmt.Println("   LOG", h.name, line[:min(len(line), 400)])
			}
		}
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
