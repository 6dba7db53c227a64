package flow

import (
	"context"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// sendToTarget makes one exchange with the target and returns its answer and
// outcome. It adds to p the time that the request waited for calls of the target.
func (n *Inbound) sendToTarget(ctx context.Context, r *http1.Request, hop peer.Hop, deadline clock.Milli, p *passage) (guard.Answer, peer.Feedback) {
	h := &n.cfg.Headers
	out := *r
	out.Fields = http1.WithField(r.Fields, h.Expected, hop.Target)
	out.Fields = http1.WithField(out.Fields, h.Deadline, strconv.FormatInt(int64(max(deadline-n.cfg.Clock.Now(), 1)), 10))
	o := http1.Options{}
	if hop.Key != "" {
		o.MaxIdle = atMostOnceMaxIdle
	}
	run := n.addRunning(r.Get(h.ID), r.Get(h.Account), hop)
	a, err := n.targetClient.Do(ctx, n.cfg.Self.TargetAddr, &out, o)
	n.removeRunning(r.Get(h.ID))
	p.inCalls += run.calls.until(n.cfg.Clock.Now())
	n.takeStatement(http1.Get(a.Fields, h.Load))
	a, fb := n.classify(r, a, err)
	fb.Needs = n.rooms.needsOf(run)
	fb.ReachedTarget = fb.Reason != peer.ReasonUnreached
	if a.Status >= fasthttp.StatusInternalServerError && run.callFailed.Load() {
		fb.Reason = peer.ReasonCallFailed
	}
	return a, fb
}

// classify derives the outcome of a request from the exchange with the target.
func (n *Inbound) classify(r *http1.Request, a guard.Answer, err error) (guard.Answer, peer.Feedback) {
	h := &n.cfg.Headers
	id := r.Get(h.ID)
	var e *http1.Error
	switch {
	case errors.As(err, &e) && e.Kind == http1.Unsent:
		return n.cfg.refusal(id, "target not reached", minRetryAfter), n.feedback(peer.NotRun, peer.ReasonUnreached)
	case err != nil:
		return n.cfg.plainAnswer(id, fasthttp.StatusBadGateway, "the target's answer was lost"), n.feedback(peer.Unknown, e.Kind.String())
	case a.Status == fasthttp.StatusMisdirectedRequest:
		n.setActualID(http1.Get(a.Fields, h.Instance))
		return n.cfg.refusal(id, "another target", minRetryAfter), n.feedback(peer.NotRun, peer.ReasonMisdirected)
	case http1.Get(a.Fields, h.NotRun) != "":
		n.cfg.Metrics.Refused(peer.ReasonTargetRefused)
		return n.cfg.refusal(id, "the target refused", minRetryAfter), n.feedback(peer.NotRun, peer.ReasonTargetRefused)
	case !isFromTarget(&a, h.Signature):
		return n.cfg.plainAnswer(id, fasthttp.StatusBadGateway, "the target's answer was spoiled"), n.feedback(peer.Unknown, "spoiled")
	}
	return a, n.feedback(peer.Done, "run")
}

// recordOutcome records in the guard table how an attempt that was started
// there ended.
func (n *Inbound) recordOutcome(hop peer.Hop, a guard.Answer, fb peer.Feedback) {
	if hop.Key == "" {
		return
	}
	now := n.cfg.Clock.Now()
	switch fb.Outcome {
	case peer.Done:
		n.table.Finish(now, hop.Key, a)
	case peer.NotRun:
		n.table.RefuseStarted(now, hop.Key)
	default:
		n.table.Fail(now, hop.Key)
	}
}

// mayRetryTarget reports whether a request that the target rejected may be sent
// to it again at once. The target must have capacity by the gate's count, so
// that it rejects a part of the requests for a reason other than load, and the
// retry budget must allow it.
func (n *Inbound) mayRetryTarget(ctx context.Context, hop peer.Hop, fb peer.Feedback, deadline clock.Milli) bool {
	now := n.cfg.Clock.Now()
	if fb.Reason != peer.ReasonTargetRefused || ctx.Err() != nil || deadline-now <= minTimeLeft {
		return false
	}
	if fb.Running*100 > fb.Limit*notFullPercent || hop.Inherited {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.hasLeft(now) && n.retries.take(now, rankOf(hop.Importance, hop.RootHash))
}

// isFromTarget reports whether an answer was made by the target: a success must
// carry the target's signature, and the body must not be encoded.
func isFromTarget(a *guard.Answer, signature string) bool {
	if http1.Get(a.Fields, "Content-Encoding") != "" {
		return false
	}
	return a.Status >= 300 || http1.Get(a.Fields, signature) != ""
}
