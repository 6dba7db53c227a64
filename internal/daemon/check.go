package daemon

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
)

// FieldError reports a setting whose value is not allowed.
type FieldError struct {
	Field string
	Value string
	// Allowed describes the values that are allowed.
	Allowed string
}

// Error returns one line that names the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %s, allowed is %s", e.Field, e.Value, e.Allowed)
}

// Check returns a [*FieldError] for the first setting whose value is not
// allowed, and nil if all of them are.
func (s Settings) Check() error {
	checks := []error{
		checkName("name", s.Name),
		checkName("region", s.Region),
		checkName("centre", s.Centre),
		checkIP("host", s.Host),
		checkPort("inbound", s.Inbound),
		checkPort("outbound", s.Outbound),
		checkPort("control", s.Control),
		checkPort("operator", s.Operator),
		checkAddr("target", s.Target),
		checkRange("slots", int64(s.Slots), 1, maxSlots),
		checkRange("conns", int64(s.Conns), 1, maxConns),
		checkAddr("store", s.Store),
		checkRange("window", int64(s.Window), int64(minWindow), int64(maxWindow)),
		checkRange("entries", int64(s.Entries), minEntries, maxEntries),
		checkRange("answers", int64(s.Answers), minAnswers, maxAnswers),
		checkRange("link", s.Link, 1, maxLink),
		checkRange("patience", int64(s.Patience), int64(minPatience), int64(maxPatience)),
		checkRange("grace", int64(s.Grace), 1, int64(maxGrace)),
		checkRange("body", int64(s.Body), minBody, maxBody),
		checkRange("trail", int64(s.Trail), 1, maxTrail),
		checkLevel("log", s.Log),
		s.checkConns(),
		s.checkRoster(),
		s.checkPorts(),
		s.checkPeers(),
		s.checkKeys(),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkConns() error {
	if s.Conns < s.Slots {
		return invalid("conns", strconv.Itoa(s.Conns), fmt.Sprintf("at least slots, which is %d", s.Slots))
	}
	return nil
}

func (s Settings) checkRoster() error {
	if s.Roster == "" {
		return nil
	}
	return checkAddr("roster", s.Roster)
}

func (s Settings) checkPorts() error {
	seen := make(map[int]bool)
	for _, port := range []int{s.Inbound, s.Outbound, s.Control, s.Operator} {
		if seen[port] {
			return invalid("inbound, outbound, control, operator", strconv.Itoa(port)+" twice", "four different ports")
		}
		seen[port] = true
	}
	return nil
}

func (s Settings) checkPeers() error {
	for i, peer := range s.Peers {
		if err := checkAddr(fmt.Sprintf("peers[%d]", i), peer); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkKeys() error {
	if len(s.Keys) == 0 {
		return invalid("keys", "empty", "at least one key")
	}
	for i, key := range s.Keys {
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) < ticket.MinKeyBytes {
			// The key is a secret and must not appear in the message.
			return invalid(fmt.Sprintf("keys[%d]", i), "not usable", fmt.Sprintf("at least %d bytes in hexadecimal", ticket.MinKeyBytes))
		}
	}
	return nil
}

func invalid(field, value, allowed string) error {
	return &FieldError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

func checkName(field, value string) error {
	if !rules.IsName(value) {
		return invalid(field, strconv.Quote(value), "a name as in the document")
	}
	return nil
}

func checkIP(field, value string) error {
	if net.ParseIP(value) == nil {
		return invalid(field, strconv.Quote(value), "an IP address")
	}
	return nil
}

func checkPort(field string, value int) error {
	return checkRange(field, int64(value), 1, maxPort)
}

func checkAddr(field, value string) error {
	host, port, err := net.SplitHostPort(value)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || n < 1 || n > maxPort {
		return invalid(field, strconv.Quote(value), "an IP address and a port, such as 127.0.0.1:8080")
	}
	return nil
}

func checkRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return invalid(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
	return nil
}

func checkLevel(field, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		return nil
	}
	return invalid(field, strconv.Quote(value), "debug, info, warn or error")
}
