package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is a machine with a daemon and an instance.
type host struct {
	name, ip, zone, service string
	inst                    *instance
	id                      string
	born                    int64
	grace                   float64
	slots                   int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (h *host) at(port int) string { return net.JoinHostPort(h.ip, fmt.Sprint(port)) }

const (
	portOutbound = 18404
	portInbound  = 18400
	portReady    = 18402
	portApp      = 18401
	portStore    = 18409
)

// fleet is a small deployment.
type fleet struct {
	dir, program string
	store        *store
	hosts        []*host
	book         *book
	version      int
	extra        map[string]any // more settings
	maxHeader    int
}

var zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"}

func freeNet() (string, error) {
	for i := 0; i < 200; i++ {
		n := fmt.Sprintf("127.%d.%d", 130+os.Getpid()%100, (i+os.Getpid()/100)%250+1)
		ln, err := net.Listen("tcp4", n+".250:18409")
		if err == nil {
			_ = ln.Close()
			return n, nil
		}
	}
	return "", fmt.Errorf("no free network")
}

func newFleet(program string, services ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "probe2-")
	if err != nil {
		return nil, err
	}
	n, err := freeNet()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, book: &book{by: map[string][]int{}}, version: 2, maxHeader: 16384}
	if f.store, err = newStore(n + ".250:" + fmt.Sprint(portStore)); err != nil {
		return nil, err
	}
	zoneNames := []string{"z1", "z2", "z3", "z4"}
	for i, s := range services {
		h := &host{name: fmt.Sprintf("side-%d", i), ip: fmt.Sprintf("%s.%d", n, i+1), zone: zoneNames[i%4], service: s, grace: 6, slots: 64}
		h.inst = &instance{service: s, addr: h.at(portApp), book: f.book}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// startInstance starts the instance of h under an id and writes its entry.
func (f *fleet) startInstance(h *host, id string) error {
	h.id, h.born = id, time.Now().UnixMilli()
	if err := h.inst.start(id); err != nil {
		return err
	}
	f.putEntry(h, "ready")
	return nil
}

func (f *fleet) putEntry(h *host, state string) int64 {
	v, _ := json.Marshal(map[string]any{
		"address": h.at(portApp),
		"born":    h.born,
		"info":    map[string]any{"service": h.service, "zone": h.zone, "version": "v1", "slots": h.slots},
		"status":  map[string]any{"state": state, "sequence": time.Now().UnixMilli(), "cold-remaining-ms": 0},
	})
	return f.store.put("servers/"+h.id, v)
}

// settings renders what deploy/settings.json makes of the platform's settings.
func (f *fleet) settings(h *host) map[string]any {
	s := map[string]any{
		"name": h.name, "address": h.ip, "centre": h.zone, "region": zones[h.zone], "centres": zones,
		"service": h.service, "target": h.at(portApp), "outbound": h.at(portOutbound), "inbound": h.at(portInbound),
		"ready": h.at(portReady), "metrics": 7690, "store": f.store.addr, "memory": 284, "change": 2500, "stable": 3000,
		"report": 1500, "drain": 2500, "grace": h.grace, "ratio": 0.2, "window": 10, "slack": 49,
	}
	for k, v := range f.extra {
		s[k] = v
	}
	return s
}

func (f *fleet) writeSettings(h *host) (string, error) {
	body, _ := json.Marshal(f.settings(h))
	file := filepath.Join(f.dir, h.name+".json")
	return file, os.WriteFile(file, body, 0o600)
}

func (f *fleet) startDaemon(h *host) error {
	file, err := f.writeSettings(h)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.program, "side")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINSWITCH_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

// ended waits for the end of the daemon and reports whether it came in time.
func (h *host) ended(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.at(portReady) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		if h.cmd != nil {
			h.ended(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// rule is one route.
type rule struct {
	name, prefix, kind, service string
	weights                     map[string]int
	timeout, attempts, priority int
	public                      bool
}

func (f *fleet) putConfig(tenants any, rules ...rule) int64 {
	f.version++
	list := []any{}
	seen := map[string]bool{}
	clusters := []any{}
	for _, h := range f.hosts {
		if !seen[h.service] {
			seen[h.service] = true
			clusters = append(clusters, map[string]any{"name": h.service, "health-path": "/health", "max-connections": 484, "protocol": "h1", "tls": false})
		}
	}
	for _, r := range rules {
		action := map[string]any{"timeout-ms": r.timeout, "max-attempts": r.attempts}
		if r.service != "" {
			action["service"] = r.service
		} else {
			parts := []any{}
			for s, w := range r.weights {
				parts = append(parts, map[string]any{"service": s, "weight": w})
			}
			action["weighted-services"] = parts
		}
		list = append(list, map[string]any{"name": r.name, "kind": r.kind, "target-latency-ms": 1000, "priority": r.priority, "public": r.public,
			"match": map[string]any{"prefix": r.prefix}, "action": action})
	}
	c := map[string]any{
		"version":   fmt.Sprintf("r%d", f.version),
		"limits":    map[string]any{"max-header-bytes": f.maxHeader, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"listeners": []any{map[string]any{"host": "app.example", "rules": list}},
		"clusters":  clusters,
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	v, _ := json.Marshal(c)
	return f.store.put("op/config", v)
}
