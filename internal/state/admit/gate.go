package admit

import (
	"siskinswitch.example/siskin/internal/state/learn"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// laneCount is the number of lanes, one for each cost class.
const laneCount = 2

// Gate admits requests to one target. See the package comment.
type Gate struct {
	cfg     Config
	limiter limiter
	// learner sets the concurrency limit in place of limiter; nil is none.
	learner      *learn.Learner
	serviceTimes estimator
	shedder      shedder
	queues       [laneCount]queue
	running      map[uint64]slotOf
	busy         [laneCount]int
	overload     bool
	draining     bool
	stats        Stats

	started []Request
	expired []Request
	evicted []Request
}

// slotOf is the slot of a running request.
type slotOf struct {
	cost   rules.Cost
	ticket learn.Ticket
}

// New returns an open gate without requests.
func New(cfg Config) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{
		cfg:          cfg,
		limiter:      newLimiter(cfg.MinLimit, min(cfg.Slots, cfg.Conns)),
		serviceTimes: newEstimator(),
		shedder:      newShedder(),
		running:      make(map[uint64]slotOf),
	}
	maxLen := cfg.QueueFactor * cfg.Slots
	g.queues[rules.Short].maxLen = maxLen
	g.queues[rules.Long].maxLen = maxLen
	g.SetLearn(cfg.Learn)
	return g
}

// SetLearn starts or ends learning about the target. What was learned before is
// forgotten, and the limit begins at its upper bound again.
func (g *Gate) SetLearn(on bool) {
	if on == (g.learner != nil) {
		return
	}
	ceiling := min(g.cfg.Slots, g.cfg.Conns)
	g.limiter = newLimiter(g.cfg.MinLimit, ceiling)
	g.learner = nil
	if on {
		g.learner = learn.New(learn.Config{
			Floor:   g.cfg.MinLimit,
			Ceiling: ceiling,
			Running: len(g.running),
		})
	}
}

// Hint passes on what the target stated about its load. It is ignored while the gate
// does not learn.
func (g *Gate) Hint(now clock.Milli, s learn.Statement) {
	if g.learner != nil {
		g.learner.Hint(now, s)
	}
}

// limit returns the concurrency limit that applies now.
func (g *Gate) limit() int {
	if g.learner != nil {
		return g.learner.Limit()
	}
	return g.limiter.limit
}

// Offer asks for a slot for r. With the verdict [Run], r holds the slot at
// once.
func (g *Gate) Offer(now clock.Milli, r Request) Decision {
	g.adjust(now)
	g.stats.Offered++
	g.evicted = g.evicted[:0]
	if g.learner != nil && !g.hasSlot(rules.Short) {
		g.learner.Wait(now)
	}
	expected := g.serviceTimes.expectedTime(now, &r)
	if r.Cost == rules.Short {
		g.shedder.addDemand(levelOf(r.Importance, r.RootHash), expected)
	}
	switch reason := g.refusalReason(now, &r, expected); {
	case reason == BelowThreshold && g.hasLowerQueued(&r):
		return g.displaceLowest(r)
	case reason != None:
		return g.refuse(reason)
	}
	if len(g.queues[r.Cost].requests) == 0 && g.hasSlot(r.Cost) {
		g.start(now, &r)
		return Decision{
			Verdict: Run,
		}
	}
	return g.enqueue(now, r)
}

// refusalReason returns the reason to refuse r that does not depend on the
// rank of the queued requests, or None.
func (g *Gate) refusalReason(now clock.Milli, r *Request, expected float64) Reason {
	if g.draining {
		return Draining
	}
	if r.Cost == rules.Short && r.Depth == 0 && !g.shedder.threshold.Passes(r.Importance, r.RootHash) {
		return BelowThreshold
	}
	if r.Deadline > 0 && float64(now)+g.queueDelay(now, r)+expected > float64(r.Deadline) {
		if r.Cost == rules.Short {
			g.shedder.hadRefusal = true
		}
		return DeadlineTooClose
	}
	return None
}

// queueDelay estimates how long r would wait for a slot, in milliseconds.
func (g *Gate) queueDelay(now clock.Milli, r *Request) float64 {
	if g.hasSlot(r.Cost) {
		return 0
	}
	ahead := g.queues[r.Cost].countAhead(r, g.overload)
	return float64(ahead+1) * g.serviceTimes.classTime(now, r.Cost) / float64(g.laneLimit(r.Cost))
}

// enqueue queues r. If the queue is full for the importance of r, r displaces
// the lowest ranked request or is refused.
func (g *Gate) enqueue(now clock.Milli, r Request) Decision {
	q := &g.queues[r.Cost]
	if len(q.requests) >= g.maxQueued(now, &r) {
		if r.Cost == rules.Short {
			g.shedder.hadRefusal = true
		}
		i := q.lowest()
		if i < 0 || !outranks(&r, &q.requests[i]) {
			return g.refuse(QueueFull)
		}
		return g.displaceLowest(r)
	}
	q.push(r)
	return Decision{
		Verdict: Queue,
	}
}

// letInWait is the expected wait up to which a request is queued that its entry has
// let in for the whole chain of calls. A chain of many calls can't wait long for each.
const letInWait = 100

// maxQueued returns the length of the queue from which requests like r are no longer
// appended.
func (g *Gate) maxQueued(now clock.Milli, r *Request) int {
	n := g.queues[r.Cost].maxLenFor(r.Importance)
	if !r.LetIn {
		return n
	}
	served := letInWait * g.laneLimit(r.Cost) / max(int(g.serviceTimes.classTime(now, r.Cost)), 1)
	return max(n, min(served, maxLetIn*g.cfg.Slots))
}

// maxLetIn bounds the queue, as a multiple of the slots, where requests are short.
const maxLetIn = 16

// hasLowerQueued reports whether a request of lower importance than r waits in
// its lane. That one was queued before the threshold rose, and r must not be
// refused in its place.
func (g *Gate) hasLowerQueued(r *Request) bool {
	q := &g.queues[r.Cost]
	i := q.lowest()
	return i >= 0 && q.requests[i].Importance < r.Importance
}

// displaceLowest queues r in place of the lowest ranked request of its lane.
func (g *Gate) displaceLowest(r Request) Decision {
	q := &g.queues[r.Cost]
	g.evicted = append(g.evicted, q.remove(q.lowest()))
	g.stats.Evicted++
	g.stats.Refused[QueueFull]++
	q.push(r)
	return Decision{
		Verdict: Queue,
		Evicted: g.evicted,
	}
}

func (g *Gate) refuse(reason Reason) Decision {
	g.stats.Refused[reason]++
	return Decision{
		Verdict: Refuse,
		Reason:  reason,
	}
}

// Done frees the slot of r, which ran for took. A negative took is not used to
// learn the service time, as for a cancelled request. Done returns the queued
// requests that hold a slot from now on and those that are refused because
// they cannot meet their deadlines; both are valid until the next call. It
// ignores a request that holds no slot.
func (g *Gate) Done(now clock.Milli, r Request, took clock.Milli) (start, expired []Request) {
	return g.Finish(now, r, Result{
		Took: took,
	})
}

// Result is how a request ended, for [Gate.Finish].
type Result struct {
	// Took is how long the request held its slot; a negative one is not learned from.
	Took clock.Milli
	// InCalls is the part of Took in which the request waited for calls of the target
	// to other services.
	InCalls clock.Milli
	// Rejections is the number of times that the target rejected the request.
	Rejections int
	// IsFailure says that the target answered with a failure. It counts for the service
	// times, but not as a request that the target completed.
	IsFailure bool
}

// Finish is [Gate.Done] with more of what is known of the request.
func (g *Gate) Finish(now clock.Milli, r Request, res Result) (start, expired []Request) {
	held, ok := g.running[r.Seq]
	if !ok {
		return nil, nil
	}
	delete(g.running, r.Seq)
	g.busy[held.cost]--
	g.stats.Done++
	if res.Took >= 0 {
		g.serviceTimes.add(now, &r, res.Took)
	}
	if g.learner == nil {
		g.limiter.complete(g.queued() > 0)
		return g.Tick(now)
	}
	took := res.Took
	if res.IsFailure {
		took = -1
	}
	g.learner.Finish(now, held.ticket, learn.Outcome{
		Path:       r.Path,
		Took:       took,
		InCalls:    res.InCalls,
		Rejections: res.Rejections,
	})
	return g.Tick(now)
}

// Cancel removes a queued request and reports whether it was queued. A running
// request keeps its slot until [Gate.Done].
func (g *Gate) Cancel(now clock.Milli, seq uint64) bool {
	g.adjust(now)
	for lane := range g.queues {
		q := &g.queues[lane]
		for i := range q.requests {
			if q.requests[i].Seq == seq {
				q.remove(i)
				return true
			}
		}
	}
	return false
}

// Tick adjusts the concurrency limit and the threshold to the present, and
// returns requests to start and requests to refuse as [Gate.Done] does. It
// must be called at least once in a window while the gate holds or refuses
// requests.
func (g *Gate) Tick(now clock.Milli) (start, expired []Request) {
	g.adjust(now)
	g.started = g.started[:0]
	g.expired = g.expired[:0]
	for lane := range g.queues {
		g.expire(now, &g.queues[lane])
		g.fill(now, rules.Cost(lane))
	}
	g.shedder.recordQueued(len(g.queues[rules.Short].requests))
	g.shedder.setBusy(now, g.busy[rules.Short])
	return g.started, g.expired
}

// expire refuses the queued requests that can no longer finish before their
// deadlines.
func (g *Gate) expire(now clock.Milli, q *queue) {
	n := len(g.expired)
	g.expired = q.removeIf(g.expired, func(r *Request) bool {
		return r.Deadline > 0 && float64(now)+g.serviceTimes.expectedTime(now, r) > float64(r.Deadline)
	})
	g.stats.Refused[DeadlineTooClose] += uint64(len(g.expired) - n)
}

// fill starts queued requests while there are slots for them.
func (g *Gate) fill(now clock.Milli, cost rules.Cost) {
	q := &g.queues[cost]
	for g.hasSlot(cost) {
		i := q.next(g.overload)
		if i < 0 {
			return
		}
		r := q.remove(i)
		g.start(now, &r)
		g.started = append(g.started, r)
	}
}

func (g *Gate) start(now clock.Milli, r *Request) {
	held := slotOf{
		cost: r.Cost,
	}
	if g.learner != nil {
		held.ticket = g.learner.Start(now)
	}
	g.running[r.Seq] = held
	g.busy[r.Cost]++
	g.stats.Started++
	g.shedder.setBusy(now, g.busy[rules.Short])
}

// hasSlot reports whether a request of the cost class may start.
func (g *Gate) hasSlot(cost rules.Cost) bool {
	if g.busy[rules.Short]+g.busy[rules.Long] >= g.limit() {
		return false
	}
	return cost == rules.Short || g.busy[rules.Long] < g.laneLimit(rules.Long)
}

// laneLimit returns the number of slots that a lane may use at present.
func (g *Gate) laneLimit(cost rules.Cost) int {
	if cost == rules.Long {
		return max(1, g.limit()*g.cfg.LongShare/100)
	}
	return max(1, g.limit()-g.busy[rules.Long])
}

func (g *Gate) queued() int {
	return len(g.queues[rules.Short].requests) + len(g.queues[rules.Long].requests)
}

// adjust ends the limiter's epoch and the shedder's window if they are over.
func (g *Gate) adjust(now clock.Milli) {
	switch {
	case g.learner != nil:
		g.learner.Tick(now)
	case !g.cfg.FixedLimit:
		g.limiter.tick(now)
	}
	s := &g.shedder
	if now-s.windowStart < g.cfg.Window {
		return
	}
	capacity := g.laneLimit(rules.Short)
	delay := float64(s.minQueued) * g.serviceTimes.classTime(now, rules.Short) / float64(capacity)
	g.overload = delay > float64(g.cfg.MaxQueueDelay)
	s.adjust(now, capacity, len(g.queues[rules.Short].requests), g.overload)
}

// Threshold returns the least (importance, root hash) that g admits.
func (g *Gate) Threshold() Threshold { return g.shedder.threshold }

// Drain makes g refuse all new requests. Running and queued ones continue.
func (g *Gate) Drain() { g.draining = true }

// Idle reports whether g holds no running and no queued request.
func (g *Gate) Idle() bool { return len(g.running) == 0 && g.queued() == 0 }
