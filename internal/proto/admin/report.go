package admin

import (
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/pkg/clock"
)

// RequestLog holds the newest decisions about requests, oldest first.
type RequestLog struct {
	Head
	// CompleteSince is the time from which the log has kept all decisions, 0
	// if it has never discarded one.
	CompleteSince clock.Milli    `json:"reach"`
	Entries       []reqlog.Entry `json:"entries"`
}

// ConfigHistory lists the configurations that were in force at a daemon, oldest
// first.
type ConfigHistory struct {
	Head
	// Started is the time when the daemon started. The history begins there.
	Started clock.Milli    `json:"born"`
	Periods []ConfigPeriod `json:"spans"`
}

// ConfigPeriod is the time during which one configuration was in force.
type ConfigPeriod struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// From is the daemon that sent the configuration, or "service" for the
	// configuration service.
	From string `json:"from"`
	// Start and End are wall-clock times. End is 0 for the current period.
	Start clock.Milli `json:"start"`
	End   clock.Milli `json:"end"`
}

// Burn counts calls against the service-level objectives. Only calls from
// outside are counted, by the daemon where they entered.
type Burn struct {
	Head
	// Age is the time for which the daemon has counted.
	Age clock.Milli `json:"age"`
	// Windows lists the lengths of the windows of Row.Sums, shortest first.
	Windows []clock.Milli `json:"windows"`
	// Width is the length of one bucket.
	Width      clock.Milli `json:"width"`
	Objectives []Objective `json:"goals"`
	Rows       []Row       `json:"rows"`
}

// Objective is the service-level objective of a service in the current rules.
type Objective struct {
	Service string `json:"service"`
	// Good is the share of calls that must be good, in parts per million.
	Good int64 `json:"good"`
	// Latency is the time within which a good call ends.
	Latency clock.Milli `json:"latency"`
}

// Row holds the counts for one combination of service, importance and caller.
type Row struct {
	Service    string `json:"service"`
	Importance string `json:"importance"`
	Caller     string `json:"caller"`
	// Sums has one count for each window.
	Sums []Count `json:"sums"`
	// Buckets holds one count for each bucket, the current one first.
	Buckets []Count `json:"buckets,omitempty"`
}

// Count is the number of good and of bad calls.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}
