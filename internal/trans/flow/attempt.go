package flow

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// maxRefusals is the number of daemons that may refuse a request before the
	// caller is refused.
	maxRefusals = 3
	// minTimeLeft is the time before the deadline that another attempt needs.
	minTimeLeft = 20 * clock.Millisecond
	// queryInterval is the pause between two queries about an attempt whose
	// outcome is not known yet.
	queryInterval = 50 * clock.Millisecond
	// queryTimeout bounds one query.
	queryTimeout = 700 * clock.Millisecond
	// typicalCallBytes is the estimated cost of a call on the link between
	// regions, unless the body of its request alone has more.
	typicalCallBytes = 6 << 10
	// maxCallBytes bounds the cost of a call, since the link's budget never lets one
	// pass that is above linkBurstBytes less the reserve for more important calls.
	maxCallBytes = linkBurstBytes / 4
)

// run makes attempts until one is answered or no further attempt is allowed. It
// returns the answer for the caller and how the request ended.
func (o *Outbound) run(ctx context.Context, c *call) (guard.Answer, string) {
	s := o.service(c.service)
	o.countRequest(s, c)
	mayHaveRun := false
	var failed *guard.Answer
	for {
		t, flight, err := o.choose(s, c)
		if err != nil {
			c.reason = "choice: " + err.Error()
			break
		}
		a, fb := o.attempt(ctx, c, &t)
		spills := o.finishAttempt(s, c, t, flight, &a, fb)
		o.local.rooms.learnNeeds(&o.cfg, c, fb.Needs, spills)
		c.reason = fb.Outcome.String() + " " + fb.Reason
		c.recordAttempt(t.ID, fb)
		switch fb.Outcome {
		case peer.Done:
			if !o.mayRetryFailure(c, &a, fb) {
				return a, event.EndDone
			}
			failed = &a
		case peer.NotRun:
			c.retryAfter = max(c.retryAfter, fb.Wait)
			if ctx.Err() == nil && o.mayTryNext(s, c, fb) {
				continue
			}
			return o.giveUp(ctx, c, mayHaveRun, failed)
		default:
			mayHaveRun = true
		}
		if ctx.Err() != nil || c.route.AtMostOnce || !o.mayRetry(s, c) {
			break
		}
	}
	return o.giveUp(ctx, c, mayHaveRun, failed)
}

// countRequest records a new request in the retry budget: it earns a part of a
// retry, or is charged as one if it was made by a retried request.
func (o *Outbound) countRequest(s *service, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isRepeat() {
		s.retryBudget.charge(o.cfg.Clock.Now())
		return
	}
	s.retryBudget.earn(o.cfg.Clock.Now())
}

// mayTryNext reports whether a request that did not run may be sent to another
// target. If it reached a target, the attempt is charged to the retry budget.
// It does not count towards the route's limit of attempts, which bounds runs.
func (o *Outbound) mayTryNext(s *service, c *call, fb peer.Feedback) bool {
	if fb.ReachedTarget {
		return !c.isRepeat() && o.takeRetry(s, c)
	}
	return c.refusals < maxRefusals && o.isTimeLeft(c)
}

// recordAttempt updates the counts and exclusions of c after an attempt.
func (c *call) recordAttempt(target string, fb peer.Feedback) {
	switch {
	case fb.Outcome != peer.NotRun:
		c.reached++
		c.runs++
		c.excluded = append(c.excluded, target)
	case fb.ReachedTarget:
		// The target may reject only a part of its requests and take this one
		// the next time, so it is a last resort and not excluded.
		c.reached++
		c.rejectedBy = target
	default:
		c.refusals++
		c.excluded = append(c.excluded, target)
	}
}

// mayRetryFailure reports whether an answer is a failure that another target
// might not give. If the target failed because one of its own calls failed,
// other targets are no better, and that call has been retried already.
func (o *Outbound) mayRetryFailure(c *call, a *guard.Answer, fb peer.Feedback) bool {
	return a.Status == fasthttp.StatusInternalServerError && !c.route.AtMostOnce && fb.Reason != peer.ReasonCallFailed
}

// giveUp returns the answer for a request that no target answered with success:
// the failure that a target answered, if any, else one of the daemon's own.
func (o *Outbound) giveUp(ctx context.Context, c *call, mayHaveRun bool, failed *guard.Answer) (guard.Answer, string) {
	switch {
	case failed != nil:
		return *failed, event.EndDone
	case !mayHaveRun:
		return o.cfg.refusal(c.id, "not run: "+c.reason, max(c.retryAfter, minRetryAfter)), event.EndRefused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return o.failure(c, fasthttp.StatusGatewayTimeout, "no answer in time"), event.EndTimeout
	case ctx.Err() != nil:
		return o.failure(c, fasthttp.StatusGatewayTimeout, "the caller left"), event.EndDisconnected
	}
	return o.failure(c, fasthttp.StatusBadGateway, "the answer was lost"), event.EndLost
}

func (o *Outbound) isTimeLeft(c *call) bool { return c.deadline-o.cfg.Clock.Now() > minTimeLeft }

// isRepeat reports whether the request was made by a retried request. It counts
// as a retry already and is not retried again.
func (c *call) isRepeat() bool { return c.parent != nil && c.parent.Repeat }

// mayRetry reports whether a request that ran, or may have run, may run again.
func (o *Outbound) mayRetry(s *service, c *call) bool {
	return c.runs < max(c.route.Attempts, 1) && !c.isRepeat() && o.takeRetry(s, c)
}

// takeRetry takes one retry from the budget. It reports false if there is none
// or the deadline is too close.
func (o *Outbound) takeRetry(s *service, c *call) bool {
	if !o.isTimeLeft(c) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudget.take(o.cfg.Clock.Now(), c.importance, c.root) {
		return false
	}
	o.cfg.Metrics.Retries()
	return true
}

// choose picks a target. It excludes targets on which the request ran, those whose
// daemon refused it and those whose daemon ends before the deadline. The target that
// rejected it last is chosen only if there is no other.
func (o *Outbound) choose(s *service, c *call) (model.Target, pick.Call, error) {
	now := o.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, o.cfg.View(), c.service, &o.cfg.Self)
	excluded := slices.Concat(c.excluded, s.endingBefore(now, c.deadline))
	q := pick.Query{
		Op:         c.route.Name,
		Importance: c.importance,
		RootHash:   c.root,
		LetIn:      c.depth > 0 && o.local.rooms.isOn(c.view),
		Exclude:    excluded,
		Bytes:      linkCost(c),
	}
	s.describe(now, c, &q)
	if c.rejectedBy != "" {
		q.Exclude = append(slices.Clone(excluded), c.rejectedBy)
	}
	choice, err := s.picker.Choose(now, q)
	if err != nil && c.rejectedBy != "" {
		q.Exclude = excluded
		choice, err = s.picker.Choose(now, q)
	}
	if err != nil {
		return model.Target{}, pick.Call{}, err
	}
	c.tried = append(c.tried, choice.Target)
	c.linkBytes = 0
	if choice.Spill {
		c.linkBytes = q.Bytes
	}
	return s.targets[choice.Target], s.picker.Started(now, choice.Target, c.route.Name), nil
}

// linkCost returns the bytes that a call takes of the link's budget. An upload crosses
// the link only while the budget has room for many other calls.
func linkCost(c *call) int {
	if !c.route.Upload {
		return typicalCallBytes
	}
	return max(typicalCallBytes, min(len(c.r.Body), maxCallBytes))
}

// finishAttempt reports the end of an attempt to the picker and applies the
// feedback. It reports whether such calls may go to the other region now.
func (o *Outbound) finishAttempt(s *service, c *call, t model.Target, f pick.Call, a *guard.Answer, fb peer.Feedback) (spills bool) {
	now := o.cfg.Clock.Now()
	outcome := pick.Failed
	switch {
	case fb.Outcome == peer.Done:
		outcome = pick.Done
	case fb.Outcome == peer.NotRun && !fb.ReachedTarget:
		outcome = pick.Refused
	case fb.Reason == http1.Canceled.String(), fb.Reason == http1.Timeout.String():
		outcome = pick.Canceled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTime && outcome == pick.Done {
		outcome = s.recordAnswer(now, c, a, fb)
	}
	s.picker.Finished(now, f, outcome)
	if isTargetAbsent(fb) {
		o.ejectTarget(s, now, t.ID, fb.Reason)
	}
	if fb.Received {
		s.applyFeedback(now, t.ID, c.route.Name, fb)
	}
	if fb.Leaving {
		o.ejectTarget(s, now, t.ID, peer.ReasonLeaving)
	}
	return s.picker.Spills(now, c.route.Name)
}

// isTargetAbsent reports whether the target is gone: it or its daemon could not
// be reached, or another target has its address.
func isTargetAbsent(fb peer.Feedback) bool {
	switch fb.Reason {
	case http1.Unsent.String(), peer.ReasonUnreached, peer.ReasonReplaced, peer.ReasonMisdirected:
		return true
	}
	return false
}

// ejectTarget ejects a target and logs it unless it was ejected already. s.mu
// must be held.
func (o *Outbound) ejectTarget(s *service, now clock.Milli, target, reason string) {
	if s.eject(now, target) {
		event.Info(o.cfg.Log, event.TargetEjected, zap.String("target", target), zap.String("reason", reason))
	}
}

// attempt sends the request to one target and returns the answer and the
// outcome.
func (o *Outbound) attempt(ctx context.Context, c *call, t *model.Target) (guard.Answer, peer.Feedback) {
	o.cfg.Metrics.Attempts()
	hop := peer.Hop{
		Target:     t.ID,
		Path:       c.route.Name,
		Importance: c.importance,
		RootHash:   c.root,
		Depth:      c.depth,
		Repeat:     c.reached > 0 || c.isRepeat(),
		Inherited:  c.isRepeat(),
	}
	if !c.route.AtMostOnce {
		return o.send(ctx, c, t, hop, http1.Options{})
	}
	hop.Key = c.id + "/" + strconv.Itoa(len(c.tried))
	return o.sendAtMostOnce(ctx, c, t, hop)
}

// send makes one exchange with the daemon on the host of t. The own host's
// inbound side is called directly.
func (o *Outbound) send(ctx context.Context, c *call, t *model.Target, hop peer.Hop, opts http1.Options) (guard.Answer, peer.Feedback) {
	r := *c.r
	left := max(c.deadline-o.cfg.Clock.Now(), 1)
	r.Fields = http1.WithField(c.r.Fields, o.cfg.Headers.Deadline, strconv.FormatInt(int64(left), 10))
	if t.Host() == o.cfg.Self.Host {
		return o.local.Run(ctx, &r, hop)
	}
	r.Fields = o.cfg.withSeen(http1.WithField(r.Fields, peer.HeaderHop, hop.String()))
	now, v := o.cfg.Clock.Now(), o.cfg.View()
	r.Fields = o.local.rooms.with(now, v, o.local.ranks.with(now, v, r.Fields), nil)
	askedAt := o.cfg.askProof()
	a, err := o.peers.Do(ctx, o.cfg.addrOf(t), &r, opts)
	if err != nil {
		return a, feedbackOf(err)
	}
	a.Fields = o.cfg.takeProof(askedAt, o.cfg.takeSeen(a.Fields))
	a.Fields = o.local.ranks.take(&o.cfg, a.Fields)
	needs, fields := o.local.rooms.take(&o.cfg, a.Fields)
	a.Fields = fields
	fb, err := peer.ParseFeedback(http1.Get(a.Fields, peer.HeaderFeedback))
	if err != nil {
		return a, peer.Feedback{
			Outcome: peer.Unknown,
			Reason:  err.Error(),
		}
	}
	a.Fields = http1.WithoutField(a.Fields, peer.HeaderFeedback)
	fb.Ends, a.Fields = o.cfg.takeEnds(a.Fields)
	fb.Room, a.Fields = takeRoom(a.Fields)
	fb.Needs = needs
	return a, fb
}

// feedbackOf derives the outcome of a request from a failed exchange with a
// daemon.
func feedbackOf(err error) peer.Feedback {
	var e *http1.Error
	if !errors.As(err, &e) {
		return peer.Feedback{
			Outcome: peer.Unknown,
			Reason:  err.Error(),
		}
	}
	outcome := peer.Unknown
	if e.Kind == http1.Unsent {
		outcome = peer.NotRun
	}
	return peer.Feedback{
		Outcome: outcome,
		Reason:  e.Kind.String(),
	}
}

// sendAtMostOnce sends a non-idempotent request. If the answer is lost, it asks
// the guard on the target's host for the outcome.
func (o *Outbound) sendAtMostOnce(ctx context.Context, c *call, t *model.Target, hop peer.Hop) (guard.Answer, peer.Feedback) {
	addr := o.cfg.addrOf(t)
	hop.Stamp = o.stamp(addr)
	if hop.Stamp == (ticket.Stamp{}) {
		fb := o.fetchStamp(ctx, c, t)
		if fb.Outcome != peer.NotRun || fb.Stamp == (ticket.Stamp{}) {
			return guard.Answer{}, peer.Feedback{
				Outcome: peer.NotRun,
				Reason:  http1.Unsent.String(),
			}
		}
		hop.Stamp = fb.Stamp
	}
	a, fb := o.sendStamped(ctx, c, t, hop)
	if isStampRefused(fb) && fb.Stamp != (ticket.Stamp{}) {
		// After a pause, or a restart of the other daemon, the stamp of before is no
		// longer good. The answer brought a new one.
		hop.Stamp = fb.Stamp
		a, fb = o.sendStamped(ctx, c, t, hop)
	}
	if isStampRefused(fb) {
		// The guard has received the attempt only now and has not started it. It
		// was sent to nobody else.
		fb.Outcome = peer.NotRun
		return a, fb
	}
	if fb.Outcome == peer.Unknown && !fb.Received {
		return o.resolveOutcome(ctx, c, t, hop)
	}
	return a, fb
}

// sendStamped sends an attempt with the stamp in hop, and records the stamp that the
// answer brings.
func (o *Outbound) sendStamped(ctx context.Context, c *call, t *model.Target, hop peer.Hop) (guard.Answer, peer.Feedback) {
	a, fb := o.send(ctx, c, t, hop, http1.Options{})
	if fb.Stamp != (ticket.Stamp{}) {
		o.setStamp(o.cfg.addrOf(t), fb.Stamp)
	}
	return a, fb
}

// isStampRefused reports whether the guard did not start an attempt because of its
// stamp: it is of another incarnation, or of a generation that is closed, forgotten
// or has not begun.
func isStampRefused(fb peer.Feedback) bool {
	if !fb.Received {
		return false
	}
	switch fb.Outcome {
	case peer.OtherIncarnation:
		return true
	case peer.NotRun:
		return fb.Reason == guard.Stale.String()
	case peer.Unknown:
		return fb.Reason == guard.Forgotten.String()
	case peer.Done, peer.Running:
	}
	return false
}

// fetchStamp asks the daemon on the host of t for its current stamp.
func (o *Outbound) fetchStamp(ctx context.Context, c *call, t *model.Target) peer.Feedback {
	_, fb := o.send(ctx, o.query(c), t, peer.Hop{
		Target:  t.ID,
		IsQuery: true,
	}, http1.Options{})
	if fb.Stamp != (ticket.Stamp{}) {
		o.setStamp(o.cfg.addrOf(t), fb.Stamp)
	}
	return fb
}

// query returns a copy of c without its body, for a query about c.
func (o *Outbound) query(c *call) *call {
	q := *c
	r := *c.r
	r.Body = nil
	q.r = &r
	return &q
}

// resolveOutcome asks the guard for the outcome of an attempt whose answer was
// lost, each time on a new connection, until the outcome is known or ctx ends.
func (o *Outbound) resolveOutcome(ctx context.Context, c *call, t *model.Target, hop peer.Hop) (guard.Answer, peer.Feedback) {
	hop.IsQuery = true
	q := o.query(c)
	for ctx.Err() == nil {
		queryCtx, cancel := http1.WithTimeout(ctx, queryTimeout)
		a, fb := o.send(queryCtx, q, t, hop, http1.Options{
			Fresh: true,
		})
		cancel()
		switch {
		case fb.Received && fb.Outcome != peer.Running:
			if fb.Outcome == peer.OtherIncarnation {
				fb.Outcome = peer.Unknown
			}
			return a, fb
		default:
			select {
			case <-ctx.Done():
			case <-o.cfg.Clock.After(queryInterval):
			}
		}
	}
	return guard.Answer{}, peer.Feedback{
		Outcome: peer.Unknown,
		Reason:  http1.Timeout.String(),
	}
}
