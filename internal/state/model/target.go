package model

import "siskinswitch.example/siskin/pkg/clock"

// Target is one instance of a service as its record in the store describes it.
type Target struct {
	ID      string
	Service string
	// Addr is the "ip:port" at which the target itself listens. It is reachable
	// only from its own host.
	Addr    string
	Centre  string
	Version string
	Slots   int
	// Leaving says that the target takes no new requests.
	Leaving bool
	// ColdRemaining is how much longer the target will be slow after its start,
	// counted from when the record was written.
	ColdRemaining clock.Milli
	// StartTime is the wall clock of the target's host when the target started.
	// It distinguishes successive runs with the same id, and orders targets
	// with the same address; it is not comparable with other clocks.
	StartTime uint64
}

// Host returns the IP address of the target's host.
func (t Target) Host() string {
	for i := len(t.Addr) - 1; i >= 0; i-- {
		if t.Addr[i] == ':' {
			return t.Addr[:i]
		}
	}
	return t.Addr
}
