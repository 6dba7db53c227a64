package watch

import (
	"context"
	"errors"

	"siskinswitch.example/siskin/pkg/clock"
)

// Op says what a read asks the store for.
type Op string

// Ops of reads, as they appear in logs and metrics.
const (
	List  Op = "list"
	Watch Op = "watch"
)

// Outcome says how an attempt at a read ended.
type Outcome string

// Outcomes of attempts, as they appear in logs and metrics.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	// Superseded means that another attempt was answered first, or that the
	// daemon stopped.
	Superseded Outcome = "superseded"
)

// Attempt is one attempt at a read, after it ended.
type Attempt struct {
	Op Op
	// Number is 0 for the first attempt at a read.
	Number  int
	Outcome Outcome
	// Took is the time from when it was sent.
	Took clock.Milli
	// Err is nil if the store answered.
	Err error
}

// Repeat says that an unanswered read is sent again.
type Repeat struct {
	Op Op
	// Number is that of the attempt that begins.
	Number int
	// Seen is the newest change that is known here, Heard the newest one that
	// another daemon knows.
	Seen  int64
	Heard int64
}

// read is a read in progress. Its attempts are made by [Follower.read]; Tick tells
// when the next one is due.
type read struct {
	op Op
	// attempts counts those that were begun, sentAt is when the last one was.
	attempts int
	sentAt   clock.Milli
	// patience is how long the last attempt may go unanswered.
	patience clock.Milli
	// endsAt is when the store ends the last attempt at a watch that brings nothing.
	endsAt clock.Milli
	// repeat gets a value when the next attempt is due.
	repeat chan struct{}
}

// answer is the result of one attempt.
type answer struct {
	page Page
	err  error
}

// read makes attempts at a read until one is answered, and returns that answer.
// Attempts that overlap use connections of their own; those that are no longer
// needed are canceled. The error is that of the last attempt in progress, or of the
// first that tells that history was lost.
func (f *Follower) read(ctx context.Context, op Op, send func(ctx context.Context, number int) (Page, error)) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := f.beginRead(op)
	defer f.endRead()
	answers := make(chan answer)
	inProgress := 0
	begin := func() {
		inProgress++
		number := f.countAttempt(r)
		go func() {
			a := f.attempt(ctx, op, number, send)
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
	}
	begin()
	for {
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-r.repeat:
			begin()
		case a := <-answers:
			inProgress--
			if a.err == nil || isHistoryLost(a.err) || inProgress == 0 && !f.isWorthRepeating(r) {
				return a.page, a.err
			}
			if inProgress == 0 {
				begin()
			}
		}
	}
}

// attempt makes one attempt and reports it.
func (f *Follower) attempt(ctx context.Context, op Op, number int, send func(ctx context.Context, number int) (Page, error)) answer {
	began := f.cfg.Clock.Now()
	page, err := send(ctx, number)
	outcome := Answered
	switch {
	case err != nil && ctx.Err() != nil:
		outcome = Superseded
	case err != nil:
		outcome = Failed
	}
	f.cfg.AttemptEnded(Attempt{
		Op:      op,
		Number:  number,
		Outcome: outcome,
		Took:    f.cfg.Clock.Now() - began,
		Err:     err,
	})
	return answer{
		page: page,
		err:  err,
	}
}

// Tick sends the read in progress again if it has gone unanswered for too long. It
// must be called at least ten times a second.
func (f *Follower) Tick() {
	f.mu.Lock()
	r := f.reading
	isDue := r != nil && f.isOverdue(r)
	var repeat Repeat
	if isDue {
		repeat = Repeat{
			Op:     r.op,
			Number: r.attempts,
			Seen:   f.seen,
			Heard:  f.heard,
		}
		r.sentAt = f.cfg.Clock.Now()
		r.endsAt = r.sentAt + f.cfg.Timing.MaxWatch
		r.patience = min(f.cfg.Timing.MaxRepeat, r.patience*2)
	}
	f.mu.Unlock()
	if !isDue {
		return
	}
	select {
	case r.repeat <- struct{}{}:
		f.cfg.Repeated(repeat)
	default:
		// The attempt before has not begun yet.
	}
}

// isOverdue reports whether the next attempt at r is due. A watch without an answer
// is overdue while others know a newer change, and once when the store should have
// ended it. A list is overdue in any case, and earlier if others read the store after
// it was sent. f.mu must be held.
func (f *Follower) isOverdue(r *read) bool {
	now := f.cfg.Clock.Now()
	if r.op == Watch {
		isLate := r.attempts == 1 && now >= r.endsAt+f.cfg.Timing.Late
		return isLate || f.isBehind() && now-max(r.sentAt, f.heardAt) >= r.patience
	}
	patience := r.patience
	if f.isBehind() && f.heardAt > r.sentAt {
		patience = f.cfg.Timing.MinRepeat
	}
	return now-r.sentAt >= patience
}

// isWorthRepeating reports whether a read whose attempts all failed is sent once
// more at once: a watch that has missed what others know. A list in its place would
// not tell a record that was removed from one that lapsed.
func (f *Follower) isWorthRepeating(r *read) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.op == Watch && r.attempts == 1 && f.isBehind()
}

// beginRead registers a read.
func (f *Follower) beginRead(op Op) *read {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = &read{
		op:       op,
		patience: f.cfg.Timing.MinRepeat,
		repeat:   make(chan struct{}, 1),
	}
	return f.reading
}

// countAttempt records that an attempt at r begins and returns its number.
func (f *Follower) countAttempt(r *read) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.attempts++
	r.sentAt = f.cfg.Clock.Now()
	r.endsAt = r.sentAt + f.cfg.Timing.MaxWatch
	return r.attempts - 1
}

// beginWatch returns how long the store may hold an attempt at a watch that is about to
// be sent. A repeat is to be answered soon, with what the first attempt missed or with
// nothing.
func (f *Follower) beginWatch(number int) clock.Milli {
	wait := f.cfg.Timing.MinRepeat
	if number == 0 {
		wait = f.watchWait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != nil {
		f.reading.endsAt = f.cfg.Clock.Now() + wait
	}
	return wait
}

// endRead ends the read in progress.
func (f *Follower) endRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = nil
}

func isHistoryLost(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == HistoryLost
}
