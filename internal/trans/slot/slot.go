// Package slot makes an [admit.Gate] safe for concurrent use and lets goroutines
// wait for its decisions.
package slot

import (
	"sync"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/pkg/clock"
)

// Signal is the outcome of a queued request.
type Signal uint8

// Signals.
const (
	// Started means that the request holds a slot.
	Started Signal = iota
	// Evicted means that a request of higher rank took its place in the queue.
	Evicted
	// Expired means that the request can no longer finish before its deadline.
	Expired
	// Withdrawn means that the target takes no new work any more.
	Withdrawn
)

// Gate is an [admit.Gate] that is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu       sync.Mutex
	inner    *admit.Gate
	seq      uint64
	waiting  map[uint64]chan Signal
	draining bool
}

// New returns an open gate without requests.
func New(cfg admit.Config, c clock.Clock) *Gate {
	return &Gate{
		clock:   c,
		inner:   admit.New(cfg),
		waiting: make(map[uint64]chan Signal),
	}
}

// Offer asks for a slot. It returns the request with its sequence number, which
// the other methods need. If the verdict is Queue, the channel delivers exactly
// one signal.
func (g *Gate) Offer(req admit.Request) (admit.Request, admit.Decision, <-chan Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	req.Seq = g.seq
	d := g.inner.Offer(g.clock.Now(), req)
	g.signal(d.Evicted, Evicted)
	d.Evicted = nil
	if d.Verdict != admit.Queue {
		return req, d, nil
	}
	ch := make(chan Signal, 1)
	g.waiting[req.Seq] = ch
	return req, d, ch
}

// Done frees the slot of req, which ran for took. The gate does not learn from a
// negative took.
func (g *Gate) Done(req admit.Request, took clock.Milli) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalAll(g.inner.Done(g.clock.Now(), req, took))
}

// Finish is Done with more of what is known of the request.
func (g *Gate) Finish(req admit.Request, res admit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalAll(g.inner.Finish(g.clock.Now(), req, res))
}

// SetLearn starts or ends learning about the target.
func (g *Gate) SetLearn(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner.SetLearn(on)
}

// Hint passes on what the target stated about its load.
func (g *Gate) Hint(s learn.Statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner.Hint(g.clock.Now(), s)
}

// Cancel removes a queued request. It reports false if the request has received
// its signal already.
func (g *Gate) Cancel(req admit.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inner.Cancel(g.clock.Now(), req.Seq) {
		return false
	}
	delete(g.waiting, req.Seq)
	return true
}

// WithdrawQueued removes all queued requests, which receive [Withdrawn].
func (g *Gate) WithdrawQueued() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for seq, ch := range g.waiting {
		g.inner.Cancel(now, seq)
		ch <- Withdrawn
		delete(g.waiting, seq)
	}
}

// Tick adjusts the limit and the threshold, and starts or expires queued
// requests. It must be called at least once per window of the gate.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalAll(g.inner.Tick(g.clock.Now()))
}

// Drain makes the gate refuse new requests. Running and queued ones go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.inner.Drain()
}

// IsDraining reports whether Drain was called.
func (g *Gate) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// IsIdle reports whether no request is running or queued.
func (g *Gate) IsIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Idle()
}

// Stats returns the counters and the present state of the gate.
func (g *Gate) Stats() admit.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Stats(g.clock.Now())
}

func (g *Gate) signalAll(start, late []admit.Request) {
	g.signal(start, Started)
	g.signal(late, Expired)
}

func (g *Gate) signal(requests []admit.Request, s Signal) {
	for _, req := range requests {
		if ch, ok := g.waiting[req.Seq]; ok {
			ch <- s
			delete(g.waiting, req.Seq)
		}
	}
}
