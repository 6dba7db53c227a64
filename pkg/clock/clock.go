// Package clock defines the time of siskinswitch, in whole milliseconds.
//
// Code that makes decisions takes the current time as a [Milli] argument. Code
// that waits takes a [Clock], a struct of functions, so that a test can pass the
// clock of a [Fake].
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Units of [Milli] durations.
const (
	Millisecond Milli = 1
	Second            = 1000 * Millisecond
	Minute            = 60 * Second
	Hour              = 60 * Minute
)

// Milli is an instant or a duration in milliseconds. The origin of instants differs
// between processes, so an instant must never be sent to another process; a
// duration may. Instants are greater than 0, so a field that holds 0 holds none.
type Milli int64

// firstInstant is the least instant of a system clock.
const firstInstant = Second

// Duration converts the duration m to a time.Duration.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds. It rounds up, so that a positive wait
// never becomes zero.
func FromDuration(d time.Duration) Milli {
	return Milli((d + time.Millisecond - 1) / time.Millisecond)
}

// Clock reads and waits for time.
type Clock struct {
	// Now returns the current instant of the host's monotonic clock.
	Now func() Milli
	// Boot returns the current instant of a clock that also goes on while the host or
	// the process is suspended, unlike that of Now. Its instants are not comparable
	// with those of Now.
	Boot func() Milli
	// Wall returns the time of the host's wall clock, in milliseconds since the
	// Unix epoch. It is only for records that people read.
	Wall func() Milli
	// After returns a channel that receives one value after d.
	After func(d Milli) <-chan time.Time
}

// System returns the clock of the host.
func System() Clock {
	origin := time.Now().Add(-firstInstant.Duration())
	return Clock{
		Now:   func() Milli { return Milli(time.Since(origin).Milliseconds()) },
		Boot:  bootTime,
		Wall:  func() Milli { return Milli(time.Now().UnixMilli()) },
		After: func(d Milli) <-chan time.Time { return time.After(d.Duration()) },
	}
}

// bootTime reads the clock of the host that counts from its boot, suspensions
// included.
func bootTime() Milli {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // can't happen: the clock is as old as Linux 2.6.39
	}
	return firstInstant + Milli(ts.Nano()/int64(time.Millisecond))
}

// Fake is a clock that advances only by calls of [Fake.Advance]. It is safe for
// concurrent use.
type Fake struct {
	mu    sync.Mutex
	now   Milli
	waits []wait
}

type wait struct {
	at Milli
	ch chan time.Time
}

// NewFake returns a fake clock whose current instant is start. With a start of 0, the
// first instant can't be told from none.
func NewFake(start Milli) *Fake { return &Fake{now: start} }

// Clock returns a Clock that reads f. Its wall clock returns the same instants as
// its monotonic clock.
func (f *Fake) Clock() Clock {
	return Clock{
		Now:   f.Now,
		Boot:  f.Now,
		Wall:  f.Now,
		After: f.after,
	}
}

// Now returns the current instant of f.
func (f *Fake) Now() Milli {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves f forward by d and ends the waits that are due by then.
func (f *Fake) Advance(d Milli) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
	kept := f.waits[:0]
	for _, w := range f.waits {
		if w.at > f.now {
			kept = append(kept, w)
			continue
		}
		w.ch <- time.UnixMilli(int64(f.now))
	}
	f.waits = kept
}

func (f *Fake) after(d Milli) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- time.UnixMilli(int64(f.now))
		return ch
	}
	f.waits = append(f.waits, wait{
		at: f.now + d,
		ch: ch,
	})
	return ch
}
