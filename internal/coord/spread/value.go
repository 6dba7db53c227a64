package spread

import (
	"math"

	"siskinswitch.example/siskin/pkg/clock"
)

// Never is the time before any other.
const Never = clock.Milli(math.MinInt64)

// Meta is the metadata that the check finds in the bytes of a value.
type Meta struct {
	Version uint64
	// Digest is the SHA-256 of the bytes in hex, Parent the digest of the
	// predecessor.
	Digest string
	Parent string
	Author string
	Reason string
}

// Value is a configuration value that passed the check. Its bytes must not be
// changed.
type Value struct {
	Meta
	Bytes []byte
}

// Refusal describes a value that was refused. If only an offer or a delta of
// it was seen, just Version and Digest are set.
type Refusal struct {
	Meta
	// At is the time of the refusal. From is the daemon that sent the value, or
	// FromService.
	At   clock.Milli
	From string
	Kind Kind
	// Detail is the text of the cause.
	Detail string
}

// Period is a time in which one value was active.
type Period struct {
	Meta
	// From is the daemon that sent the value, or FromService.
	From string
	// Start and End bound the period. End is Never while the value is active.
	Start clock.Milli
	End   clock.Milli
}

// FromService stands for the configuration service in the field From of
// [Period] and [Refusal].
const FromService = "service"

// ReadKind is a kind of read of the configuration service.
type ReadKind uint8

// Kinds of reads.
const (
	// Get returns the current value.
	Get ReadKind = iota + 1
	// Watch waits for a value newer than a given version. It may return without
	// one after a time that the service chooses.
	Watch
)
