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

// statusClientClosed is the status of the answer to a cancelled request.
const statusClientClosed = 499

// Answer is the body of a target's answer. It repeats the key and path of the
// request, so that a caller notices the answer to another request.
type Answer struct {
	Target string `json:"target"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// Size is the length of the request's body.
	Size int `json:"size"`
	// Calls holds the answers to the downstream calls, in order.
	Calls []Answer `json:"calls,omitempty"`
}

// request is a request at a target, from its arrival to its answer.
type request struct {
	path      string
	key       string
	attempt   string
	context   string
	deadline  clock.Milli // Zero means none.
	size      int
	op        Operation
	ctx       *fasthttp.RequestCtx
	cancelled chan struct{}
	once      sync.Once
}

// cancel cancels r. It may be called again.
func (r *request) cancel() { r.once.Do(func() { close(r.cancelled) }) }

// waitResult is the reason why [Target.await] returned.
type waitResult uint8

const (
	waitDone waitResult = iota
	waitCancelled
	deadlinePassed
)

// serveOperation answers a request for the operation at path.
func (t *Target) serveOperation(ctx *fasthttp.RequestCtx, path string) {
	op, ok := t.cfg.Operations[path]
	if !ok {
		ctx.Error("no such operation", fasthttp.StatusNotFound)
		return
	}
	t.stats.count(func(c *Counts) { c.Arrivals++ })
	r := t.newRequest(ctx, path, op)
	service, faults := t.draw(op)
	switch {
	case faults.Fault == Silent:
		t.holdUntilClosed(ctx)
		return
	case faults.Fault == Refuse:
		t.refuse(r, fasthttp.StatusServiceUnavailable, "refused")
		return
	case t.draining.Load():
		t.refuse(r, fasthttp.StatusServiceUnavailable, "draining")
		return
	}
	t.register(r)
	defer t.unregister(r)
	t.runInSlot(r, service, faults)
}

func (t *Target) newRequest(ctx *fasthttp.RequestCtx, path string, op Operation) *request {
	r := &request{
		path:      path,
		key:       string(ctx.Request.Header.Peek(header.IdempotencyKey)),
		attempt:   string(ctx.Request.Header.Peek(header.Attempt)),
		context:   string(ctx.Request.Header.Peek(header.Context)),
		size:      len(ctx.PostBody()),
		op:        op,
		ctx:       ctx,
		cancelled: make(chan struct{}),
	}
	remaining, err := strconv.ParseInt(string(ctx.Request.Header.Peek(header.Deadline)), 10, 64)
	if err == nil && !t.cfg.IgnoreDeadline {
		r.deadline = t.cfg.Clock.Now() + clock.Milli(max(remaining, 1))
	}
	return r
}

// runInSlot waits for a slot, runs r in it and answers.
func (t *Target) runInSlot(r *request, service clock.Milli, faults Faults) {
	held, ok := t.slots.enter()
	if !ok {
		t.refuse(r, fasthttp.StatusServiceUnavailable, "queue full")
		return
	}
	defer t.slots.leave(held)
	switch t.await(r, held, 0) {
	case waitCancelled:
		t.refuse(r, statusClientClosed, "cancelled")
		return
	case deadlinePassed:
		t.refuse(r, fasthttp.StatusGatewayTimeout, "deadline passed")
		return
	}
	t.running.Add(1)
	answer, status := t.run(r, service)
	t.running.Add(-1)
	t.reply(r, answer, status, faults)
}

// run runs r and returns the answer and its status. The downstream calls are
// made one after the other, after half of the service time.
func (t *Target) run(r *request, service clock.Milli) (Answer, int) {
	t.countStarted(r)
	answer := Answer{
		Target: t.cfg.Name,
		Path:   r.path,
		Key:    r.key,
		Size:   r.size,
	}
	if t.await(r, nil, service/2) != waitDone {
		return answer, t.countCancelled()
	}
	for i, path := range r.op.Calls {
		child, ok := t.call(r, path, i)
		if !ok {
			t.stats.count(func(c *Counts) { c.Failed++ })
			return answer, fasthttp.StatusBadGateway
		}
		answer.Calls = append(answer.Calls, child)
	}
	if t.await(r, nil, service-service/2) != waitDone {
		return answer, t.countCancelled()
	}
	t.countCompleted(r)
	return answer, fasthttp.StatusOK
}

func (t *Target) countStarted(r *request) {
	if r.op.AtMostOnce {
		t.stats.run(r.runKey(), func(r *Run) { r.Started++ })
	}
}

func (t *Target) countCompleted(r *request) {
	t.stats.count(func(c *Counts) { c.Completed++ })
	if r.op.AtMostOnce {
		t.stats.run(r.runKey(), func(r *Run) { r.Completed++ })
	}
}

func (r *request) runKey() runKey {
	return runKey{
		path: r.path,
		key:  r.key,
	}
}

// countCancelled counts a request cancelled while it ran and returns its status.
func (t *Target) countCancelled() int {
	t.stats.count(func(c *Counts) { c.Cancelled++ })
	return statusClientClosed
}

// await waits until held is closed or, if held is nil, for d. It returns early if
// r is cancelled, its deadline passes, its client disconnects or t stops;
// the configuration can make it ignore the deadline and the disconnect.
func (t *Target) await(r *request, held <-chan struct{}, d clock.Milli) waitResult {
	until := t.cfg.Clock.Now() + d
	for {
		step := disconnectCheck
		now := t.cfg.Clock.Now()
		if held == nil {
			if now >= until {
				return waitDone
			}
			step = min(step, until-now)
		}
		if r.deadline > 0 && now >= r.deadline {
			return deadlinePassed
		}
		select {
		case <-held:
			return waitDone
		case <-r.cancelled:
			return waitCancelled
		case <-t.quit:
			return waitCancelled
		case <-t.cfg.Clock.After(step):
		}
		if !t.cfg.IgnoreDisconnect && step == disconnectCheck && sock.Peek(r.ctx.Conn()) == sock.Closed {
			return waitCancelled
		}
	}
}

// refuse answers that r has not run and will not run.
func (t *Target) refuse(r *request, status int, reason string) {
	t.stats.count(func(c *Counts) { c.Refused++ })
	r.ctx.Error(reason, status)
	r.ctx.Response.Header.Set(header.Outcome, header.NotRun)
	r.ctx.Response.Header.Set(header.Attempt, r.attempt)
}

// reply sends the answer, changed by the fault.
func (t *Target) reply(r *request, answer Answer, status int, faults Faults) {
	if faults.Fault == Late {
		<-t.cfg.Clock.After(faults.Delay)
	}
	attempt := r.attempt
	if faults.Fault == Crossed {
		attempt += "x"
		answer.Key += "x"
	}
	r.ctx.SetStatusCode(status)
	r.ctx.Response.Header.Set(header.Attempt, attempt)
	body, err := json.Marshal(answer)
	if err != nil {
		r.ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	t.deliver(r.ctx, faults.Fault, body)
}

// register makes r known for cancellation by its attempt.
func (t *Target) register(r *request) {
	if r.attempt == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r.attempt] = r
}

func (t *Target) unregister(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests[r.attempt] == r {
		delete(t.requests, r.attempt)
	}
}

// cancel answers DELETE /attempts/ATTEMPT by cancelling the request.
func (t *Target) cancel(ctx *fasthttp.RequestCtx, attempt string) {
	t.mu.Lock()
	r := t.requests[attempt]
	t.mu.Unlock()
	if r == nil {
		ctx.Error("no such attempt", fasthttp.StatusNotFound)
		return
	}
	r.cancel()
}
