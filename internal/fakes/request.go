package fakes

import (
	"encoding/json"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/trans/sock"
	"siskinswitch.example/siskin/pkg/clock"
	"siskinswitch.example/siskin/pkg/header"
)

// statusClientClosed answers work that was cancelled.
const statusClientClosed = 499

// Answer is the body of a target's answer. Key and Path repeat the request,
// so that an answer that reached another request can be told.
type Answer struct {
	Target string `json:"target"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// Size is the length of the request's body.
	Size int `json:"size"`
	// Calls holds the answers of the deeper calls.
	Calls []Answer `json:"calls,omitempty"`
}

// work is one request at a target, from its arrival to its answer.
type work struct {
	path     string
	key      string
	attempt  string
	context  string
	deadline clock.Milli // Zero without one.
	size     int
	op       Operation
	ctx      *fasthttp.RequestCtx
	cancel   chan struct{}
	once     sync.Once
}

func (x *work) stop() { x.once.Do(func() { close(x.cancel) }) }

// end says why a wait ended.
type end uint8

const (
	reached end = iota
	cancelled
	expired
)

func (t *Target) serveWork(ctx *fasthttp.RequestCtx, path string) {
	op, ok := t.cfg.Operations[path]
	if !ok {
		ctx.Error("no such operation", fasthttp.StatusNotFound)
		return
	}
	t.ledger.count(func(c *Counts) { c.Arrivals++ })
	x := t.newWork(ctx, path, op)
	service, faults := t.draw(op)
	switch {
	case faults.Fault == Silent:
		t.fall(ctx)
		return
	case faults.Fault == Refuse:
		t.refuse(x, fasthttp.StatusServiceUnavailable, "refused")
		return
	case t.draining.Load():
		t.refuse(x, fasthttp.StatusServiceUnavailable, "draining")
		return
	}
	t.register(x)
	defer t.forget(x)
	t.queue(x, service, faults)
}

func (t *Target) newWork(ctx *fasthttp.RequestCtx, path string, op Operation) *work {
	x := &work{
		path:    path,
		key:     string(ctx.Request.Header.Peek(header.IdempotencyKey)),
		attempt: string(ctx.Request.Header.Peek(header.Attempt)),
		context: string(ctx.Request.Header.Peek(header.Context)),
		size:    len(ctx.PostBody()),
		op:      op,
		ctx:     ctx,
		cancel:  make(chan struct{}),
	}
	left, err := strconv.ParseInt(string(ctx.Request.Header.Peek(header.Deadline)), 10, 64)
	if err == nil && !t.cfg.IgnoreDeadline {
		x.deadline = t.cfg.Clock.Now() + clock.Milli(max(left, 1))
	}
	return x
}

// queue waits for a slot, runs x and answers.
func (t *Target) queue(x *work, service clock.Milli, faults Faults) {
	held, ok := t.slots.enter()
	if !ok {
		t.refuse(x, fasthttp.StatusServiceUnavailable, "queue full")
		return
	}
	defer t.slots.leave(held)
	switch t.await(x, held, 0) {
	case cancelled:
		t.refuse(x, statusClientClosed, "cancelled")
		return
	case expired:
		t.refuse(x, fasthttp.StatusGatewayTimeout, "deadline passed")
		return
	}
	t.running.Add(1)
	answer, status := t.run(x, service)
	t.running.Add(-1)
	t.reply(x, answer, status, faults)
}

// run does the work of x: half of it, the deeper calls, the other half.
func (t *Target) run(x *work, service clock.Milli) (Answer, int) {
	t.started(x)
	answer := Answer{
		Target: t.cfg.Name,
		Path:   x.path,
		Key:    x.key,
		Size:   x.size,
	}
	if t.await(x, nil, service/2) != reached {
		return answer, t.giveUp()
	}
	for i, path := range x.op.Calls {
		child, ok := t.call(x, path, i)
		if !ok {
			t.ledger.count(func(c *Counts) { c.Failed++ })
			return answer, fasthttp.StatusBadGateway
		}
		answer.Calls = append(answer.Calls, child)
	}
	if t.await(x, nil, service-service/2) != reached {
		return answer, t.giveUp()
	}
	t.completed(x)
	return answer, fasthttp.StatusOK
}

func (t *Target) started(x *work) {
	if x.op.AtMostOnce {
		t.ledger.run(x.runKey(), func(r *Run) { r.Started++ })
	}
}

func (t *Target) completed(x *work) {
	t.ledger.count(func(c *Counts) { c.Completed++ })
	if x.op.AtMostOnce {
		t.ledger.run(x.runKey(), func(r *Run) { r.Completed++ })
	}
}

func (x *work) runKey() runKey {
	return runKey{
		path: x.path,
		key:  x.key,
	}
}

func (t *Target) giveUp() int {
	t.ledger.count(func(c *Counts) { c.Cancelled++ })
	return statusClientClosed
}

// await waits until held is closed or, with a nil held, until d has passed.
func (t *Target) await(x *work, held <-chan struct{}, d clock.Milli) end {
	until := t.cfg.Clock.Now() + d
	for {
		step := hangUpCheck
		now := t.cfg.Clock.Now()
		if held == nil {
			if now >= until {
				return reached
			}
			step = min(step, until-now)
		}
		if x.deadline > 0 && now >= x.deadline {
			return expired
		}
		select {
		case <-held:
			return reached
		case <-x.cancel:
			return cancelled
		case <-t.quit:
			return cancelled
		case <-t.cfg.Clock.After(step):
		}
		if !t.cfg.IgnoreDisconnect && step == hangUpCheck && sock.Peek(x.ctx.Conn()) == sock.Closed {
			return cancelled
		}
	}
}

// refuse answers that x did not run and will not.
func (t *Target) refuse(x *work, status int, reason string) {
	t.ledger.count(func(c *Counts) { c.Refused++ })
	x.ctx.Error(reason, status)
	x.ctx.Response.Header.Set(header.Outcome, header.NotRun)
	x.ctx.Response.Header.Set(header.Attempt, x.attempt)
}

func (t *Target) reply(x *work, answer Answer, status int, faults Faults) {
	if faults.Fault == Late {
		<-t.cfg.Clock.After(faults.Delay)
	}
	attempt := x.attempt
	if faults.Fault == Crossed {
		attempt += "x"
		answer.Key += "x"
	}
	x.ctx.SetStatusCode(status)
	x.ctx.Response.Header.Set(header.Attempt, attempt)
	body, err := json.Marshal(answer)
	if err != nil {
		x.ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	t.deliver(x.ctx, faults.Fault, body)
}

func (t *Target) register(x *work) {
	if x.attempt == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work[x.attempt] = x
}

func (t *Target) forget(x *work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.work[x.attempt] == x {
		delete(t.work, x.attempt)
	}
}

// cancel answers DELETE /attempts/ATTEMPT.
func (t *Target) cancel(ctx *fasthttp.RequestCtx, attempt string) {
	t.mu.Lock()
	x := t.work[attempt]
	t.mu.Unlock()
	if x == nil {
		ctx.Error("no such attempt", fasthttp.StatusNotFound)
		return
	}
	x.stop()
}
