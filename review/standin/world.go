package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all hosts.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portStore    = 8309
	portMetrics  = 7690
)

// host is a machine: an address, a daemon and an instance.
type host struct {
	name, ip, zone, region string
	service                string
	inst                   *instance
	// storeAddr is where the daemon reads the store.
	storeAddr string
	settings  string
	cmd       *exec.Cmd
	log       *os.File
	exited    chan struct{}
	// misses counts the readiness checks in a row that were missed.
	misses atomic.Int32
}

// world is a small deployment on loopback addresses.
type world struct {
	dir    string
	net    string
	store  *store
	hosts  []*host
	record *os.File
	began  time.Time
	mu     sync.Mutex
	// set replaces fields of the settings.
	set map[string]any
}

var zones = []struct{ zone, region string }{{"brest", "finistere"}, {"rennes", "ille"}, {"quimper", "finistere"}, {"vitre", "ille"}}

// newWorld starts a store. Hosts are added with addHost.
func newWorld(dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: tmp, record: record, began: time.Now()}
	for i := range 60 {
		w.net = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i*7)%200, 1+(os.Getpid()/200+i)%200)
		s, err := newStore(net.JoinHostPort(w.net+".200", strconv.Itoa(portStore)))
		if err == nil {
			w.store = s
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

// say writes a line to record.txt.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// addHost adds a machine in the zones' turn, with an instance of service.
func (w *world) addHost(service string, slots int) (*host, error) {
	i := len(w.hosts)
	z := zones[i%len(zones)]
	h := &host{
		name: fmt.Sprintf("sidecar-%s-%d", z.zone, i/len(zones)+1), zone: z.zone, region: z.region,
		ip: fmt.Sprintf("%s.%d", w.net, i+1), service: service, storeAddr: w.store.addr,
	}
	h.inst = &instance{
		id: fmt.Sprintf("i-%04x%04x", os.Getpid()&0xffff, i+1), service: service, addr: net.JoinHostPort(h.ip, strconv.Itoa(portApp)),
		slots: slots, answer: 5000, work: func(string) time.Duration { return 30 * time.Millisecond },
	}
	w.hosts = append(w.hosts, h)
	return h, startInstance(h.inst)
}

// register writes the entry of an instance.
func (w *world) register(n *instance, zone, state string, seq int, born int64) {
	w.store.put("servers/"+n.id, map[string]any{
		"address": n.addr, "born": born,
		"info":   map[string]any{"service": n.service, "version": "v1", "zone": zone, "slots": n.slots},
		"status": map[string]any{"state": state, "sequence": seq, "cold-remaining-ms": 0},
	})
}

// rule is one route.
type rule struct {
	host, prefix, kind, service string
	timeout, attempts, priority int
}

// putConfig writes a configuration.
func (w *world) putConfig(version int, rules []rule, conns map[string]int) {
	w.putConfigIdle(version, rules, conns, 15000)
}

func (w *world) putConfigIdle(version int, rules []rule, conns map[string]int, idle int) {
	byHost := make(map[string][]any)
	var names []string
	for i, r := range rules {
		if byHost[r.host] == nil {
			names = append(names, r.host)
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target-latency-ms": 1500, "priority": r.priority,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-ms": r.timeout, "max-attempts": max(r.attempts, 1)},
		})
	}
	listeners, clusters := []any{}, []any{}
	for _, n := range names {
		listeners = append(listeners, map[string]any{"host": n, "rules": byHost[n]})
	}
	for n, c := range conns {
		clusters = append(clusters, map[string]any{"name": n, "health-path": "/health", "max-connections": c, "protocol": "h1", "tls": false})
	}
	w.store.put("op/config", map[string]any{
		"version": "r" + strconv.Itoa(version),
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864,
			"header-timeout-ms": 3000, "idle-timeout-ms": idle},
		"listeners": listeners, "clusters": clusters,
	})
}

// writeSettings writes the settings file of h: what deploy/settings.json makes of
// DEPLOY.md's example, with the fields of w.set replaced.
func (w *world) writeSettings(h *host) error {
	at := func(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }
	centres := make(map[string]string)
	for _, z := range zones {
		centres[z.zone] = z.region
	}
	set := map[string]any{
		"name": h.name, "address": h.ip, "centre": h.zone, "region": h.region, "centres": centres,
		"service": h.service, "target": at(portApp), "outbound": at(portOutbound), "inbound": at(portInbound),
		"ready": at(portReady), "metrics": portMetrics, "store": h.storeAddr, "memory": 284, "change": 2500,
		"report": 1500, "drain": 2500, "grace": 6, "ratio": 0.2, "window": 10, "slack": 49,
	}
	for k, v := range w.set {
		set[k] = v
	}
	b, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	h.settings = filepath.Join(w.dir, h.name+".json")
	// The file is replaced at once, so that no reader sees a part of it.
	if err := os.WriteFile(h.settings+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".new", h.settings)
}

// startDaemon starts the daemon of h with the command of the deploy file.
func (w *world) startDaemon(h *host) error {
	if err := w.writeSettings(h); err != nil {
		return err
	}
	var err error
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/siskind", "side")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINSWITCH_CONFIG=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	exited := make(chan struct{})
	h.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// start starts all daemons and waits until they are ready.
func (w *world) start() error {
	for _, h := range w.hosts {
		if err := w.startDaemon(h); err != nil {
			return err
		}
	}
	return w.awaitReady(10 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range w.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + net.JoinHostPort(h.ip, strconv.Itoa(portReady)) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) outbound() string { return net.JoinHostPort(h.ip, strconv.Itoa(portOutbound)) }

// close ends all daemons and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Close()
}

func (w *world) instances() []*instance {
	var all []*instance
	for _, h := range w.hosts {
		all = append(all, h.inst)
	}
	return all
}
