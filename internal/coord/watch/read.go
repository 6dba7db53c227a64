package watch

import "siskinswitch.example/siskin/pkg/clock"

// Op says what a read asks the store for.
type Op string

// Ops of reads, as they appear in logs and metrics.
const (
	List  Op = "list"
	Watch Op = "watch"
)

// Read is a read that ended.
type Read struct {
	Op Op
	// Took is the time from when it was sent.
	Took clock.Milli
	// Err is nil if the store answered.
	Err error
}

// timed does a read and reports it.
func (f *Follower) timed(op Op, read func() (Page, error)) (Page, error) {
	began := f.cfg.Clock.Now()
	page, err := read()
	f.cfg.ReadEnded(Read{
		Op:   op,
		Took: f.cfg.Clock.Now() - began,
		Err:  err,
	})
	return page, err
}
