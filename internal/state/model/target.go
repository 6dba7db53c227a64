package model

import "siskinswitch.example/siskin/pkg/clock"

// Target is one instance of a service as its record describes it.
type Target struct {
	ID      string
	Service string
	// Addr is the "ip:port" at which the target itself listens. Only its own
	// host reaches it.
	Addr    string
	Centre  string
	Version string
	Slots   int
	// Leaving says that the target takes no new work.
	Leaving bool
	// ColdRemaining is how much longer the target stays slow after its start, as of
	// the record.
	ColdRemaining clock.Milli
	// StartTime tells the lives of one id apart: the wall clock of the target's
	// host at its start. It is compared for equality only.
	StartTime uint64
}

// Host returns the IP of the target's host.
func (t Target) Host() string {
	for i := len(t.Addr) - 1; i >= 0; i-- {
		if t.Addr[i] == ':' {
			return t.Addr[:i]
		}
	}
	return t.Addr
}
