package flow

import (
	"sync/atomic"

	"siskinswitch.example/siskin/pkg/clock"
)

// activity tells when requests of some kind were last active. The zero value is ready
// for use, and safe for concurrent use.
type activity struct {
	inProgress atomic.Int64
	// lastArrival is the instant at which the last request arrived.
	lastArrival atomic.Int64
}

// begin records a request that arrived at the given instant.
func (a *activity) begin(arrived clock.Milli) {
	a.inProgress.Add(1)
	a.lastArrival.Store(int64(arrived))
}

// end records that a request has been answered.
func (a *activity) end() { a.inProgress.Add(-1) }

// quietSince returns the instant since which no request arrived or was in progress.
func (a *activity) quietSince(now clock.Milli) clock.Milli {
	if a.inProgress.Load() > 0 {
		return now
	}
	return clock.Milli(a.lastArrival.Load())
}
