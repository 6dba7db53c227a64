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

// DefaultCallTimeout bounds a deeper call of a request without a deadline.
const DefaultCallTimeout = 10 * clock.Second

// deeper makes the calls of a target to other services, each with a connection
// of its own out of a pool for each address.
type deeper struct {
	conns int
	calls atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

func newDeeper(cfg TargetConfig) *deeper {
	return &deeper{
		conns: cfg.Conns,
		hosts: make(map[string]*fasthttp.HostClient),
	}
}

func (d *deeper) host(addr string) *fasthttp.HostClient {
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

func (d *deeper) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		h.CloseIdleConnections()
	}
}

// call makes the n-th deeper call of x, with its repeats.
func (t *Target) call(x *work, path string, n int) (Answer, bool) {
	key := t.childKey(x, n)
	for range 1 + t.cfg.Retries {
		answer, ok := t.callOnce(x, path, key)
		if ok {
			return answer, true
		}
		if x.isOver(t.cfg.Clock.Now()) {
			break
		}
	}
	return Answer{}, false
}

// childKey derives the key of a deeper call from that of its parent, so that a
// second run of the parent would repeat the child and be seen there.
func (t *Target) childKey(x *work, n int) string {
	if x.key != "" {
		return fmt.Sprintf("%s.%d", x.key, n)
	}
	return fmt.Sprintf("%s-%d", t.cfg.Name, t.deeper.calls.Add(1))
}

func (t *Target) callOnce(x *work, path, key string) (Answer, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	addr := t.cfg.Route(path)
	timeout := t.cfg.CallTimeout
	if x.deadline > 0 {
		timeout = max(x.deadline-t.cfg.Clock.Now(), 1)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/" + path)
	req.Header.Set(header.IdempotencyKey, key)
	if x.context != "" {
		req.Header.Set(header.Context, x.context)
	}
	t.ledger.count(func(c *Counts) { c.Calls++ })
	host := t.deeper.host(addr)
	err := host.DoTimeout(req, resp, timeout.Duration())
	if errors.Is(err, errStale) {
		// Nothing was sent, so this is no repeat.
		host.CloseIdleConnections()
		err = host.DoTimeout(req, resp, timeout.Duration())
	}
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return Answer{}, false
	}
	return t.readAnswer(resp.Body(), path, key)
}

// readAnswer checks that body answers the call made with path and key.
func (t *Target) readAnswer(body []byte, path, key string) (Answer, bool) {
	var answer Answer
	err := json.Unmarshal(body, &answer)
	if err == nil && answer.Path == path && answer.Key == key {
		return answer, true
	}
	t.ledger.count(func(c *Counts) { c.Crossed++ })
	return Answer{}, false
}

// isOver reports whether x was cancelled or has no time left.
func (x *work) isOver(now clock.Milli) bool {
	select {
	case <-x.cancel:
		return true
	default:
		return x.deadline > 0 && now >= x.deadline
	}
}
