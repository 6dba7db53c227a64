package spread

import (
	"errors"
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// startSpread is the time over which daemons that start together spread
	// their first reads.
	startSpread = clock.Second
	// calmShare and staleShare are the time between two seldom reads, for each
	// host of the fleet, while the value is confirmed and while it is not. The
	// whole fleet thus makes 2 or 20 reads a second, however large it is.
	calmShare  = 500 * clock.Millisecond
	staleShare = 50 * clock.Millisecond
	// calmFloor and staleFloor are the least times between seldom reads.
	calmFloor  = 30 * clock.Second
	staleFloor = 5 * clock.Second
	// staleAge is the age of the last confirmation from which the value counts
	// as unconfirmed.
	staleAge = 2 * clock.Minute
	// retryFirst and retryLast bound the time after a failed read.
	retryFirst = 500 * clock.Millisecond
	retryLast  = 8 * clock.Second
	// watchPause is the least time between two watches, repeatPause the one
	// after a watch that brought nothing new.
	watchPause  = 50 * clock.Millisecond
	repeatPause = clock.Second
	// lostRead is the age at which a read that never came back is given up.
	lostRead = 90 * clock.Second
)

// reader schedules the reads of the service.
type reader struct {
	watching bool
	watchAt  clock.Milli
	// watched is the version that the watch was to exceed.
	watched   uint64
	nextWatch clock.Milli
	getting   bool
	getAt     clock.Milli
	// nextGet is the instant of a read that is wanted soon, or Never.
	nextGet clock.Milli
	// jitter, in percent, sets daemons' seldom reads apart.
	jitter   int
	failures int
	// answers and errors count the reads that came back.
	answers int
	errors  int
}

func newReader(now clock.Milli, r *rand.Rand) reader {
	return reader{
		getAt:   now,
		nextGet: now + clock.Milli(r.Int64N(int64(startSpread))),
		jitter:  50 + r.IntN(100),
	}
}

// ReadCounts returns how many reads of the service succeeded and failed.
func (s *Store) ReadCounts() (succeeded, failed int) { return s.reads.answers, s.reads.errors }

// Reread asks for a read of the service soon.
func (s *Store) Reread(now clock.Milli) {
	s.reads.nextGet = now + clock.Milli(s.cfg.Rand.Int64N(int64(startSpread)))
}

func (s *Store) tickReads(now clock.Milli) {
	r := &s.reads
	if r.getting && now-r.getAt > lostRead {
		r.getting = false
	}
	if r.watching && now-r.watchAt > lostRead {
		r.watching = false
	}
	if !r.getting && s.getIsDue(now) {
		r.getting = true
		r.getAt = now
		r.nextGet = Never
		r.jitter = 50 + s.cfg.Rand.IntN(100)
		s.cfg.Read(Get, 0)
	}
	if s.duty.Reader && !r.watching && now >= r.nextWatch {
		r.watching = true
		r.watchAt = now
		r.watched = s.value.Version
		s.cfg.Read(Watch, s.value.Version)
	}
}

func (s *Store) getIsDue(now clock.Milli) bool {
	r := &s.reads
	if r.nextGet != Never {
		return now >= r.nextGet
	}
	wait := max(calmFloor, clock.Milli(s.duty.FleetSize)*calmShare)
	if s.confirmed == Never || now-s.confirmed > staleAge {
		wait = max(staleFloor, clock.Milli(s.duty.FleetSize)*staleShare)
	}
	return now-r.getAt >= wait*clock.Milli(r.jitter)/100
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
		r.errors++
		s.retry(now, kind)
		return
	}
	r.answers++
	r.failures = 0
	before := s.value.Version
	if data != nil {
		err = s.accept(now, data, FromService)
	}
	// A watch without news says nothing about a value that came meanwhile.
	if err == nil && s.value.Version > 0 && (data != nil || r.watched == s.value.Version) {
		s.confirmed = now
	}
	if kind == Get {
		r.getting = false
		return
	}
	r.watching = false
	r.nextWatch = now + watchPause
	if data != nil && s.value.Version == before {
		r.nextWatch = now + s.jittered(repeatPause)
	}
}

// retry schedules a read after one that failed. Only a daemon without a value
// repeats a seldom read; others wait for the next.
func (s *Store) retry(now clock.Milli, kind ReadKind) {
	r := &s.reads
	r.failures = min(r.failures+1, 10)
	wait := s.jittered(min(retryLast, retryFirst<<(r.failures-1)))
	if kind == Watch {
		r.watching = false
		r.nextWatch = now + wait
		return
	}
	r.getting = false
	if s.value.Version == 0 {
		r.nextGet = now + wait
	}
}

func (s *Store) jittered(d clock.Milli) clock.Milli {
	return d/2 + clock.Milli(s.cfg.Rand.Int64N(int64(d)))
}
