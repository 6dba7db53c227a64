package agent

import (
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// Snapshot is what the control goroutine publishes to the others. It is
// immutable: nobody changes it or what it points to after it is published.
type Snapshot struct {
	// At is the instant at which the snapshot was made.
	At clock.Milli
	// Ready says that the service and the peers were asked and that a value
	// is in force. It never turns back.
	Ready bool
	// Stale says that the process was paused and has not yet asked again;
	// what it believes may be old, and it must mint nothing meanwhile.
	Stale bool
	// Self is the daemon's own record.
	Self member.Record
	// Members holds all known hosts but the daemon's own, sorted by host.
	Members []member.Member
	// Leaving maps each leaving host to where that was learned.
	Leaving map[string]LeavingSource
	// Value is the configuration in force.
	Value spread.Value
	// Confirmed is the instant up to which Value is known to have been the
	// newest one at the service, or Never.
	Confirmed clock.Milli
	// Refused lists the latest values that were refused, oldest first.
	Refused []spread.Refusal
	// History lists what was in force from when to when, oldest first.
	History []spread.Period
	// Reader and Relay say which duties the daemon has at present.
	Reader bool
	Relay  bool
}

// Never is the instant before any other.
const Never = spread.Never

// LeavingSource says how a host is known to be leaving.
type LeavingSource uint8

// Sources of a leaving mark, the strongest last.
const (
	// ListedLeaving is a host that only the platform's list calls leaving.
	ListedLeaving LeavingSource = iota + 1
	// MarkedLeaving is a host whose daemon said so itself.
	MarkedLeaving
)
