// Package side is the daemon on the users' platform: it joins the store's
// records, the two sides of the data path, readiness and metrics to one
// process, and takes it through start, reload and stop.
package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
)

// Settings are the daemon's settings on the platform, in JSON. The platform
// fills them in from deploy/settings.json.
type Settings struct {
	// Name is the name of the host, Address its IP.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Centre and Region place the host; Centres maps each data centre to its
	// region.
	Centre  string            `json:"centre"`
	Region  string            `json:"region"`
	Centres map[string]string `json:"centres"`
	// Service is that of the target on the host, Target its address.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Outbound, Inbound and Ready are the addresses to listen on.
	Outbound string `json:"outbound"`
	Inbound  string `json:"inbound"`
	Ready    string `json:"ready"`
	// Metrics is the port of the metrics.
	Metrics int `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Memory is the limit of the process, in MB.
	Memory int `json:"memory"`
	// Drain is the time in ms after which a leaving target gets no new work,
	// Grace the time in seconds between a request to stop and the kill.
	Drain int `json:"drain"`
	Grace int `json:"grace"`
	// Ratio and Slack bound the repeats at a service in Window seconds.
	Ratio  float64 `json:"ratio"`
	Window int     `json:"window"`
	Slack  int     `json:"slack"`
}

// ReadSettings reads and checks settings. The error names the first field at
// fault. Fields that are not known are passed over.
func ReadSettings(r io.Reader) (Settings, error) {
	var s Settings
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, s.validate()
}

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
	if s.Metrics < 1 || s.Metrics > 65_535 {
		return fmt.Errorf("settings: field metrics: %d is not a port", s.Metrics)
	}
	numbers := []struct {
		name  string
		value float64
		least float64
	}{
		{
			name:  "memory",
			value: float64(s.Memory),
			least: 1,
		},
		{
			name:  "drain",
			value: float64(s.Drain),
			least: 1,
		},
		{
			name:  "grace",
			value: float64(s.Grace),
			least: 1,
		},
		{
			name:  "window",
			value: float64(s.Window),
			least: 1,
		},
		{
			name:  "ratio",
			value: s.Ratio,
		},
		{
			name:  "slack",
			value: float64(s.Slack),
		},
	}
	for _, n := range numbers {
		if n.value < n.least {
			return fmt.Errorf("settings: field %s: %v is below %v", n.name, n.value, n.least)
		}
	}
	if s.Centres[s.Centre] != s.Region {
		return fmt.Errorf("settings: field centres: %s is not in %s", s.Centre, s.Region)
	}
	return nil
}

// inboundPort returns the port of the inbound side, which is the same on all
// hosts.
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
