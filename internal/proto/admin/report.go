package admin

import (
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/pkg/clock"
)

// RequestLog holds the newest decisions about one request, oldest first.
type RequestLog struct {
	Head
	// CompleteSince is the time since which the daemon has forgotten no decision, 0 if
	// it has never forgotten one.
	CompleteSince clock.Milli    `json:"reach"`
	Entries       []reqlog.Entry `json:"entries"`
}

// ConfigHistory tells what was in force at a daemon and when, oldest first.
type ConfigHistory struct {
	Head
	// Started is when the daemon started; it knows nothing from before.
	Started clock.Milli    `json:"born"`
	Periods []ConfigPeriod `json:"spans"`
}

// ConfigPeriod is the time for which one configuration was in force.
type ConfigPeriod struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// From is the daemon or "service" that brought it.
	From string `json:"from"`
	// Start and End are wall-clock times. End is 0 while it lasts.
	Start clock.Milli `json:"start"`
	End   clock.Milli `json:"end"`
}

// Burn holds a daemon's counts against the service-level objectives. Only
// calls from outside count, at the daemon where they entered.
type Burn struct {
	Head
	// Age is how long the daemon has counted.
	Age clock.Milli `json:"age"`
	// Windows are the lengths that Sums are over, the shortest first.
	Windows []clock.Milli `json:"windows"`
	// Width is the width of the buckets.
	Width      clock.Milli `json:"width"`
	Objectives []Objective `json:"goals"`
	Rows       []Row       `json:"rows"`
}

// Objective is the objective of a service in the rules in force.
type Objective struct {
	Service string `json:"service"`
	// Good is the parts of a million that must be good.
	Good int64 `json:"good"`
	// Latency is the time within which a good call is done.
	Latency clock.Milli `json:"latency"`
}

// Row holds the counts of one service, importance and caller.
type Row struct {
	Service    string `json:"service"`
	Importance string `json:"importance"`
	Caller     string `json:"caller"`
	// Sums has one count for each window.
	Sums []Count `json:"sums"`
	// Buckets are by age, the present one first.
	Buckets []Count `json:"buckets,omitempty"`
}

// Count is a number of good and a number of bad calls.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}
