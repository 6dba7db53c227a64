package spread

import (
	"errors"
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// startJitter is the time over which daemons that start together spread
	// their first reads.
	startJitter = clock.Second
	// confirmedReadShare and staleShare are the time between two seldom reads, for each
	// host of the fleet, while the value is confirmed and while it is not. The
	// whole fleet thus makes 2 or 20 reads a second, however large it is.
	confirmedReadShare   = 500 * clock.Millisecond
	unconfirmedReadShare = 50 * clock.Millisecond
	// confirmedMinWait and staleFloor are the least times between seldom reads.
	confirmedMinWait   = 30 * clock.Second
	unconfirmedMinWait = 5 * clock.Second
	// maxConfirmationAge is the age of the last confirmation from which the value counts
	// as unconfirmed.
	maxConfirmationAge = 2 * clock.Minute
	// minBackoff and retryLast bound the time after a failed read.
	minBackoff = 500 * clock.Millisecond
	maxBackoff = 8 * clock.Second
	// minWatchPause is the least time between two watches, repeatPause the one
	// after a watch that brought nothing new.
	minWatchPause   = 50 * clock.Millisecond
	staleWatchPause = clock.Second
	// readTimeout is the age at which a read that never came back is given up.
	readTimeout = 90 * clock.Second
)

// readSchedule schedules the reads of the service.
type readSchedule struct {
	watchPending   bool
	watchStartedAt clock.Milli
	// watchAfter is the version that the watch was to exceed.
	watchAfter   uint64
	nextWatch    clock.Milli
	getPending   bool
	getStartedAt clock.Milli
	// nextGet is the instant of a read that is wanted soon, or Never.
	nextGet clock.Milli
	// jitterPercent, in percent, sets daemons' seldom reads apart.
	jitterPercent int
	failures      int
	// succeeded and errors count the reads that came back.
	succeeded int
	failed    int
}

func newReadSchedule(now clock.Milli, r *rand.Rand) readSchedule {
	return readSchedule{
		getStartedAt:  now,
		nextGet:       now + clock.Milli(r.Int64N(int64(startJitter))),
		jitterPercent: 50 + r.IntN(100),
	}
}

// ReadCounts returns how many reads of the service succeeded and failed.
func (s *Store) ReadCounts() (succeeded, failed int) { return s.reads.succeeded, s.reads.failed }

// Reread asks for a read of the service soon.
func (s *Store) Reread(now clock.Milli) {
	s.reads.nextGet = now + clock.Milli(s.cfg.Rand.Int64N(int64(startJitter)))
}

func (s *Store) startReads(now clock.Milli) {
	r := &s.reads
	if r.getPending && now-r.getStartedAt > readTimeout {
		r.getPending = false
	}
	if r.watchPending && now-r.watchStartedAt > readTimeout {
		r.watchPending = false
	}
	if !r.getPending && s.isGetDue(now) {
		r.getPending = true
		r.getStartedAt = now
		r.nextGet = Never
		r.jitterPercent = 50 + s.cfg.Rand.IntN(100)
		s.cfg.Read(Get, 0)
	}
	if s.duty.Reader && !r.watchPending && now >= r.nextWatch {
		r.watchPending = true
		r.watchStartedAt = now
		r.watchAfter = s.active.Version
		s.cfg.Read(Watch, s.active.Version)
	}
}

func (s *Store) isGetDue(now clock.Milli) bool {
	r := &s.reads
	if r.nextGet != Never {
		return now >= r.nextGet
	}
	wait := max(confirmedMinWait, clock.Milli(s.duty.FleetSize)*confirmedReadShare)
	if s.confirmedAt == Never || now-s.confirmedAt > maxConfirmationAge {
		wait = max(unconfirmedMinWait, clock.Milli(s.duty.FleetSize)*unconfirmedReadShare)
	}
	return now-r.getStartedAt >= wait*clock.Milli(r.jitterPercent)/100
}

var errAnswer = errors.New("service answered without a value")

// ReadDone takes in the outcome of a read. A watch that ended without news has
// neither data nor an error.
func (s *Store) ReadDone(now clock.Milli, kind ReadKind, data []byte, err error) {
	r := &s.reads
	if kind == Get && data == nil && err == nil {
		err = errAnswer
	}
	if err != nil {
		r.failed++
		s.scheduleRetry(now, kind)
		return
	}
	r.succeeded++
	r.failures = 0
	before := s.active.Version
	if data != nil {
		err = s.accept(now, data, FromService)
	}
	// A watch without news says nothing about a value that came meanwhile.
	if err == nil && s.active.Version > 0 && (data != nil || r.watchAfter == s.active.Version) {
		s.confirmedAt = now
	}
	if kind == Get {
		r.getPending = false
		return
	}
	r.watchPending = false
	r.nextWatch = now + minWatchPause
	if data != nil && s.active.Version == before {
		r.nextWatch = now + s.withJitter(staleWatchPause)
	}
}

// scheduleRetry schedules a read after one that failed. Only a daemon without a value
// repeats a seldom read; others wait for the next.
func (s *Store) scheduleRetry(now clock.Milli, kind ReadKind) {
	r := &s.reads
	r.failures = min(r.failures+1, 10)
	wait := s.withJitter(min(maxBackoff, minBackoff<<(r.failures-1)))
	if kind == Watch {
		r.watchPending = false
		r.nextWatch = now + wait
		return
	}
	r.getPending = false
	if s.active.Version == 0 {
		r.nextGet = now + wait
	}
}

func (s *Store) withJitter(d clock.Milli) clock.Milli {
	return d/2 + clock.Milli(s.cfg.Rand.Int64N(int64(d)))
}
