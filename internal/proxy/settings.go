package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"

	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/quota"
	"siskinswitch.example/siskin/pkg/clock"
)

// Settings are the daemon's settings on the platform, in JSON. The platform
// fills them in from the template deploy/settings.json. Every number may be a
// fraction, in any form that JSON allows.
type Settings struct {
	// Name is the host's name, Address its IP address.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Centre and Region are the location of the host. Centres maps each data
	// centre to its region.
	Centre  string            `json:"centre"`
	Region  string            `json:"region"`
	Centres map[string]string `json:"centres"`
	// Service is the service of the host's target, Target the target's address.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Outbound, Inbound and Ready are the addresses to listen on: for callers
	// on the host, for other daemons and for the readiness check.
	Outbound string `json:"outbound"`
	Inbound  string `json:"inbound"`
	Ready    string `json:"ready"`
	// Metrics is the port on Address where metrics are served.
	Metrics float64 `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Memory is the memory limit of the process in MB.
	Memory float64 `json:"memory"`
	// Change is the time in milliseconds within which a change of the configuration
	// is in force after the store has acknowledged it; 0 means that of Drain.
	Change float64 `json:"change"`
	// Stable is the time in milliseconds after a disturbance of the store from which
	// on the platform counts on Change again; 0 means as long as Change.
	Stable float64 `json:"stable"`
	// Report is the interval in milliseconds at which targets write their records. A
	// record lapses when three of them have passed without; 0 means that it may lapse
	// at any time.
	Report float64 `json:"report"`
	// Drain is the time in milliseconds after which a leaving target gets no
	// new work. Grace is the time in seconds between the request to stop and
	// the kill.
	Drain float64 `json:"drain"`
	Grace float64 `json:"grace"`
	// Revoke is the time in milliseconds after which a key that was withdrawn must be
	// refused by every daemon, also by one that cannot read the store; 0 means that
	// such a daemon goes on with the keys that it knows.
	Revoke float64 `json:"revoke"`
	// Span, Over and Spare are the excess over the rate limits of client accounts that
	// the platform tolerates: in Span seconds, the requests of an account over all
	// daemons may exceed its limit by the share Over of it and by Spare. A Span of 0
	// puts no rate limits in force.
	Span  float64 `json:"span"`
	Over  float64 `json:"over"`
	Spare float64 `json:"spare"`
	// Ratio, Window and Slack define the retry budget of a service over all
	// daemons: in Window seconds, extra attempts may reach the share Ratio of
	// its requests plus Slack.
	Ratio  float64 `json:"ratio"`
	Window float64 `json:"window"`
	Slack  float64 `json:"slack"`
	// Learn says whether the daemon learns the concurrency limit and the speed of its
	// target: "on", "off", or "auto", which is also the default and means that it does
	// so where the configuration has client accounts or upload routes.
	Learn string `json:"learn"`
}

// Values of [Settings.Learn].
const (
	learnOn   = "on"
	learnOff  = "off"
	learnAuto = "auto"
)

// The greatest values of numbers in the settings.
const (
	maxPort    = 65_535
	maxMemory  = 1 << 20
	maxSeconds = 24 * 60 * 60
	maxMillis  = maxSeconds * 1000
	maxRatio   = 1000
	maxSlack   = 1 << 30
)

// ReadSettings decodes and validates settings. The error names the first
// invalid field. Unknown fields are ignored.
func ReadSettings(r io.Reader) (Settings, error) {
	var s Settings
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, s.validate()
}

// validate returns an error that names the first invalid field.
func (s *Settings) validate() error {
	texts := []struct {
		name  string
		value string
	}{
		{
			name:  "name",
			value: s.Name,
		},
		{
			name:  "centre",
			value: s.Centre,
		},
		{
			name:  "region",
			value: s.Region,
		},
		{
			name:  "service",
			value: s.Service,
		},
	}
	for _, t := range texts {
		if t.value == "" {
			return fmt.Errorf("settings: field %s is missing", t.name)
		}
	}
	if net.ParseIP(s.Address) == nil {
		return fmt.Errorf("settings: field address: %q is not an IP", s.Address)
	}
	addrs := []struct {
		name  string
		value string
	}{
		{
			name:  "target",
			value: s.Target,
		},
		{
			name:  "outbound",
			value: s.Outbound,
		},
		{
			name:  "inbound",
			value: s.Inbound,
		},
		{
			name:  "ready",
			value: s.Ready,
		},
		{
			name:  "store",
			value: s.Store,
		},
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("settings: field %s: %w", a.name, err)
		}
	}
	if s.Metrics < 1 || s.Metrics > maxPort || s.Metrics != math.Trunc(s.Metrics) {
		return fmt.Errorf("settings: field metrics: %v is not a port", s.Metrics)
	}
	numbers := []struct {
		name  string
		value float64
		least float64
		most  float64
	}{
		{
			name:  "memory",
			value: s.Memory,
			least: 1,
			most:  maxMemory,
		},
		{
			name:  "drain",
			value: s.Drain,
			least: 1,
			most:  maxMillis,
		},
		{
			name:  "grace",
			value: s.Grace,
			least: 1,
			most:  maxSeconds,
		},
		{
			name:  "window",
			value: s.Window,
			least: 1,
			most:  maxSeconds,
		},
		{
			name:  "change",
			value: s.Change,
			most:  maxMillis,
		},
		{
			name:  "stable",
			value: s.Stable,
			most:  maxMillis,
		},
		{
			name:  "report",
			value: s.Report,
			most:  maxMillis,
		},
		{
			name:  "revoke",
			value: s.Revoke,
			most:  maxMillis,
		},
		{
			name:  "span",
			value: s.Span,
			most:  maxSeconds,
		},
		{
			name:  "over",
			value: s.Over,
			most:  maxRatio,
		},
		{
			name:  "spare",
			value: s.Spare,
			most:  maxSlack,
		},
		{
			name:  "ratio",
			value: s.Ratio,
			most:  maxRatio,
		},
		{
			name:  "slack",
			value: s.Slack,
			most:  maxSlack,
		},
	}
	for _, n := range numbers {
		if n.value < n.least {
			return fmt.Errorf("settings: field %s: %v is below %v", n.name, n.value, n.least)
		}
		if n.value > n.most {
			return fmt.Errorf("settings: field %s: %v is above %v", n.name, n.value, n.most)
		}
	}
	switch s.Learn {
	case "", learnOn, learnOff, learnAuto:
	default:
		return fmt.Errorf("settings: field learn: %q is not on, off or auto", s.Learn)
	}
	if s.Centres[s.Centre] != s.Region {
		return fmt.Errorf("settings: field centres: %s is not in %s", s.Centre, s.Region)
	}
	return nil
}

// changeBound returns the time within which every change in the store must be in
// force: the configuration's, and the leave of a target.
func (s *Settings) changeBound() clock.Milli {
	if s.Change == 0 {
		return s.drainTime()
	}
	return clock.Milli(min(s.Change, s.Drain))
}

// The times of the settings, without what is less than a millisecond.

func (s *Settings) drainTime() clock.Milli { return clock.Milli(s.Drain) }

func (s *Settings) stableTime() clock.Milli { return clock.Milli(s.Stable) }

func (s *Settings) reportTime() clock.Milli { return clock.Milli(s.Report) }

func (s *Settings) revokeTime() clock.Milli { return clock.Milli(s.Revoke) }

func (s *Settings) graceTime() clock.Milli { return ofSeconds(s.Grace) }

func (s *Settings) windowTime() clock.Milli { return ofSeconds(s.Window) }

// quotaBounds returns the excess over rate limits that is tolerated.
func (s *Settings) quotaBounds() quota.Bounds {
	return quota.Bounds{
		Window: ofSeconds(s.Span),
		Over:   s.Over,
		Slack:  s.Spare,
	}
}

func ofSeconds(n float64) clock.Milli { return clock.Milli(n * float64(clock.Second)) }

// isLearning reports whether the daemon learns about its target with a configuration,
// nil if none is known.
func (s *Settings) isLearning(c *model.Config) bool {
	switch s.Learn {
	case learnOn:
		return true
	case learnOff:
		return false
	}
	return c.Learns()
}

// inboundPort returns the port of the inbound listener, which is the same on
// all hosts, or 0 if Inbound has no numeric port.
func (s *Settings) inboundPort() int {
	_, port, err := net.SplitHostPort(s.Inbound)
	if err != nil {
		return 0
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	return n
}
