package spread

import (
	"errors"
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// startJitter is the interval over which daemons that start together
	// distribute their first reads.
	startJitter = clock.Second
	// confirmedReadShare and unconfirmedReadShare, times the number of hosts,
	// give the interval between two periodic reads of a daemon while its value
	// is confirmed and while it is not. The whole fleet thus makes 2 or 20
	// reads a second, whatever its size.
	confirmedReadShare   = 500 * clock.Millisecond
	unconfirmedReadShare = 50 * clock.Millisecond
	// confirmedMinWait and unconfirmedMinWait are the minimum intervals between
	// periodic reads.
	confirmedMinWait   = 30 * clock.Second
	unconfirmedMinWait = 5 * clock.Second
	// maxConfirmationAge is the age of the latest confirmation beyond which the
	// value counts as unconfirmed.
	maxConfirmationAge = 2 * clock.Minute
	// minBackoff and maxBackoff bound the delay after a failed read, before
	// jitter.
	minBackoff = 500 * clock.Millisecond
	maxBackoff = 8 * clock.Second
	// minWatchPause is the pause after a watch. staleWatchPause is the one
	// after a watch that returned a value which did not become active.
	minWatchPause   = 50 * clock.Millisecond
	staleWatchPause = clock.Second
	// readTimeout is the age at which a read without an outcome is given up.
	readTimeout = 90 * clock.Second
)

// readSchedule holds the state of the reads of the configuration service. At
// most one Get and one Watch are pending.
type readSchedule struct {
	watchPending   bool
	watchStartedAt clock.Milli
	// watchAfter is the version that the result of the pending watch must
	// exceed.
	watchAfter   uint64
	nextWatch    clock.Milli
	getPending   bool
	getStartedAt clock.Milli
	// nextGet is the time of a requested Get or of a retry, or Never if the
	// next Get is a periodic one.
	nextGet clock.Milli
	// jitterPercent scales the interval to the next periodic read, so that the
	// daemons' reads do not coincide.
	jitterPercent int
	// failures counts consecutive failed reads, for the backoff.
	failures int
	// succeeded and failed count the reads that returned.
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

// ReadCounts returns how many reads of the service have succeeded and failed.
func (s *Store) ReadCounts() (succeeded, failed int) { return s.reads.succeeded, s.reads.failed }

// Reread schedules a read of the service within startJitter.
func (s *Store) Reread(now clock.Milli) {
	s.reads.nextGet = now + clock.Milli(s.cfg.Rand.Int64N(int64(startJitter)))
}

// startReads starts the reads that are due and gives up those that timed out.
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

// ReadDone handles the outcome of a read. For a Watch that returned without a
// new value, data and err are nil.
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
	// An empty watch confirms the active value only if the watch was started
	// with its version.
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

// scheduleRetry schedules the next read after a failed one. A failed Get is
// retried early only by a daemon without a value; others wait for the next
// periodic one.
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

// withJitter returns a random duration between half of d and one and a half d.
func (s *Store) withJitter(d clock.Milli) clock.Milli {
	return d/2 + clock.Milli(s.cfg.Rand.Int64N(int64(d)))
}
