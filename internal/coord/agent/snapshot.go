package agent

import (
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// Snapshot is the data that the control goroutine publishes to other
// goroutines. It is immutable: neither the snapshot nor the data it refers to
// is changed after it is published.
type Snapshot struct {
	// At is the time at which the snapshot was made.
	At clock.Milli
	// Ready reports that the service and the peers were asked and a
	// configuration is active. It never becomes false again.
	Ready bool
	// Stale reports that the process was paused and has not yet asked the
	// service and the peers again. The data may be outdated, so the daemon must
	// not issue tickets from it.
	Stale bool
	// Self is the daemon's own record.
	Self member.Record
	// Members holds all listed hosts except the daemon's own, sorted by host.
	Members []member.Member
	// Leaving maps each leaving host to the source of that knowledge.
	Leaving map[string]LeavingSource
	// Value is the active configuration.
	Value spread.Value
	// Confirmed is the latest time at which Value is known to have been the
	// newest configuration at the service, or Never.
	Confirmed clock.Milli
	// Refused lists the latest refused values, oldest first.
	Refused []spread.Refusal
	// History lists the periods in which values were active, oldest first.
	History []spread.Period
	// Reader and Relay report the current duties of the daemon.
	Reader bool
	Relay  bool
}

// Never is the time before any other.
const Never = spread.Never

// LeavingSource is the source of the knowledge that a host is leaving.
type LeavingSource uint8

// Sources, the most reliable last.
const (
	// ListedLeaving means that only the platform's list shows the host as
	// leaving.
	ListedLeaving LeavingSource = iota + 1
	// MarkedLeaving means that the host's own daemon marked its process as
	// leaving.
	MarkedLeaving
)
