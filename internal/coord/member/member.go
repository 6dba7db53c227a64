package member

import "siskinswitch.example/siskin/pkg/clock"

// Member is what a view holds about one host, in the form given to callers.
type Member struct {
	Peer
	Incarnation uint64
	Revision    uint64
	State       State
	// Since is the time of the last change of State or Incarnation.
	Since clock.Milli
	// Unreachable reports that no member of the node's data centre has had
	// contact with the host's data centre for [ContactTimeout]. State is then
	// as old as the latest contact.
	Unreachable bool
}
