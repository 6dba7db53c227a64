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
	// movesMost is the number of daemons that may refuse a request before it
	// is refused to its caller.
	movesMost = 3
	// leastLeft is the time that must be left for another attempt.
	leastLeft = 20 * clock.Millisecond
	// askEvery is the pause between two questions about a running attempt.
	askEvery = 50 * clock.Millisecond
	// askTime bounds one question.
	askTime = 700 * clock.Millisecond
	// usualBytes is what a call across regions is taken to cost its link.
	usualBytes = 6 << 10
)

// run makes attempts until one is answered or the means are used up. It
// returns the answer for the caller and how the request ended.
func (o *Outbound) run(ctx context.Context, c *call) (guard.Answer, string) {
	s := o.service(c.service)
	o.open(s, c)
	mayHaveRun := false
	var kept *guard.Answer
	for {
		t, flight, err := o.choose(s, c)
		if err != nil {
			c.reason = "choice: " + err.Error()
			break
		}
		a, word := o.attempt(ctx, c, &t)
		o.finish(s, c, t, flight, word)
		c.reason = word.Outcome.String() + " " + word.Reason
		c.note(t.ID, word)
		switch word.Outcome {
		case peer.Done:
			if !o.mayImprove(c, &a, word) {
				return a, event.EndDone
			}
			kept = &a
		case peer.NotRun:
			c.wait = max(c.wait, word.Wait)
			if ctx.Err() == nil && o.mayMove(s, c, word) {
				continue
			}
			return o.giveUp(ctx, c, mayHaveRun, kept)
		default:
			mayHaveRun = true
		}
		if ctx.Err() != nil || c.route.AtMostOnce || !o.mayRepeat(s, c) {
			break
		}
	}
	return o.giveUp(ctx, c, mayHaveRun, kept)
}

// open records a request that is about to make its first attempt.
func (o *Outbound) open(s *service, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isRepeat() {
		s.budget.charge(o.cfg.Clock.Now())
		return
	}
	s.budget.earn(o.cfg.Clock.Now())
}

// mayMove reports whether a request that was not run may go on. One that
// reached a target is charged to the budget like a repeat; what bounds the runs
// of a request does not count for it.
func (o *Outbound) mayMove(s *service, c *call, word peer.Feedback) bool {
	if word.ReachedTarget {
		return !c.isRepeat() && o.takeRepeat(s, c)
	}
	return c.moves < movesMost && o.isTimeLeft(c)
}

// note records what became of an attempt.
func (c *call) note(target string, word peer.Feedback) {
	switch {
	case word.Outcome != peer.NotRun:
		c.arrived++
		c.ran++
		c.avoid = append(c.avoid, target)
	case word.ReachedTarget:
		// A target that turns away a part of what comes may take the request
		// when it comes again; the others are asked first.
		c.arrived++
		c.rejected = target
	default:
		c.moves++
		c.avoid = append(c.avoid, target)
	}
}

// mayImprove reports whether an answer is a failure that another target may
// not have. A target that failed because a call of its own did is no worse than
// others; that call has been repeated already.
func (o *Outbound) mayImprove(c *call, a *guard.Answer, word peer.Feedback) bool {
	return a.Status == fasthttp.StatusInternalServerError && !c.route.AtMostOnce && word.Reason != peer.ReasonCallFailed
}

// giveUp returns the answer for a request that no target answered with success:
// a target's own failure if there was one.
func (o *Outbound) giveUp(ctx context.Context, c *call, mayHaveRun bool, kept *guard.Answer) (guard.Answer, string) {
	switch {
	case kept != nil:
		return *kept, event.EndDone
	case !mayHaveRun:
		return o.cfg.refusal(c.id, "not run: "+c.reason, max(c.wait, refusedWait)), event.EndRefused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return o.failure(c, fasthttp.StatusGatewayTimeout, "no answer in time"), event.EndTimeout
	case ctx.Err() != nil:
		return o.failure(c, fasthttp.StatusGatewayTimeout, "the caller left"), event.EndDisconnected
	}
	return o.failure(c, fasthttp.StatusBadGateway, "the answer was lost"), event.EndLost
}

func (o *Outbound) isTimeLeft(c *call) bool { return c.deadline-o.cfg.Clock.Now() > leastLeft }

// isRepeat reports whether the request is a call of a run that is a repeat. It
// counts as one already and is not repeated again.
func (c *call) isRepeat() bool { return c.parent != nil && c.parent.Repeat }

// mayRepeat reports whether a request that ran, or may have, may run again.
func (o *Outbound) mayRepeat(s *service, c *call) bool {
	return c.ran < max(c.route.Attempts, 1) && !c.isRepeat() && o.takeRepeat(s, c)
}

// takeRepeat takes one attempt from the budget, if there is time for it.
func (o *Outbound) takeRepeat(s *service, c *call) bool {
	if !o.isTimeLeft(c) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.take(o.cfg.Clock.Now(), c.importance, c.root) {
		return false
	}
	o.cfg.Metrics.Retries()
	return true
}

// choose picks a target: none that the request ran on or whose daemon refused
// it, and if there is another, not the one that turned it away last.
func (o *Outbound) choose(s *service, c *call) (model.Target, pick.Call, error) {
	now := o.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, o.cfg.View(), c.service, o.cfg.Self.Centres)
	q := pick.Query{
		Op:         c.route.Name,
		Importance: c.importance,
		RootHash:   c.root,
		Exclude:    c.avoid,
		Bytes:      usualBytes,
	}
	if c.rejected != "" {
		q.Exclude = append(slices.Clone(c.avoid), c.rejected)
	}
	choice, err := s.picker.Choose(now, q)
	if err != nil && c.rejected != "" {
		q.Exclude = c.avoid
		choice, err = s.picker.Choose(now, q)
	}
	if err != nil {
		return model.Target{}, pick.Call{}, err
	}
	c.tried = append(c.tried, choice.Target)
	return s.targets[choice.Target], s.picker.Started(now, choice.Target, c.route.Name), nil
}

// finish records how an attempt ended.
func (o *Outbound) finish(s *service, c *call, t model.Target, f pick.Call, word peer.Feedback) {
	now := o.cfg.Clock.Now()
	outcome := pick.Failed
	switch {
	case word.Outcome == peer.Done:
		outcome = pick.Done
	case word.Outcome == peer.NotRun && !word.ReachedTarget:
		outcome = pick.Refused
	case word.Reason == http1.Canceled.String(), word.Reason == http1.Timeout.String():
		outcome = pick.Canceled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Finished(now, f, outcome)
	if isAbsent(word) {
		o.leaveOut(s, now, t.ID, word.Reason)
	}
	if word.Received {
		s.learn(now, t.ID, c.route.Name, word)
	}
	if word.Leaving {
		o.leaveOut(s, now, t.ID, peer.ReasonLeaving)
	}
}

// isAbsent reports whether a word shows that the target is not there: it or its
// daemon was not reached, or another target has its address.
func isAbsent(word peer.Feedback) bool {
	switch word.Reason {
	case http1.Unsent.String(), peer.ReasonUnreached, peer.ReasonReplaced, peer.ReasonMisdirected:
		return true
	}
	return false
}

// leaveOut gives a target no new work for a while. s.mu is held.
func (o *Outbound) leaveOut(s *service, now clock.Milli, target, reason string) {
	if s.mark(now, target) {
		event.Info(o.cfg.Log, event.TargetEjected, zap.String("target", target), zap.String("reason", reason))
	}
}

// attempt sends the request to one target. The word says what became of it.
func (o *Outbound) attempt(ctx context.Context, c *call, t *model.Target) (guard.Answer, peer.Feedback) {
	o.cfg.Metrics.Attempts()
	hop := peer.Hop{
		Target:     t.ID,
		Path:       c.route.Name,
		Importance: c.importance,
		RootHash:   c.root,
		Depth:      c.depth,
		Repeat:     c.arrived > 0 || c.isRepeat(),
		Inherited:  c.isRepeat(),
	}
	if !c.route.AtMostOnce {
		return o.send(ctx, c, t, hop, http1.Options{})
	}
	hop.Key = c.id + "/" + strconv.Itoa(len(c.tried))
	return o.sendOnce(ctx, c, t, hop)
}

// send makes one exchange with the daemon beside t.
func (o *Outbound) send(ctx context.Context, c *call, t *model.Target, hop peer.Hop, opts http1.Options) (guard.Answer, peer.Feedback) {
	r := *c.r
	left := max(c.deadline-o.cfg.Clock.Now(), 1)
	r.Fields = http1.WithField(c.r.Fields, o.cfg.Headers.Deadline, strconv.FormatInt(int64(left), 10))
	if t.Host() == o.cfg.Self.Host {
		return o.local.Run(ctx, &r, hop)
	}
	r.Fields = http1.WithField(r.Fields, peer.HeaderHop, hop.String())
	a, err := o.peers.Do(ctx, o.cfg.addrOf(t), &r, opts)
	if err != nil {
		return a, wordOf(err)
	}
	word, err := peer.ParseFeedback(http1.Get(a.Fields, peer.HeaderFeedback))
	if err != nil {
		return a, peer.Feedback{
			Outcome: peer.Unknown,
			Reason:  err.Error(),
		}
	}
	a.Fields = http1.WithoutField(a.Fields, peer.HeaderFeedback)
	return a, word
}

// wordOf says what a failed exchange with a daemon tells of the request.
func wordOf(err error) peer.Feedback {
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

// sendOnce sends a request that may run at most once. The guard beside the
// target is asked about an attempt whose answer was lost.
func (o *Outbound) sendOnce(ctx context.Context, c *call, t *model.Target, hop peer.Hop) (guard.Answer, peer.Feedback) {
	addr := o.cfg.addrOf(t)
	hop.Stamp = o.stamp(addr)
	if hop.Stamp == (ticket.Stamp{}) {
		word := o.learnStamp(ctx, c, t)
		if word.Outcome != peer.NotRun || word.Stamp == (ticket.Stamp{}) {
			return guard.Answer{}, peer.Feedback{
				Outcome: peer.NotRun,
				Reason:  http1.Unsent.String(),
			}
		}
		hop.Stamp = word.Stamp
	}
	a, word := o.send(ctx, c, t, hop, http1.Options{})
	if word.Stamp != (ticket.Stamp{}) {
		o.setStamp(addr, word.Stamp)
	}
	if word.Outcome == peer.OtherIncarnation {
		// The daemon that answered has just been sent the attempt, and its own
		// run has not started it.
		word.Outcome = peer.NotRun
		return a, word
	}
	if word.Outcome == peer.Unknown && !word.Received {
		return o.settle(ctx, c, t, hop)
	}
	return a, word
}

// learnStamp asks the daemon beside t for its stamp.
func (o *Outbound) learnStamp(ctx context.Context, c *call, t *model.Target) peer.Feedback {
	_, word := o.send(ctx, o.question(c), t, peer.Hop{
		Target:  t.ID,
		IsQuery: true,
	}, http1.Options{})
	if word.Stamp != (ticket.Stamp{}) {
		o.setStamp(o.cfg.addrOf(t), word.Stamp)
	}
	return word
}

// question returns a call that carries a question about c and not its body.
func (o *Outbound) question(c *call) *call {
	q := *c
	r := *c.r
	r.Body = nil
	q.r = &r
	return &q
}

// settle asks the guard, on new connections, what became of an attempt whose
// answer was lost, until it is known or the time is over.
func (o *Outbound) settle(ctx context.Context, c *call, t *model.Target, hop peer.Hop) (guard.Answer, peer.Feedback) {
	hop.IsQuery = true
	q := o.question(c)
	for ctx.Err() == nil {
		asked, cancel := http1.WithTimeout(ctx, askTime)
		a, word := o.send(asked, q, t, hop, http1.Options{
			Fresh: true,
		})
		cancel()
		switch {
		case word.Received && word.Outcome != peer.Running:
			if word.Outcome == peer.OtherIncarnation {
				word.Outcome = peer.Unknown
			}
			return a, word
		default:
			select {
			case <-ctx.Done():
			case <-o.cfg.Clock.After(askEvery):
			}
		}
	}
	return guard.Answer{}, peer.Feedback{
		Outcome: peer.Unknown,
		Reason:  http1.Timeout.String(),
	}
}
