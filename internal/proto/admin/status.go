package admin

import "siskinswitch.example/siskin/pkg/clock"

// Status is the state of a daemon and its view of the fleet.
type Status struct {
	Head
	Region string `json:"region"`
	Centre string `json:"centre"`
	// Incarnation distinguishes the runs of the daemon on its host.
	Incarnation uint64 `json:"incarnation"`
	// Age is the time since the daemon started.
	Age clock.Milli `json:"age"`
	// Ready says that the daemon serves traffic.
	Ready bool `json:"ready"`
	// Stale says that the daemon was paused and has not refreshed its view since.
	Stale bool `json:"stale"`
	// Leaving says that the daemon takes no new work.
	Leaving bool `json:"leaving"`
	// ActiveConfig is the configuration in force. Its version is 0 before the
	// first configuration.
	ActiveConfig ActiveConfig `json:"force"`
	// Reader and Relay say whether the daemon reads the configuration service
	// and whether it passes configurations on to other daemons.
	Reader       bool           `json:"reader"`
	Relay        bool           `json:"relay"`
	Control      ControlTraffic `json:"control"`
	Gate         Gate           `json:"gate"`
	Guard        Guard          `json:"guard"`
	Totals       OutboundTotals `json:"totals"`
	MemberCounts MemberCounts   `json:"states"`
	Members      []Member       `json:"members"`
	// RefusedConfigs lists the latest refused configurations, oldest first.
	RefusedConfigs []RefusedConfig `json:"refused"`
}

// ActiveConfig is the configuration in force.
type ActiveConfig struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// Age is the time for which it has been in force at this daemon.
	Age clock.Milli `json:"age"`
	// Confirmed is the time since it was last known to be the newest one, or
	// [UnknownAge].
	Confirmed clock.Milli `json:"confirmed"`
}

// ControlTraffic counts the traffic with other daemons and with the
// configuration service since the daemon started.
type ControlTraffic struct {
	// In and Out are the bytes received from and sent to other daemons, without
	// the overhead of TCP.
	In  int64 `json:"in"`
	Out int64 `json:"out"`
	// Sent and Received count messages. Dropped counts the messages among them
	// that were discarded because a queue was full.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Dropped  uint64 `json:"dropped"`
	// Reads counts reads of the configuration service. A watch counts once.
	Reads uint64 `json:"reads"`
	// Conns is the number of open connections that this daemon has opened to
	// other daemons.
	Conns int `json:"conns"`
}

// Gate is the state of admission control for the target beside the daemon.
type Gate struct {
	// Overload says that the queue does not drain.
	Overload bool `json:"overload"`
	// Threshold is the lowest rank that is admitted, as importance and band.
	Threshold string `json:"threshold"`
	// Floor is the name of the importance that is shed in part; everything less
	// important is shed completely. It is empty if nothing is shed.
	Floor string `json:"floor"`
	// ExpectedTime is the time that a short request is expected to take at the
	// target.
	ExpectedTime clock.Milli `json:"expect"`
	Short        Lane        `json:"short"`
	Long         Lane        `json:"long"`
	// Offered, Started and Done count requests since the daemon started.
	Offered uint64 `json:"offered"`
	Started uint64 `json:"started"`
	Done    uint64 `json:"done"`
	Evicted uint64 `json:"evicted"`
	// Refused counts refused requests by the reason of the gate.
	Refused map[string]uint64 `json:"refused"`
}

// Lane is the share of the gate for one cost class.
type Lane struct {
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Guard is the state of the table of non-idempotent requests.
type Guard struct {
	Entries    int `json:"entries"`
	Live       int `json:"live"`
	Tombstones int `json:"tombstones"`
	Bytes      int `json:"bytes"`
	// Capacity is the maximum number of entries.
	Capacity int `json:"room"`
	// TimesFull counts how often the table became full.
	TimesFull uint64 `json:"closings"`
	// Unknown counts requests whose outcome could not be determined.
	Unknown uint64 `json:"unknown"`
}

// OutboundTotals counts events on the outbound side since the daemon started.
type OutboundTotals struct {
	// Done, Refused and Unknown count answers to calls by outcome.
	Done    uint64 `json:"done"`
	Refused uint64 `json:"refused"`
	Unknown uint64 `json:"unknown"`
	// Attempts counts all attempts. Retries and Hedges count the extra ones.
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
	Hedges   uint64 `json:"hedges"`
	// Resolved counts lost answers for which the guard was asked for the
	// outcome.
	Resolved uint64 `json:"settled"`
}

// MemberCounts counts the other members by their state in the daemon's view.
type MemberCounts struct {
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Dead    int `json:"dead"`
	Unknown int `json:"unknown"`
	Leaving int `json:"leaving"`
}

// Member is the daemon's view of another member. Unless [ArgMembers] asks for
// all, members that are alive, reachable and not leaving are left out.
type Member struct {
	// Name is the name of the instance. It is empty for a host that is not in
	// the rules.
	Name  string `json:"name"`
	Host  string `json:"host"`
	State string `json:"state"`
	// Age is the time since the state last changed.
	Age clock.Milli `json:"age"`
	// Unreachable says that no daemon in this data centre can reach the data
	// centre of the member, so State may be out of date.
	Unreachable bool `json:"cut,omitempty"`
	// Leaving says how the daemon knows that the member is leaving: "listed" if
	// the platform lists it as leaving, "marked" if the member announced it
	// itself. It is empty if the member is not leaving.
	Leaving string `json:"leaving,omitempty"`
}

// RefusedConfig is a configuration that the daemon refused.
type RefusedConfig struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	From    string `json:"from"`
	// Detail says what was wrong with it.
	Detail string      `json:"detail"`
	Age    clock.Milli `json:"age"`
}
