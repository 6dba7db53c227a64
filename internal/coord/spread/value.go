package spread

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

// Never is the instant before any other.
const Never = clock.Milli(math.MinInt64)

// Meta is what a check learns about the bytes of a value.
type Meta struct {
	Version uint64
	// Digest is the hex SHA-256 of the bytes, Parent that of the predecessor.
	Digest string
	Parent string
	Author string
	Reason string
}

// Value is a checked configuration value. Its bytes must not be changed.
type Value struct {
	Meta
	Bytes []byte
}

// Refusal is a value, or the mention of one, that was not taken.
type Refusal struct {
	Meta
	// At is the instant, From the daemon or "service" that brought it.
	At   clock.Milli
	From string
	Kind Kind
	// Detail says in words what was wrong.
	Detail string
}

// Period is an entry of the record of what was in force.
type Period struct {
	Meta
	// From is the daemon or "service" that brought the value.
	From string
	// Start and End bound the time in force. End is Never while it lasts.
	Start clock.Milli
	End   clock.Milli
}

// FromService is the name of the configuration service in [Period] and [Refusal].
const FromService = "service"

// ReadKind is a way to read the configuration service.
type ReadKind uint8

// Requests to the configuration service.
const (
	// Get reads the present value.
	Get ReadKind = iota + 1
	// Watch waits for a value newer than the one that the reader names. It
	// may come back without one after a time that the service chooses.
	Watch
)
