package agent

import (
	"math/rand/v2"

	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/pkg/clock"
)

// Timing of an [Agent].
const (
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 50 * clock.Millisecond
	// PauseThreshold is the time between two calls above which the process
	// counts as paused.
	PauseThreshold = 2 * clock.Second
	// dutyInterval is the time between two assignments of duties.
	dutyInterval = clock.Second
	// readersPerCentre is the number of members of a data centre that watch the
	// configuration service.
	readersPerCentre = 2
)

// Meta is the metadata that Config.Check finds in the bytes of a
// configuration.
type Meta struct {
	spread.Meta
	// Peers are the hosts of the inventory. The own host may be missing.
	Peers []member.Peer
}

// ListedHost is one host in the platform's list.
type ListedHost struct {
	Host    string
	Leaving bool
}

// Config configures an [Agent].
type Config struct {
	// Self is the own host and its location.
	Self member.Peer
	// Incarnation identifies this process. It should be the wall clock in
	// milliseconds at the start. If it is lower than that of an earlier
	// process, the agent learns the earlier one's revision from other members
	// and raises its own above it.
	Incarnation uint64
	// Peers is the list of hosts to contact before an inventory is known.
	Peers []member.Peer
	// Seed, with Incarnation, determines the random choices, so that a run can
	// be repeated.
	Seed uint64
	// Send sends a message to the daemon at a control address. It must not
	// block and may lose the message.
	Send func(to string, m Message)
	// Publish is called with each new snapshot. It may be nil.
	Publish func(Snapshot)
	// Report is called with each event to log. It may be nil.
	Report func(Event)
	// Check validates the bytes of a configuration. Together with an error it
	// returns the metadata that it could read.
	Check func(data []byte) (Meta, error)
	// Diff returns a delta from old to data.
	Diff func(old, data []byte) ([]byte, error)
	// Apply returns the bytes that a delta against old yields.
	Apply func(old, delta []byte) ([]byte, error)
	// Read starts an asynchronous read of the configuration service. Its
	// outcome must be passed to Agent.ReadDone. For a Watch, after is the
	// version that the result must exceed. At most one read of each kind is
	// pending.
	Read func(kind spread.ReadKind, after uint64)
}

// Agent is the control state machine of one daemon. It is not safe for
// concurrent use: one goroutine owns it. The time passed to its methods must
// not decrease.
type Agent struct {
	cfg     Config
	rand    *rand.Rand
	node    *member.Node
	store   *spread.Store
	leaving *leave.Table
	// listed holds the hosts that the platform lists as leaving.
	listed map[string]listedProcess
	resync resyncState

	// peers is the inventory found by the latest check.
	peers   []member.Peer
	started bool
	ready   bool
	// lastCall is the time of the latest call of any method that takes the
	// time, lastStep that of the latest step.
	lastCall       clock.Milli
	lastStep       clock.Milli
	lastFlush      clock.Milli
	lastMarksReply clock.Milli
	nextAssignment clock.Milli
	// urgent shortens the wait until the next flush. dirty reports a change
	// since the last snapshot.
	urgent        bool
	dirty         bool
	lastPublished clock.Milli
}

// New returns an agent without any data. It starts with the first call of a
// method that takes the time.
func New(cfg Config) *Agent {
	return &Agent{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		listed: make(map[string]listedProcess),
	}
}

// Tick does the work that is due. It must be called every [TickInterval]. A
// gap longer than [PauseThreshold] between two calls counts as a pause of the
// process.
func (a *Agent) Tick(now clock.Milli) {
	a.beforeCall(now)
	a.step(now)
}

// step does the work that is due.
func (a *Agent) step(now clock.Milli) {
	a.lastStep = now
	a.node.Tick(now)
	a.store.Tick(now)
	a.stepResync(now)
	if now >= a.nextAssignment {
		a.nextAssignment = now + dutyInterval
		a.assignDuties()
		a.leaving.Sweep(now)
	}
	a.flush(now)
	a.publish(now)
}

// Receive handles a message from the daemon at a control address.
func (a *Agent) Receive(now clock.Milli, from string, m Message) {
	a.beforeCall(now)
	a.node.Receive(now, from, m.Incarnation, m.Member)
	for i, mark := range m.Marks {
		if i == leave.MaxMarks {
			break
		}
		a.addMark(now, mark)
	}
	a.answerMarksDigest(now, from, m)
	a.store.Receive(now, from, m.Spread)
	a.recordPeer(from)
	if len(m.Member.Pull) > 0 {
		a.sendMarks(now, from)
	}
	a.flush(now)
	// A stream of messages must not keep the periodic work from being done:
	// Tick may be late while they are handled.
	if now-a.lastStep >= TickInterval {
		a.step(now)
	}
}

// ReadDone handles the outcome of a Config.Read. For a Watch that returned
// without a new value, data and err are nil. The data must not be changed
// afterwards.
func (a *Agent) ReadDone(now clock.Milli, kind spread.ReadKind, data []byte, err error) {
	a.beforeCall(now)
	a.store.ReadDone(now, kind, data, err)
	a.flush(now)
}

// Leave marks the own process as leaving and passes the mark on. It cannot be
// undone.
func (a *Agent) Leave(now clock.Milli) {
	a.beforeCall(now)
	a.addMark(now, leave.Mark{
		Host:        a.cfg.Self.Host,
		Incarnation: a.cfg.Incarnation,
	})
	a.flush(now)
}

// beforeCall starts the agent on the first call. After a pause of the process
// it runs resume before the caller handles any input, since timeouts must not
// count the pause.
func (a *Agent) beforeCall(now clock.Milli) {
	if !a.started {
		a.start(now)
	}
	if now-a.lastCall > PauseThreshold {
		a.resume(now)
	}
	a.lastCall = now
}

func (a *Agent) start(now clock.Milli) {
	a.started = true
	a.lastCall = now
	a.lastStep = now
	a.node = member.New(now, member.Config{
		Self:        a.cfg.Self,
		Incarnation: a.cfg.Incarnation,
		Rand:        a.rand,
		Send:        a.sendMember,
		Changed:     a.memberChanged,
		Refuted:     a.refuted,
	}, a.cfg.Peers)
	a.store = spread.New(now, spread.Config{
		Rand:     a.rand,
		Check:    a.check,
		Diff:     a.cfg.Diff,
		Apply:    a.cfg.Apply,
		Send:     a.sendSpread,
		Read:     a.cfg.Read,
		InRegion: a.node.InRegion,
		Applied:  a.applied,
		Refused:  a.refused,
	})
	a.leaving = leave.New(leave.Config{
		Marked: a.marked,
	})
	a.resync = newResync(now, 0)
	a.assignDuties()
}

// resume handles a pause of the process: data may be outdated, so the agent asks
// the service and the peers again.
func (a *Agent) resume(now clock.Milli) {
	a.report(Event{
		Kind:   Resumed,
		At:     now,
		Host:   a.cfg.Self.Host,
		Detail: (now - a.lastCall).Duration().String(),
	})
	a.node.Resume(now)
	a.store.Reread(now)
	succeeded, _ := a.store.ReadCounts()
	a.resync = newResync(now, succeeded)
	a.dirty = true
}

// assignDuties derives the duties of the own host from its rank.
func (a *Agent) assignDuties() {
	rank := a.node.Rank()
	d := spread.Duty{
		Reader:    rank >= 0 && rank < readersPerCentre,
		RelayTurn: -1,
		FleetSize: a.node.Size(),
	}
	if a.node.IsRelay() {
		count, index := a.node.CentreIndex()
		d.RelayTurn = rank*count + index
	}
	a.store.SetDuty(d)
}

// check validates a value and stores its inventory in peers.
func (a *Agent) check(data []byte) (spread.Meta, error) {
	m, err := a.cfg.Check(data)
	a.peers = m.Peers
	return m.Meta, err
}
