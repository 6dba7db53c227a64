package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/clock"
)

// maxSpeed is the highest speed of a target, as a multiple of the normal one.
const maxSpeed = 1000

// isValidSpeed reports whether v is a valid speed.
func isValidSpeed(v float64) bool { return v > 0 && v <= maxSpeed }

// settings is the content of a settings file: the fakes to start.
type settings struct {
	Store   *storeSettings   `json:"store,omitempty"`
	Roster  *rosterSettings  `json:"roster,omitempty"`
	Targets []targetSettings `json:"targets,omitempty"`
}

// storeSettings configures a configuration service that publishes the content of
// a file, and publishes it again whenever it changes.
type storeSettings struct {
	Addr string `json:"addr"`
	File string `json:"file"`
	// Rate is the limit in reads a second; zero means [fakes.DefaultRate].
	Rate int `json:"rate,omitempty"`
}

// rosterSettings configures a list of hosts; see [fakes.RosterConfig].
type rosterSettings struct {
	Addr  string       `json:"addr"`
	Lag   clock.Milli  `json:"lag,omitempty"`
	Hosts []fakes.Host `json:"hosts"`
}

// targetSettings configures a target; see [fakes.TargetConfig].
type targetSettings struct {
	Addr       string                     `json:"addr"`
	Name       string                     `json:"name"`
	Slots      int                        `json:"slots"`
	Conns      int                        `json:"conns"`
	Operations map[string]fakes.Operation `json:"operations"`
	Outbound   string                     `json:"outbound,omitempty"`
	Retries    int                        `json:"retries,omitempty"`
	Cold       fakes.ColdStart            `json:"cold"`
	ReportLag  clock.Milli                `json:"reportLag,omitempty"`
	Seed       uint64                     `json:"seed,omitempty"`
	// Speed is the speed of the target, above 0; nil means 1, the normal speed.
	Speed *float64 `json:"speed,omitempty"`
}

func (s targetSettings) config() fakes.TargetConfig {
	return fakes.TargetConfig{
		Addr:       s.Addr,
		Name:       s.Name,
		Slots:      s.Slots,
		Conns:      s.Conns,
		Operations: s.Operations,
		Outbound:   s.Outbound,
		Retries:    s.Retries,
		Cold:       s.Cold,
		ReportLag:  s.ReportLag,
		Seed:       s.Seed,
	}
}

// readSettings reads and checks the settings in the file at path.
func readSettings(path string) (settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings{}, err
	}
	var s settings
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return settings{}, fmt.Errorf("%s: %w", path, err)
	}
	for i, t := range s.Targets {
		if speed := t.speedOrDefault(); !isValidSpeed(speed) {
			return settings{}, fmt.Errorf("%s: targets[%d].speed is %v; it must be above 0 and at most %d", path, i, speed, maxSpeed)
		}
	}
	return s, nil
}

// example returns settings that show each field in use.
func example() settings {
	return settings{
		Store: &storeSettings{
			Addr: "127.0.0.1:7001",
			File: "rules.json",
		},
		Roster: &rosterSettings{
			Addr: "127.0.0.1:7002",
			Lag:  10 * clock.Second,
			Hosts: []fakes.Host{
				{
					Name: "ledger-1",
					Addr: "127.0.0.1",
				},
			},
		},
		Targets: []targetSettings{
			{
				Addr:  "127.0.0.1:7101",
				Name:  "ledger-1",
				Slots: 30,
				Conns: 300,
				Operations: map[string]fakes.Operation{
					"ledger/book": {
						ServiceTime: 20,
						Jitter:      0.3,
						Calls:       []string{"balance/move"},
						AtMostOnce:  true,
					},
				},
				Outbound: "127.0.0.1:7201",
				Cold: fakes.ColdStart{
					Length: 5 * clock.Second,
					Factor: 4,
				},
				ReportLag: 2 * clock.Second,
				Seed:      1,
			},
		},
	}
}
