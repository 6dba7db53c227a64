package flow

import (
	"context"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/pkg/clock"
)

// admit asks the gate for a slot, waits for it if need be, and runs the request
// at the target. It records in p how the request was passed on.
func (n *Inbound) admit(ctx context.Context, r *http1.Request, hop peer.Hop, p *passage) (guard.Answer, peer.Feedback) {
	now := n.cfg.Clock.Now()
	gate, ok := n.gateFor(now, hop)
	if !ok {
		return n.refuse(r, hop, peer.ReasonLeaving)
	}
	learns := n.rooms.isOn(n.cfg.View())
	deadline := now + timeLeft(r, n.cfg.Headers.Deadline)
	if reason := n.refusalReason(now, hop, deadline); reason != "" {
		return n.refuse(r, hop, reason)
	}
	expected := clock.Milli(0)
	if learns {
		expected = max(gate.Stats().ExpectedTime, 1)
		n.rooms.arrive(now, expected)
	}
	req, d, signals := gate.Offer(admit.Request{
		Path:       hop.Path,
		Importance: hop.Importance,
		RootHash:   hop.RootHash,
		Depth:      hop.Depth,
		LetIn:      n.isLetIn(hop),
		Deadline:   deadline,
	})
	switch d.Verdict {
	case admit.Refuse:
		return n.refuse(r, hop, d.Reason.String())
	case admit.Queue:
		if reason := n.awaitSlot(ctx, gate, req, signals); reason != "" {
			return n.refuse(r, hop, reason)
		}
	case admit.Run:
	}
	start := n.cfg.Clock.Now()
	p.waited = start - now
	n.cfg.Metrics.SlotWait(p.waited)
	res := admit.Result{
		Took: -1,
	}
	defer func() {
		gate.Finish(req, res)
		if expected > 0 {
			end := n.cfg.Clock.Now()
			n.rooms.done(end, expected, end-start)
		}
	}()
	if ctx.Err() != nil {
		return n.refuse(r, hop, peer.ReasonCanceled)
	}
	if !n.mayStart(start) {
		return n.refuse(r, hop, peer.ReasonLeaving)
	}
	if n.endsBefore(deadline) {
		// The stop began while the request waited.
		return n.refuse(r, hop, peer.ReasonEnding)
	}
	if hop.Key != "" && !n.table.Start(hop.Key) {
		return n.refuse(r, hop, "fenced")
	}
	n.recordSend(p)
	a, fb := n.sendToTarget(ctx, r, hop, deadline, p)
	for n.mayRetryTarget(ctx, hop, fb, deadline) {
		res.Rejections++
		hop.Repeat = true
		n.recordSend(p)
		a, fb = n.sendToTarget(ctx, r, hop, deadline, p)
	}
	n.recordOutcome(hop, a, fb)
	n.cfg.Metrics.TargetTime(n.cfg.Clock.Now() - start)
	switch {
	case fb.Outcome == peer.Done:
		res.Took = n.cfg.Clock.Now() - start
		res.InCalls = p.inCalls
		res.IsFailure = a.Status >= fasthttp.StatusInternalServerError
	case fb.Reason == peer.ReasonTargetRefused:
		res.Rejections++
	}
	return a, fb
}

// recordSend records in p, and in the metrics, a request that is sent to the target
// now, if the target is leaving.
func (n *Inbound) recordSend(p *passage) {
	n.mu.Lock()
	since := n.leavingSince
	n.mu.Unlock()
	if since == 0 {
		return
	}
	p.leaving = max(n.cfg.Clock.Now()-since, 1)
	n.cfg.Metrics.SentLeaving(p.leaving)
}

// isOtherTarget reports whether the target of this host is known not to be the
// one with the id. Such a request is refused here: the target would reject it
// with a 421, and the rejected arrival would still count as an attempt that
// reached a target.
func (n *Inbound) isOtherTarget(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.actualID != "" && n.actualID != id
}

// setActualID records the id that the target itself reported.
func (n *Inbound) setActualID(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.actualID = id
}

// gateFor records a request that is not a retry in the retry budget, and returns
// the gate. It returns false if the target takes no new work.
func (n *Inbound) gateFor(now clock.Milli, hop peer.Hop) (*slot.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !hop.Repeat {
		n.retries.window.RecordRequest(now)
	}
	return n.gate, !n.draining && !n.hasLeft(now)
}

// takesWork reports whether the target takes new work.
func (n *Inbound) takesWork(now clock.Milli) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.draining && !n.hasLeft(now)
}

// endsBefore reports whether the daemon stops before the deadline of a request.
func (n *Inbound) endsBefore(deadline clock.Milli) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.end != 0 && deadline > n.end
}

// mayStart reports whether a request that has waited may still be sent to the
// target.
func (n *Inbound) mayStart(now clock.Milli) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.hasLeft(now)
}

// hasLeft reports whether the target may get no more requests because it leaves.
// n.mu must be held.
func (n *Inbound) hasLeft(now clock.Milli) bool {
	return n.leavingSince != 0 && now >= n.acceptUntil
}

// awaitSlot waits until a queued request gets its slot. It returns the reason
// if the request will not run, and "" if it holds a slot.
func (n *Inbound) awaitSlot(ctx context.Context, gate *slot.Gate, req admit.Request, signals <-chan slot.Signal) string {
	var s slot.Signal
	select {
	case s = <-signals:
	case <-ctx.Done():
		if gate.Cancel(req) {
			return peer.ReasonCanceled
		}
		s = <-signals
	}
	switch s {
	case slot.Evicted:
		return admit.QueueFull.String()
	case slot.Expired:
		return admit.DeadlineTooClose.String()
	case slot.Withdrawn:
		return peer.ReasonLeaving
	case slot.Started:
	}
	return ""
}
