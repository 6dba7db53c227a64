package flow

import (
	"context"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/pkg/clock"
)

// admit waits for a slot of the target and runs the request in it.
func (n *Inbound) admit(ctx context.Context, r *http1.Request, hop peer.Hop) (guard.Answer, peer.Feedback) {
	now := n.cfg.Clock.Now()
	gate, ok := n.open(now, hop)
	if !ok {
		return n.refuse(r, hop, peer.ReasonLeaving)
	}
	if n.isOther(hop.Target) {
		return n.refuse(r, hop, peer.ReasonReplaced)
	}
	if !n.DownstreamThreshold(hop.Path).Passes(hop.Importance, hop.RootHash) {
		return n.refuse(r, hop, peer.ReasonDownstream)
	}
	deadline := now + leftOf(r, n.cfg.Headers.Deadline)
	work, d, signals := gate.Offer(admit.Request{
		Path:       hop.Path,
		Importance: hop.Importance,
		RootHash:   hop.RootHash,
		Depth:      hop.Depth,
		Deadline:   deadline,
	})
	switch d.Verdict {
	case admit.Refuse:
		return n.refuse(r, hop, d.Reason.String())
	case admit.Queue:
		if reason := n.await(ctx, gate, work, signals); reason != "" {
			return n.refuse(r, hop, reason)
		}
	case admit.Run:
	}
	began := n.cfg.Clock.Now()
	n.cfg.Metrics.SlotWait(began - now)
	took := clock.Milli(-1)
	defer func() { gate.Done(work, took) }()
	if ctx.Err() != nil {
		return n.refuse(r, hop, peer.ReasonCanceled)
	}
	if hop.Key != "" && !n.table.Start(hop.Key) {
		return n.refuse(r, hop, "fenced")
	}
	a, word := n.send(ctx, r, hop, deadline)
	for n.mayTryAgain(ctx, hop, word, deadline) {
		hop.Repeat = true
		a, word = n.send(ctx, r, hop, deadline)
	}
	n.record(hop, a, word)
	n.cfg.Metrics.TargetTime(n.cfg.Clock.Now() - began)
	if word.Outcome == peer.Done {
		took = n.cfg.Clock.Now() - began
	}
	return a, word
}

// isOther reports whether the target that a request is meant for is known not
// to be the one on this host. The target would turn it away, and its arrival
// would count.
func (n *Inbound) isOther(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.actual != "" && n.actual != id
}

// setActual records the id that the target itself gave.
func (n *Inbound) setActual(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.actual = id
}

// open records a request and returns the gate, and false if the target takes no new work.
func (n *Inbound) open(now clock.Milli, hop peer.Hop) (*slot.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !hop.Repeat {
		n.again.window.RecordRequest(now)
	}
	if n.draining {
		return n.gate, false
	}
	return n.gate, n.left == 0 || now-n.left < n.cfg.DrainTime*leavingShare/100
}

// await waits for the signal of a queued work. It returns why the work will
// not run, or nothing if it holds a slot.
func (n *Inbound) await(ctx context.Context, gate *slot.Gate, w admit.Request, signals <-chan slot.Signal) string {
	var s slot.Signal
	select {
	case s = <-signals:
	case <-ctx.Done():
		if gate.Cancel(w) {
			return peer.ReasonCanceled
		}
		s = <-signals
	}
	switch s {
	case slot.Evicted:
		return admit.QueueFull.String()
	case slot.Expired:
		return admit.DeadlineTooClose.String()
	case slot.Started:
	}
	return ""
}
