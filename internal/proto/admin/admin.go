// Package admin is the format of a daemon's operator interface: the paths that
// a daemon answers and the JSON values that it answers with. The daemon writes
// them and siskinctl reads them.
//
// All values are read-only reports. An instant on a daemon's own clock means
// nothing elsewhere, so beliefs carry their age; the trail and the record carry
// wall-clock times, which are for people only. Durations and instants are in
// milliseconds. A reader ignores fields that it does not know, and refuses a
// value of another [Format].
package admin

import "siskinswitch.example/siskin/pkg/clock"

// Format is the number of this format. It grows when a field changes its
// meaning, not when one is added.
const Format = 1

// Paths of the operator interface.
const (
	PathStatus   = "/status"
	PathTrail    = "/trail"
	PathRecord   = "/record"
	PathBurn     = "/burn"
	PathDocument = "/document"
	PathReady    = "/ready"
	PathMetrics  = "/metrics"
	PathProfile  = "/debug/pprof"
)

// Query arguments.
const (
	// ArgID selects the decisions about one request in the trail.
	ArgID = "id"
	// ArgMembers with the value "all" asks for every member in the status.
	ArgMembers = "members"
	// ArgBuckets with any value asks for buckets in the burn.
	ArgBuckets = "buckets"
	// All is the value that asks for everything.
	All = "all"
)

// Bounds of answers.
const (
	// MaxLogEntries bounds the decisions in one answer; the newest are given.
	MaxLogEntries = 512
	// MaxAnswer bounds any answer in bytes, so that a reader can refuse more.
	MaxAnswer = 8 << 20
)

// UnknownAge stands for an age that is not known, because what it would be the
// age of has not happened.
const UnknownAge clock.Milli = -1

// Head starts every answer in JSON.
type Head struct {
	// Format is the constant of the same name.
	Format int `json:"format"`
	// Name is the instance beside the daemon.
	Name string `json:"name"`
	// Time is the daemon's wall clock.
	Time clock.Milli `json:"time"`
}

// Header returns h. It lets a reader check any answer.
func (h Head) Header() Head { return h }
