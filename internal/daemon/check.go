package daemon

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
)

// FieldError is a setting that is not allowed.
type FieldError struct {
	Field string
	Value string
	// Allowed says what would be allowed.
	Allowed string
}

// Error returns one line that names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %s, allowed is %s", e.Field, e.Value, e.Allowed)
}

// Check returns a [*FieldError] for the first setting that is not allowed.
func (s Settings) Check() error {
	checks := []error{
		isName("name", s.Name),
		isName("region", s.Region),
		isName("centre", s.Centre),
		isIP("host", s.Host),
		isPort("inbound", s.Inbound),
		isPort("outbound", s.Outbound),
		isPort("control", s.Control),
		isPort("operator", s.Operator),
		isAddr("target", s.Target),
		within("slots", int64(s.Slots), 1, maxSlots),
		within("conns", int64(s.Conns), 1, maxConns),
		isAddr("store", s.Store),
		within("window", int64(s.Window), int64(minWindow), int64(maxWindow)),
		within("entries", int64(s.Entries), minEntries, maxEntries),
		within("answers", int64(s.Answers), minAnswers, maxAnswers),
		within("link", s.Link, 1, maxLink),
		within("patience", int64(s.Patience), int64(minPatience), int64(maxPatience)),
		within("grace", int64(s.Grace), 1, int64(maxGrace)),
		within("body", int64(s.Body), minBody, maxBody),
		within("trail", int64(s.Trail), 1, maxTrail),
		isLevel("log", s.Log),
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
		return wrong("conns", strconv.Itoa(s.Conns), fmt.Sprintf("at least slots, which is %d", s.Slots))
	}
	return nil
}

func (s Settings) checkRoster() error {
	if s.Roster == "" {
		return nil
	}
	return isAddr("roster", s.Roster)
}

func (s Settings) checkPorts() error {
	seen := make(map[int]bool)
	for _, port := range []int{s.Inbound, s.Outbound, s.Control, s.Operator} {
		if seen[port] {
			return wrong("inbound, outbound, control, operator", strconv.Itoa(port)+" twice", "four different ports")
		}
		seen[port] = true
	}
	return nil
}

func (s Settings) checkPeers() error {
	for i, peer := range s.Peers {
		if err := isAddr(fmt.Sprintf("peers[%d]", i), peer); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkKeys() error {
	if len(s.Keys) == 0 {
		return wrong("keys", "empty", "at least one key")
	}
	for i, key := range s.Keys {
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) < ticket.MinKeyBytes {
			// The value is a secret and stays out of the message.
			return wrong(fmt.Sprintf("keys[%d]", i), "not usable", fmt.Sprintf("at least %d bytes in hexadecimal", ticket.MinKeyBytes))
		}
	}
	return nil
}

func wrong(field, value, allowed string) error {
	return &FieldError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

func isName(field, value string) error {
	if !rules.IsName(value) {
		return wrong(field, strconv.Quote(value), "a name as in the document")
	}
	return nil
}

func isIP(field, value string) error {
	if net.ParseIP(value) == nil {
		return wrong(field, strconv.Quote(value), "an IP address")
	}
	return nil
}

func isPort(field string, value int) error {
	return within(field, int64(value), 1, maxPort)
}

func isAddr(field, value string) error {
	host, port, err := net.SplitHostPort(value)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || n < 1 || n > maxPort {
		return wrong(field, strconv.Quote(value), "an IP address and a port, such as 127.0.0.1:8080")
	}
	return nil
}

func within(field string, value, low, high int64) error {
	if value < low || value > high {
		return wrong(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
	return nil
}

func isLevel(field, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		return nil
	}
	return wrong(field, strconv.Quote(value), "debug, info, warn or error")
}
