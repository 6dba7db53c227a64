// Package learn finds how many requests a target serves well at once, and how fast
// it serves them.
//
// A [Learner] is fed with the start and the end of each request at the target. It
// finds the concurrency limit by trials: while requests wait, it alternates between
// the limit and a slightly different one in phases of some tens of milliseconds, and
// compares how long comparable requests took at either. Requests are compared by
// their own time, relative to what is usual for their path: the time that a request
// waited for calls of the target to other services is left out, and it only weakens
// the effect that a slower target has. Because the phases alternate quickly, a
// slowdown that has nothing to do with the concurrency, such as that by a neighbour
// on the host, affects both limits alike and cancels out. A smaller limit is adopted
// if the larger one does not pay, so the limit rests below the point where the
// target's throughput bends, not at its slots.
//
// The speed and the throughput follow the recent requests whatever the limit is.
//
// What a target states about its own load ([Statement]) only makes a trial begin
// earlier. It never moves the limit, so a false statement costs a trial at most.
//
// A Learner does no I/O, starts no goroutine and reads no clock: every method that
// depends on time takes the present as an argument. It allocates nothing for a
// request whose path it knows. It is not safe for concurrent use.
package learn

import "siskinswitch.example/siskin/pkg/clock"

const (
	// tickEvery is the time between two evaluations of the recent requests.
	tickEvery = 100 * clock.Millisecond
	// firstRest is the time between the first two trials, when nothing is known yet. It
	// doubles with each trial that changes nothing, up to maxRest. After a change it
	// begins with minRest again.
	firstRest = tickEvery
	minRest   = 500 * clock.Millisecond
	maxRest   = 4 * clock.Second
	// statementLifetime is the age up to which a statement of the target counts.
	statementLifetime = clock.Second
	// forgetAfter is the time without a waiting request after which a lowered limit
	// is raised by a step. What was found then may be true no more, and a limit that
	// is too high costs a trial only.
	forgetAfter = 30 * clock.Second
	// changedSpeed is the relative change of the speed that makes a trial begin
	// early.
	changedSpeed = 0.25
)

// Config configures a [Learner].
type Config struct {
	// Floor and Ceiling bound the limit. It starts at Ceiling.
	Floor   int
	Ceiling int
	// Running is the number of requests that are at the target already.
	Running int
}

// Learner learns about one run of one target. See the package comment.
type Learner struct {
	floor, ceiling int
	// limit is the limit that applies outside trials.
	limit  int
	search search
	trial  trial
	recent recent
	usual  usualTimes

	// running is the number of requests at the target, area its integral over time
	// up to areaAt.
	running int
	area    int64
	areaAt  clock.Milli

	tickedAt clock.Milli
	// waits counts the requests that had to wait since tickedAt, waitedAt is the last
	// instant at which one had to.
	waits    int
	waitedAt clock.Milli
	// triedAt is the end of the last trial. The next one may begin at restUntil; rest
	// is the time between the two after that.
	triedAt   clock.Milli
	restUntil clock.Milli
	rest      clock.Milli
	// triedSpeed is the speed at the end of the last trial, triedWaiting whether the
	// target stated then that requests wait inside it.
	triedSpeed   float64
	triedWaiting bool

	statement   Statement
	statementAt clock.Milli
}

// New returns a learner whose limit is the ceiling.
func New(cfg Config) *Learner {
	ceiling := max(cfg.Ceiling, 1)
	return &Learner{
		floor:       min(max(cfg.Floor, 1), ceiling),
		ceiling:     ceiling,
		limit:       ceiling,
		search:      newSearch(ceiling),
		usual:       newUsualTimes(),
		running:     cfg.Running,
		rest:        firstRest,
		statementAt: -statementLifetime,
	}
}

// Ticket is what a learner has to know of a request when it ends. The zero value
// belongs to a request that started before there was a learner.
type Ticket struct {
	area      int64
	startedAt clock.Milli
	running   int
}

// Outcome is how a request ended.
type Outcome struct {
	// Path identifies comparable requests.
	Path string
	// Took is the time that the request was at the target, negative if it did not
	// complete there.
	Took clock.Milli
	// InCalls is the part of Took in which the request waited for calls of the
	// target to other services.
	InCalls clock.Milli
	// Rejections is the number of times that the target rejected the request.
	Rejections int
}

// Statement is what a target states about its load. It may be false.
type Statement struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes, in percent of the usual.
	Slowness int
}

// State is what is known of the target.
type State struct {
	// Limit is the number of requests that the target serves well at once.
	Limit int
	// Speed is how fast the target works off comparable work, as a multiple of what
	// is usual for it; 0 is unknown.
	Speed float64
	// Throughput is the number of requests that it completes in a second at the
	// limit; 0 is unknown.
	Throughput float64
	// IsSlow says that the target has been far slower than usual for a while.
	IsSlow bool
}

// Start records that a request is sent to the target.
func (l *Learner) Start(now clock.Milli) Ticket {
	l.integrate(now)
	l.running++
	return Ticket{
		area:      l.area,
		startedAt: now,
		running:   l.running,
	}
}

// Wait records that a request has to wait for a slot.
func (l *Learner) Wait(now clock.Milli) {
	l.waits++
	l.waitedAt = now
}

// Finish records the end of a request.
func (l *Learner) Finish(now clock.Milli, t Ticket, o Outcome) {
	l.integrate(now)
	l.running = max(l.running-1, 0)
	if t.running == 0 {
		return
	}
	concurrency := float64(t.running)
	if now > t.startedAt {
		concurrency = float64(l.area-t.area) / float64(now-t.startedAt)
	}
	l.trial.addRejections(concurrency, o.Rejections)
	if o.Took < 0 {
		l.recent.addGivenUp(float64(now - t.startedAt))
		return
	}
	own := float64(max(o.Took-max(o.InCalls, 0), 0))
	usual := l.usual.add(now, o.Path, own)
	l.recent.add(now, sample{
		took:  float64(o.Took),
		own:   own,
		usual: usual,
	})
	l.trial.add(concurrency, own/usual)
}

// integrate extends the integral of the running requests to now.
func (l *Learner) integrate(now clock.Milli) {
	if now > l.areaAt {
		l.area += int64(l.running) * int64(now-l.areaAt)
		l.areaAt = now
	}
}

// Hint records a statement of the target. One with a negative number is ignored.
func (l *Learner) Hint(now clock.Milli, s Statement) {
	if min(s.Running, s.Waiting, s.Slots, s.Slowness) < 0 {
		return
	}
	l.statement = s
	l.statementAt = now
}

// statesWaiting reports whether the target has stated lately that requests wait
// inside it.
func (l *Learner) statesWaiting(now clock.Milli) bool {
	return now-l.statementAt < statementLifetime && l.statement.Waiting > 0
}

// Limit returns the limit that applies now, that of a trial included.
func (l *Learner) Limit() int {
	if l.trial.active {
		return l.trial.limit()
	}
	return l.limit
}

// State returns what is known of the target.
func (l *Learner) State(now clock.Milli) State {
	return State{
		Limit:      l.limit,
		Speed:      l.recent.speed(),
		Throughput: l.recent.throughput(now, l.running, l.limit),
		IsSlow:     l.recent.isSlow,
	}
}

// Tick begins and ends trials and their phases. It must be called at least ten times a
// second while requests run; the more often, the more exact are the phases.
func (l *Learner) Tick(now clock.Milli) {
	if l.trial.active && now >= l.trial.phaseEnd {
		l.endPhase(now)
	}
	if now-l.tickedAt < tickEvery {
		return
	}
	isBinding := l.waits > 0
	l.waits = 0
	l.tickedAt = now
	l.recent.tick(now)
	switch {
	case l.trial.active:
	case isBinding:
		l.considerTrial(now)
	case l.limit < l.ceiling && now-l.waitedAt >= forgetAfter:
		l.waitedAt = now
		l.limit = min(l.ceiling, l.limit+l.search.largeStep())
		l.search = newSearch(l.ceiling)
	}
}

// trialDue returns the instant from which on a trial may begin. A change of the speed
// makes it earlier. A change of what the target states does so too, but by no more
// than half, so that false statements cost little.
func (l *Learner) trialDue(now clock.Milli) clock.Milli {
	switch {
	case l.recent.differs(l.triedSpeed):
		return min(l.restUntil, l.triedAt+minRest)
	case l.statesWaiting(now) && !l.triedWaiting:
		return (l.triedAt + l.restUntil) / 2
	}
	return l.restUntil
}

// considerTrial begins a trial if one is due.
func (l *Learner) considerTrial(now clock.Milli) {
	if now < l.trialDue(now) {
		return
	}
	if l.recent.differs(l.triedSpeed) {
		l.rest = minRest
	}
	low, high := l.search.next(l.limit, l.floor, l.ceiling)
	if low >= high {
		l.endTrial(now, false)
		return
	}
	l.trial.begin(now, low, high, low == l.limit, l.recent.phase())
}

// endPhase ends a phase of the trial, and the trial once its result is clear.
func (l *Learner) endPhase(now clock.Milli) {
	v := l.trial.endPhase(now, l.recent.ownShare(), l.recent.phase())
	switch v {
	case undecided:
		return
	case void:
		l.trial.active = false
		l.endTrial(now, false)
		return
	case keepLow, keepHigh:
	}
	l.trial.active = false
	before := l.limit
	l.limit = l.trial.low
	if v == keepHigh {
		l.limit = l.trial.high
	}
	l.search.judged(&l.trial, v, l.limit != before)
	l.endTrial(now, l.limit != before || l.search.isNarrowing())
}

// endTrial sets the time of the next trial. It is at once if the last one moved the
// limit or more precision is wanted.
func (l *Learner) endTrial(now clock.Milli, again bool) {
	l.triedAt = now
	l.triedSpeed = l.recent.speed()
	l.triedWaiting = l.statesWaiting(now)
	if again {
		l.rest = minRest
		l.restUntil = now
		return
	}
	l.restUntil = now + l.rest
	l.rest = min(maxRest, l.rest*2)
}
