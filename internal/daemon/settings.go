package daemon

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds and defaults of settings.
const (
	maxPort        = 65_535
	maxSlots       = 10_000
	maxConns       = 100_000
	defaultWindow  = 10 * clock.Minute
	minWindow      = clock.Second
	maxWindow      = clock.Hour
	defaultEntries = 65_536
	minEntries     = 16
	maxEntries     = 1_000_000
	defaultAnswers = 16 << 20
	minAnswers     = 1 << 20
	maxAnswers     = 64 << 20
	// defaultLink, in bytes a second, is four fifths of 30 Mbit/s.
	defaultLink     = 3_000_000
	maxLink         = 1 << 30
	defaultPatience = 250 * clock.Millisecond
	minPatience     = 10 * clock.Millisecond
	maxPatience     = clock.Minute
	defaultGrace    = 20 * clock.Second
	maxGrace        = 10 * clock.Minute
	defaultBody     = 1 << 20
	minBody         = 1 << 10
	maxBody         = 8 << 20
	defaultTrail    = 4096
	maxTrail        = 65_536
)

// Settings configure one daemon: its place in the fleet, its addresses and its
// target. The configuration of the fleet comes from the published document.
type Settings struct {
	// Name is the name of the daemon's instance in the inventory.
	Name   string `json:"name"`
	Region string `json:"region"`
	Centre string `json:"centre"`
	// Host is the IP address that the daemon listens on.
	Host     string `json:"host"`
	Inbound  int    `json:"inbound"`
	Outbound int    `json:"outbound"`
	Control  int    `json:"control"`
	Operator int    `json:"operator"`
	// Target is the "ip:port" of the target beside the daemon.
	Target string `json:"target"`
	// Slots is the number of requests that the target serves concurrently, and
	// Conns the number of connections that it accepts.
	Slots int `json:"slots"`
	Conns int `json:"conns"`
	// Store and Roster are the "ip:port" of the configuration service and of the
	// service that lists hosts.
	Store  string `json:"store"`
	Roster string `json:"roster,omitempty"`
	// Keys are the fleet's secret keys in hexadecimal, the newest first.
	Keys []string `json:"keys"`
	// Peers are the "ip:port" control addresses of daemons to contact before an
	// inventory is known.
	Peers []string `json:"peers,omitempty"`
	// Window is how long, in milliseconds, the outcome of a non-idempotent request
	// is kept.
	Window clock.Milli `json:"window,omitempty"`
	// Entries bounds the non-idempotent requests whose outcomes are kept.
	Entries int `json:"entries,omitempty"`
	// Answers bounds the total size of the answers kept for these requests, in
	// bytes.
	Answers int `json:"answers,omitempty"`
	// Link is the budget, in bytes a second, that the daemons of a region share
	// for calls to other regions.
	Link int64 `json:"link,omitempty"`
	// Patience is the minimum time, in milliseconds, before the daemon queries a
	// guard for the outcome of an unanswered attempt.
	Patience clock.Milli `json:"patience,omitempty"`
	// Grace bounds the time, in milliseconds, that Stop waits for in-flight
	// requests.
	Grace clock.Milli `json:"grace,omitempty"`
	// Body bounds the body of a request or an answer, in bytes.
	Body int `json:"body,omitempty"`
	// Trail is the number of entries in the request log for operators.
	Trail int `json:"trail,omitempty"`
	// Log is the minimum level that is logged: debug, info, warn or error.
	Log string `json:"log,omitempty"`
	// Profile enables the profiler on the operator port.
	Profile bool `json:"profile,omitempty"`
}

// ReadSettings reads one JSON object, fills in the defaults and checks the
// settings. An unknown field and text after the object are errors.
func ReadSettings(r io.Reader) (Settings, error) {
	var s Settings
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return s, errors.New("settings: unexpected text after the closing brace")
	}
	s = s.WithDefaults()
	return s, s.Check()
}

// decodeError turns an error of the JSON decoder into one like those of
// [Settings.Check].
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return invalid(mismatch.Field, "a JSON "+mismatch.Value, jsonTypeName(mismatch.Type.Kind()))
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("settings: unknown setting %s; docs/CONFIG.md lists all settings", field)
	}
	return fmt.Errorf("settings: not a JSON object: %w", err)
}

func jsonTypeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "an array of strings"
	default:
		return "a whole number"
	}
}

// WithDefaults returns a copy of s with the default in each optional field that
// is zero.
func (s Settings) WithDefaults() Settings {
	s.Window = orDefault(s.Window, defaultWindow)
	s.Entries = orDefault(s.Entries, defaultEntries)
	s.Answers = orDefault(s.Answers, defaultAnswers)
	s.Link = orDefault(s.Link, defaultLink)
	s.Patience = orDefault(s.Patience, defaultPatience)
	s.Grace = orDefault(s.Grace, defaultGrace)
	s.Body = orDefault(s.Body, defaultBody)
	s.Trail = orDefault(s.Trail, defaultTrail)
	s.Log = orDefault(s.Log, "info")
	return s
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// secrets returns the decoded keys. The settings must have passed Check.
func (s Settings) secrets() [][]byte {
	keys := make([][]byte, 0, len(s.Keys))
	for _, key := range s.Keys {
		raw, _ := hex.DecodeString(key)
		keys = append(keys, raw)
	}
	return keys
}

// addr returns the "ip:port" of a port on the daemon's host.
func (s Settings) addr(port int) string { return net.JoinHostPort(s.Host, strconv.Itoa(port)) }
