package member

// State is the liveness of a member as other members see it.
type State uint8

// States. Of two records with the same revision the one with the higher state
// wins.
const (
	// Unknown is the state of a listed host that the node has no record of.
	Unknown State = iota
	// Alive is the state of a member that answers.
	Alive
	// Suspect is the state of a member that a neighbor could not reach. The
	// member may refute it.
	Suspect
	// Dead is the state of a suspect that did not refute in time.
	Dead
)

// String returns the lower-case name of s.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Peer is a host of the inventory and its location.
type Peer struct {
	// Host is the control address "ip:port"; it identifies the member.
	Host   string
	Region string
	Centre string
}

// Record is the observed state of one host. The revision orders the records of
// a host; only the host itself raises it.
type Record struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation identifies the process that runs on the host.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Revision    uint64 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint,omitempty"`
}

// supersedes reports whether r replaces old.
func (r Record) supersedes(old Record) bool {
	if r.Revision != old.Revision {
		return r.Revision > old.Revision
	}
	if r.State != old.State {
		return r.State > old.State
	}
	// Two processes may run with the same address and revision. Comparing the
	// incarnations makes every member keep the same record, whichever arrived
	// first.
	return r.Incarnation > old.Incarnation
}
