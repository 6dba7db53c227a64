package admit

import (
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// lanes is the number of lanes, one for each cost class.
const lanes = 2

// Gate admits work to one target. See the package comment.
type Gate struct {
	cfg      Config
	limiter  limiter
	learned  estimator
	control  control
	queues   [lanes]waits
	running  map[uint64]rules.Cost
	busy     [lanes]int
	overload bool
	draining bool
	stats    Stats

	started []Request
	expired []Request
	evicted []Request
}

// New returns an open gate without any work.
func New(cfg Config) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{
		cfg:     cfg,
		limiter: newLimiter(cfg.MinLimit, min(cfg.Slots, cfg.Conns)),
		learned: newEstimator(),
		control: newControl(),
		running: make(map[uint64]rules.Cost),
	}
	bound := cfg.QueueFactor * cfg.Slots
	g.queues[rules.Short].limit = bound
	g.queues[rules.Long].limit = bound
	return g
}

// Offer asks for a slot for w. The verdict Run gives it at once.
func (g *Gate) Offer(now clock.Milli, w Request) Decision {
	g.adjust(now)
	g.stats.Offered++
	g.evicted = g.evicted[:0]
	w.offered = now
	expect := g.learned.expect(now, &w)
	if w.Cost == rules.Short {
		g.control.offer(levelOf(w.Importance, w.RootHash), expect)
	}
	switch reason := g.judge(now, &w, expect); {
	case reason == BelowThreshold && g.waitsLower(&w):
		return g.replace(w)
	case reason != None:
		return g.refuse(reason)
	}
	if len(g.queues[w.Cost].works) == 0 && g.hasSlot(w.Cost) {
		g.start(now, &w)
		return Decision{
			Verdict: Run,
		}
	}
	return g.enqueue(w)
}

// judge returns why w must be refused whatever the queue holds.
func (g *Gate) judge(now clock.Milli, w *Request, expect float64) Reason {
	if g.draining {
		return Draining
	}
	if w.Cost == rules.Short && w.Depth == 0 && !g.control.threshold.Passes(w.Importance, w.RootHash) {
		return BelowThreshold
	}
	if w.Deadline > 0 && float64(now)+g.delay(now, w)+expect > float64(w.Deadline) {
		if w.Cost == rules.Short {
			g.control.refused = true
		}
		return DeadlineTooClose
	}
	return None
}

// delay estimates in milliseconds how long w would wait for a slot.
func (g *Gate) delay(now clock.Milli, w *Request) float64 {
	if g.hasSlot(w.Cost) {
		return 0
	}
	ahead := g.queues[w.Cost].ahead(w, g.overload)
	return float64(ahead+1) * g.learned.class(now, w.Cost) / float64(g.share(w.Cost))
}

// enqueue makes w wait, in the place of the lowest one if the queue is full
// for work of its importance.
func (g *Gate) enqueue(w Request) Decision {
	q := &g.queues[w.Cost]
	if len(q.works) >= q.bound(w.Importance) {
		if w.Cost == rules.Short {
			g.control.refused = true
		}
		i := q.last()
		if i < 0 || !outranks(&w, &q.works[i]) {
			return g.refuse(QueueFull)
		}
		return g.replace(w)
	}
	q.push(w)
	return Decision{
		Verdict: Queue,
	}
}

// waitsLower reports whether a work of lower importance than w waits. It came
// before the threshold rose, and w must not be refused in its stead.
func (g *Gate) waitsLower(w *Request) bool {
	q := &g.queues[w.Cost]
	i := q.last()
	return i >= 0 && q.works[i].Importance < w.Importance
}

// replace makes w wait in the place of the lowest of its lane.
func (g *Gate) replace(w Request) Decision {
	q := &g.queues[w.Cost]
	g.evicted = append(g.evicted, q.remove(q.last()))
	g.stats.Evicted++
	g.stats.Refused[QueueFull]++
	q.push(w)
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

// Done frees the slot of w, which ran for took. A negative took is not
// learned from, as for work that was cancelled. It returns the queued works
// that hold a slot from now on and those that are refused because their
// deadline cannot be met; both are valid until the next call. A work that
// holds no slot is ignored.
func (g *Gate) Done(now clock.Milli, w Request, took clock.Milli) (start, expired []Request) {
	cost, ok := g.running[w.Seq]
	if !ok {
		return nil, nil
	}
	delete(g.running, w.Seq)
	g.busy[cost]--
	g.stats.Done++
	if took >= 0 {
		g.learned.add(now, &w, took)
	}
	g.limiter.complete(g.queued() > 0)
	return g.Tick(now)
}

// Cancel removes a queued work and reports whether it was queued. A running
// one keeps its slot until Done.
func (g *Gate) Cancel(now clock.Milli, seq uint64) bool {
	g.adjust(now)
	for lane := range g.queues {
		q := &g.queues[lane]
		for i := range q.works {
			if q.works[i].Seq == seq {
				q.remove(i)
				return true
			}
		}
	}
	return false
}

// Tick lets time pass: it adjusts the limit and the threshold, and returns
// works to start and works to refuse as Done does. Call it at least once in a
// window while the gate holds or refuses work.
func (g *Gate) Tick(now clock.Milli) (start, expired []Request) {
	g.adjust(now)
	g.started = g.started[:0]
	g.expired = g.expired[:0]
	for lane := range g.queues {
		g.expire(now, &g.queues[lane])
		g.fill(now, rules.Cost(lane))
	}
	g.control.wait(len(g.queues[rules.Short].works))
	g.control.occupy(now, g.busy[rules.Short])
	return g.started, g.expired
}

// expire refuses the queued works that can no longer finish in time.
func (g *Gate) expire(now clock.Milli, q *waits) {
	n := len(g.expired)
	g.expired = q.take(g.expired, func(w *Request) bool {
		return w.Deadline > 0 && float64(now)+g.learned.expect(now, w) > float64(w.Deadline)
	})
	g.stats.Refused[DeadlineTooClose] += uint64(len(g.expired) - n)
}

// fill starts queued works while there are slots for them.
func (g *Gate) fill(now clock.Milli, cost rules.Cost) {
	q := &g.queues[cost]
	for g.hasSlot(cost) {
		i := q.first(g.overload)
		if i < 0 {
			return
		}
		w := q.remove(i)
		g.start(now, &w)
		g.started = append(g.started, w)
	}
}

func (g *Gate) start(now clock.Milli, w *Request) {
	g.running[w.Seq] = w.Cost
	g.busy[w.Cost]++
	g.stats.Started++
	g.control.occupy(now, g.busy[rules.Short])
}

// hasSlot reports whether work of the cost class may start.
func (g *Gate) hasSlot(cost rules.Cost) bool {
	if g.busy[rules.Short]+g.busy[rules.Long] >= g.limiter.limit {
		return false
	}
	return cost == rules.Short || g.busy[rules.Long] < g.share(rules.Long)
}

// share returns the number of slots that a cost class may have at present.
func (g *Gate) share(cost rules.Cost) int {
	if cost == rules.Long {
		return max(1, g.limiter.limit*g.cfg.LongShare/100)
	}
	return max(1, g.limiter.limit-g.busy[rules.Long])
}

func (g *Gate) queued() int {
	return len(g.queues[rules.Short].works) + len(g.queues[rules.Long].works)
}

// adjust ends the window and the limiter's epoch when they are over.
func (g *Gate) adjust(now clock.Milli) {
	if !g.cfg.FixedLimit {
		g.limiter.tick(now)
	}
	c := &g.control
	if now-c.began < g.cfg.Window {
		return
	}
	capacity := g.share(rules.Short)
	delay := float64(c.standing) * g.learned.class(now, rules.Short) / float64(capacity)
	g.overload = delay > float64(g.cfg.MaxQueueDelay)
	c.adjust(now, capacity, len(g.queues[rules.Short].works), g.overload)
}

// Threshold returns the least (importance, root hash) that g takes.
func (g *Gate) Threshold() Threshold { return g.control.threshold }

// Drain makes g refuse all new work. Running and queued work goes on.
func (g *Gate) Drain() { g.draining = true }

// Idle reports whether g holds no work at all.
func (g *Gate) Idle() bool { return len(g.running) == 0 && g.queued() == 0 }
