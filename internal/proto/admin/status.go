package admin

import "siskinswitch.example/siskin/pkg/clock"

// Status is what a daemon does and believes at present.
type Status struct {
	Head
	Region string `json:"region"`
	Centre string `json:"centre"`
	// Incarnation tells apart the runs of the daemon on its host.
	Incarnation uint64 `json:"incarnation"`
	// Age is how long the daemon has run.
	Age clock.Milli `json:"age"`
	// Ready says that it serves traffic.
	Ready bool `json:"ready"`
	// Stale says that it was paused and has not yet read anew.
	Stale bool `json:"stale"`
	// Leaving says that it takes no new work.
	Leaving bool `json:"leaving"`
	// ActiveConfig is the configuration in force; its version is 0 before the first.
	ActiveConfig ActiveConfig `json:"force"`
	// Reader and Relay are the daemon's duties in spreading configurations.
	Reader       bool           `json:"reader"`
	Relay        bool           `json:"relay"`
	Control      ControlTraffic `json:"control"`
	Gate         Gate           `json:"gate"`
	Guard        Guard          `json:"guard"`
	Totals       OutboundTotals `json:"totals"`
	MemberCounts MemberCounts   `json:"states"`
	Members      []Member       `json:"members"`
	// RefusedConfigs lists the last configurations that were refused, oldest first.
	RefusedConfigs []RefusedConfig `json:"refused"`
}

// ActiveConfig is a configuration in force.
type ActiveConfig struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// Age is how long it has been in force here.
	Age clock.Milli `json:"age"`
	// Confirmed is how long ago it was last known to be the newest one, or
	// [Unknown].
	Confirmed clock.Milli `json:"confirmed"`
}

// ControlTraffic counts the traffic with other daemons and with the configuration
// service since the start of the daemon.
type ControlTraffic struct {
	// In and Out are the bytes received and sent on connections to and from
	// other daemons, without those of TCP.
	In  int64 `json:"in"`
	Out int64 `json:"out"`
	// Sent and Received count messages, and Dropped those of them that found a
	// full queue.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Dropped  uint64 `json:"dropped"`
	// Reads counts reads of the configuration service, a watch as one.
	Reads uint64 `json:"reads"`
	// Conns is the number of connections opened to other daemons that are open.
	Conns int `json:"conns"`
}

// Gate is the admission of work to the target beside the daemon.
type Gate struct {
	// Overload says that the queue does not empty.
	Overload bool `json:"overload"`
	// Threshold is the lowest rank that is admitted, as importance and band.
	Threshold string `json:"threshold"`
	// Floor names the importance that is shed in part; all lower ones are shed
	// whole. It is empty while everything passes.
	Floor string `json:"floor"`
	// ExpectedTime is the expected time of short work at the target.
	ExpectedTime clock.Milli `json:"expect"`
	Short        Lane        `json:"short"`
	Long         Lane        `json:"long"`
	// Offered, Started and Done count works since the start of the daemon.
	Offered uint64 `json:"offered"`
	Started uint64 `json:"started"`
	Done    uint64 `json:"done"`
	Evicted uint64 `json:"evicted"`
	// Refused counts refused works by the gate's reason.
	Refused map[string]uint64 `json:"refused"`
}

// Lane is the part of the gate for one cost class.
type Lane struct {
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Guard is the table of once-only requests.
type Guard struct {
	Entries    int `json:"entries"`
	Live       int `json:"live"`
	Tombstones int `json:"tombstones"`
	Bytes      int `json:"bytes"`
	// Capacity is the most entries.
	Capacity int `json:"room"`
	// TimesFull counts the times the table was full.
	TimesFull uint64 `json:"closings"`
	// Unknown counts requests whose outcome could not be told.
	Unknown uint64 `json:"unknown"`
}

// OutboundTotals count what the daemon did on the outbound side since its start.
type OutboundTotals struct {
	// Done, Refused and Unknown count answers to calls by their outcome.
	Done    uint64 `json:"done"`
	Refused uint64 `json:"refused"`
	Unknown uint64 `json:"unknown"`
	// Attempts counts attempts, Retries and Hedges the extra ones among them.
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
	Hedges   uint64 `json:"hedges"`
	// Resolved counts lost answers that the guard was asked about.
	Resolved uint64 `json:"settled"`
}

// MemberCounts counts the members that the daemon believes in each state, itself
// left out.
type MemberCounts struct {
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Dead    int `json:"dead"`
	Unknown int `json:"unknown"`
	Leaving int `json:"leaving"`
}

// Member is what the daemon believes of another one. Without [ArgMembers] only
// those that are not simply alive are listed.
type Member struct {
	// Name is the instance, empty for a host that the rules do not name.
	Name  string `json:"name"`
	Host  string `json:"host"`
	State string `json:"state"`
	// Age is how old the state is.
	Age clock.Milli `json:"age"`
	// Unreachable says that nobody in the daemon's data centre reaches that of the
	// member, so that the state is from before.
	Unreachable bool `json:"cut,omitempty"`
	// Leaving says how the daemon knows that the member is leaving: "listed"
	// by the platform or "marked" by itself; empty if it is not.
	Leaving string `json:"leaving,omitempty"`
}

// RefusedConfig is a configuration that was not taken.
type RefusedConfig struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	From    string `json:"from"`
	// Detail says what was wrong.
	Detail string      `json:"detail"`
	Age    clock.Milli `json:"age"`
}
