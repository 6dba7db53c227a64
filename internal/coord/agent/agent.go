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
	// PauseThreshold is the time without a call that counts as a pause.
	PauseThreshold = 2 * clock.Second
	// dutyInterval is the time between two looks at the own duties.
	dutyInterval = clock.Second
	// readersPerCentre is the number of members of a data centre that watch the
	// configuration service.
	readersPerCentre = 2
)

// Meta is what Config.Check learns about the bytes of a configuration.
type Meta struct {
	spread.Meta
	// Peers are the hosts of the inventory, the own one included or not.
	Peers []member.Peer
}

// ListedHost is one host of the platform's list.
type ListedHost struct {
	Host    string
	Leaving bool
}

// Config is what an [Agent] needs.
type Config struct {
	// Self is the own host and its place.
	Self member.Peer
	// Incarnation identifies this process. It should be the wall clock in
	// milliseconds at the start; a lower one than before is mended by asking.
	Incarnation uint64
	// Peers are the hosts to ask before an inventory is known.
	Peers []member.Peer
	// Seed makes the random choices repeatable.
	Seed uint64
	// Send passes a message to the daemon at a control address. It must not
	// block and may lose the message.
	Send func(to string, m Message)
	// Publish takes each new snapshot. It may be nil.
	Publish func(Snapshot)
	// Report takes each event worth a line in the log. It may be nil.
	Report func(Event)
	// Check validates a whole configuration. On an error it fills in what it
	// could still learn.
	Check func(data []byte) (Meta, error)
	// Diff returns a delta that leads from old to data.
	Diff func(old, data []byte) ([]byte, error)
	// Apply applies a delta to old.
	Apply func(old, delta []byte) ([]byte, error)
	// Read starts an asynchronous read of the configuration service, whose
	// outcome must come back by Agent.Value. For a Watch, after is the version
	// that the answer must exceed. At most one of each kind is under way.
	Read func(kind spread.ReadKind, after uint64)
}

// Agent is the control state machine of one daemon. It is not safe for
// concurrent use: one goroutine owns it and calls its methods with the
// present, which must not decrease.
type Agent struct {
	cfg     Config
	rand    *rand.Rand
	node    *member.Node
	store   *spread.Store
	leaving *leave.Table
	listed  map[string]listedProcess
	resync  resyncState

	// peers is the inventory that the latest check found.
	peers   []member.Peer
	started bool
	ready   bool
	// lastCall is the latest call of any kind, lastStep the latest step.
	lastCall       clock.Milli
	lastStep       clock.Milli
	lastFlush      clock.Milli
	lastMarksReply clock.Milli
	nextAssignment clock.Milli
	// urgent asks for a flush at the next step.
	urgent        bool
	dirty         bool
	lastPublished clock.Milli
}

// New returns an agent that knows nothing yet. It starts to act with the first
// call of a method that takes the present.
func New(cfg Config) *Agent {
	return &Agent{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		listed: make(map[string]listedProcess),
	}
}

// Tick does the work that is due. It must be called every [TickInterval]; a longer gap
// between two calls counts as a pause of the process.
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

// Receive takes in a message from the daemon at a control address.
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
	// Messages that come faster than steps must not keep the work from being
	// done.
	if now-a.lastStep >= TickInterval {
		a.step(now)
	}
}

// ReadDone takes in the outcome of a Config.Read. For a Watch that ended without
// news, data and err are nil. The data must not be changed afterwards.
func (a *Agent) ReadDone(now clock.Milli, kind spread.ReadKind, data []byte, err error) {
	a.beforeCall(now)
	a.store.ReadDone(now, kind, data, err)
	a.flush(now)
}

// Leave marks the own process as leaving and tells the others. It can't be
// taken back.
func (a *Agent) Leave(now clock.Milli) {
	a.beforeCall(now)
	a.addMark(now, leave.Mark{
		Host:        a.cfg.Self.Host,
		Incarnation: a.cfg.Incarnation,
	})
	a.flush(now)
}

// beforeCall starts the agent, and notices a pause of the process before anything
// that came in meanwhile is believed.
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

// assignDuties works out the duties of the own host from its rank.
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

// check validates a value and remembers the inventory in it.
func (a *Agent) check(data []byte) (spread.Meta, error) {
	m, err := a.cfg.Check(data)
	a.peers = m.Peers
	return m.Meta, err
}
