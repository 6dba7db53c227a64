// Package admin defines a daemon's operator interface: the paths that a daemon
// serves and the JSON values that it returns. The daemon writes the values and
// siskinctl reads them.
//
// All values are read-only reports. Durations and times are in milliseconds. A
// time on a daemon's own clock means nothing on another host, so observed states
// carry their age instead. Only the request log and the configuration history
// carry wall-clock times, for human readers. A reader ignores unknown fields and
// refuses a value whose [Format] differs.
package admin

import "siskinswitch.example/siskin/pkg/clock"

// Format is the version of this format. It is raised when a field changes its
// meaning, not when a field is added.
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
	// ArgID selects the entries about one request in the request log.
	ArgID = "id"
	// ArgMembers with the value [All] includes every member in the status.
	ArgMembers = "members"
	// ArgBuckets with any value includes the buckets in the burn report.
	ArgBuckets = "buckets"
	// All is the value that asks for everything.
	All = "all"
)

// Limits of answers.
const (
	// MaxLogEntries bounds the entries in one answer; the newest are returned.
	MaxLogEntries = 512
	// MaxAnswer bounds every answer in bytes. A reader refuses a longer one.
	MaxAnswer = 8 << 20
)

// UnknownAge stands in for the age of something that has not happened yet.
const UnknownAge clock.Milli = -1

// Head starts every JSON answer.
type Head struct {
	// Format is the constant [Format] of the daemon that answers.
	Format int `json:"format"`
	// Name is the name of the instance beside the daemon.
	Name string `json:"name"`
	// Time is the daemon's wall clock.
	Time clock.Milli `json:"time"`
}

// Header returns h. A reader calls it to check the head of any answer.
func (h Head) Header() Head { return h }
