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

// send makes the exchange with the target and records how it ended.
func (n *Inbound) send(ctx context.Context, r *http1.Request, hop peer.Hop, deadline clock.Milli) (guard.Answer, peer.Feedback) {
	h := &n.cfg.Headers
	out := *r
	out.Fields = http1.WithField(r.Fields, h.Expected, hop.Target)
	out.Fields = http1.WithField(out.Fields, h.Deadline, strconv.FormatInt(int64(max(deadline-n.cfg.Clock.Now(), 1)), 10))
	o := http1.Options{}
	if hop.Key != "" {
		o.MaxIdle = targetRested
	}
	run := n.enter(r.Get(h.ID), hop)
	a, err := n.apps.Do(ctx, n.cfg.Self.TargetAddr, &out, o)
	n.leave(r.Get(h.ID))
	a, word := n.judge(r, a, err)
	word.ReachedTarget = word.Reason != peer.ReasonUnreached
	if a.Status >= fasthttp.StatusInternalServerError && run.failed.Load() {
		word.Reason = peer.ReasonCallFailed
	}
	return a, word
}

// judge tells from the exchange with the target what became of the request.
func (n *Inbound) judge(r *http1.Request, a guard.Answer, err error) (guard.Answer, peer.Feedback) {
	h := &n.cfg.Headers
	id := r.Get(h.ID)
	var e *http1.Error
	switch {
	case errors.As(err, &e) && e.Kind == http1.Unsent:
		return n.cfg.refusal(id, "target not reached", refusedWait), n.word(peer.NotRun, peer.ReasonUnreached)
	case err != nil:
		return n.cfg.plain(id, fasthttp.StatusBadGateway, "the target's answer was lost"), n.word(peer.Unknown, e.Kind.String())
	case a.Status == fasthttp.StatusMisdirectedRequest:
		n.setActual(http1.Get(a.Fields, h.Instance))
		return n.cfg.refusal(id, "another target", refusedWait), n.word(peer.NotRun, peer.ReasonMisdirected)
	case http1.Get(a.Fields, h.NotRun) != "":
		n.cfg.Metrics.Refused(peer.ReasonTargetRefused)
		return n.cfg.refusal(id, "the target refused", refusedWait), n.word(peer.NotRun, peer.ReasonTargetRefused)
	case !isWhole(&a, h.Signature):
		return n.cfg.plain(id, fasthttp.StatusBadGateway, "the target's answer was spoiled"), n.word(peer.Unknown, "spoiled")
	}
	return a, n.word(peer.Done, "run")
}

// record tells the guard how an attempt that it has started ended.
func (n *Inbound) record(hop peer.Hop, a guard.Answer, word peer.Feedback) {
	if hop.Key == "" {
		return
	}
	now := n.cfg.Clock.Now()
	switch word.Outcome {
	case peer.Done:
		n.table.Finish(now, hop.Key, a)
	case peer.NotRun:
		n.table.RefuseStarted(now, hop.Key)
	default:
		n.table.Fail(now, hop.Key)
	}
}

// mayTryAgain reports whether a request that the target turned away may come to
// it again at once: the target has room by the gate's count, so it refuses a
// part of what comes for a reason of its own, and the budget has an attempt.
func (n *Inbound) mayTryAgain(ctx context.Context, hop peer.Hop, word peer.Feedback, deadline clock.Milli) bool {
	now := n.cfg.Clock.Now()
	if word.Reason != peer.ReasonTargetRefused || ctx.Err() != nil || deadline-now <= leastLeft {
		return false
	}
	if word.Running*100 > word.Limit*roomShare || hop.Inherited {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.again.take(now, rankOf(hop.Importance, hop.RootHash))
}

// isWhole reports whether an answer is the target's own: a success has its
// signature, and its body is not encoded.
func isWhole(a *guard.Answer, signature string) bool {
	if http1.Get(a.Fields, "Content-Encoding") != "" {
		return false
	}
	return a.Status >= 300 || http1.Get(a.Fields, signature) != ""
}
