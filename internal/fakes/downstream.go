package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// DefaultCallTimeout bounds a downstream call of a request without a deadline.
const DefaultCallTimeout = 10 * clock.Second

// downstream holds the connections of a target to other services, a pool for
// each address.
type downstream struct {
	conns int
	calls atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

func newDownstream(cfg TargetConfig) *downstream {
	return &downstream{
		conns: cfg.Conns,
		hosts: make(map[string]*fasthttp.HostClient),
	}
}

func (d *downstream) host(addr string) *fasthttp.HostClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[addr]; h != nil {
		return h
	}
	h := &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  d.conns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       bodyLimit,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dialLive,
	}
	d.hosts[addr] = h
	return h
}

func (d *downstream) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		h.CloseIdleConnections()
	}
}

// call makes the n-th downstream call of r, with retries.
func (t *Target) call(r *request, path string, n int) (Answer, bool) {
	key := t.childKey(r, n)
	for range 1 + t.cfg.Retries {
		answer, ok := t.callOnce(r, path, key)
		if ok {
			return answer, true
		}
		if r.isEnded(t.cfg.Clock.Now()) {
			break
		}
	}
	return Answer{}, false
}

// childKey derives the key of a downstream call from the key of r. A second run
// of r thus calls with the same keys, which shows as a second run there too.
func (t *Target) childKey(r *request, n int) string {
	if r.key != "" {
		return fmt.Sprintf("%s.%d", r.key, n)
	}
	return fmt.Sprintf("%s-%d", t.cfg.Name, t.downstream.calls.Add(1))
}

// callOnce makes one attempt of a downstream call.
func (t *Target) callOnce(r *request, path, key string) (Answer, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	addr := t.cfg.Route(path)
	timeout := t.cfg.CallTimeout
	if r.deadline > 0 {
		timeout = max(r.deadline-t.cfg.Clock.Now(), 1)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/" + path)
	req.Header.Set(header.IdempotencyKey, key)
	if r.context != "" {
		req.Header.Set(header.Context, r.context)
	}
	t.stats.count(func(c *Counts) { c.Calls++ })
	host := t.downstream.host(addr)
	err := host.DoTimeout(req, resp, timeout.Duration())
	if errors.Is(err, errStale) {
		// Nothing was sent, so this does not count as a retry.
		host.CloseIdleConnections()
		err = host.DoTimeout(req, resp, timeout.Duration())
	}
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return Answer{}, false
	}
	return t.readAnswer(resp.Body(), path, key)
}

// readAnswer decodes body and returns false unless it answers the call of the
// given path and key.
func (t *Target) readAnswer(body []byte, path, key string) (Answer, bool) {
	var answer Answer
	err := json.Unmarshal(body, &answer)
	if err == nil && answer.Path == path && answer.Key == key {
		return answer, true
	}
	t.stats.count(func(c *Counts) { c.Crossed++ })
	return Answer{}, false
}

// isEnded reports whether r was cancelled or its deadline has passed.
func (r *request) isEnded(now clock.Milli) bool {
	select {
	case <-r.cancelled:
		return true
	default:
		return r.deadline > 0 && now >= r.deadline
	}
}
