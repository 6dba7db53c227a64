package daemon

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/event"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/rescue"
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/link"
	"siskinswitch.example/siskin/internal/trans/source"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// inboxSize bounds the received control messages that wait for the agent.
	inboxSize = 1024
	// receiveMethod is the RPC method to which daemons send control messages.
	receiveMethod = "Control.Receive"
	// hostsInterval is the time between two reads of the platform's host list.
	hostsInterval = 30 * clock.Second
)

// Envelope is a control message with the control address of its sender.
type Envelope struct {
	From    string        `cbor:"1,keyasint"`
	Message agent.Message `cbor:"2,keyasint"`
}

// Empty is the answer of an RPC method that returns no data.
type Empty struct{}

// control owns the agent. Its goroutine, run, passes ticks, control messages and
// reads of the platform to the agent, and turns the agent's snapshots into views
// for the request path.
type control struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	view     *view.Cell
	routes   *route.Table
	links    *link.Links
	source   *source.Client
	agent    *agent.Agent

	// These channels feed run. leave requests that the daemon announce that it is
	// leaving.
	inbox       chan Envelope
	readResults chan readResult
	hostLists   chan []source.Host
	leave       chan struct{}

	// counts are reported to operators as control traffic.
	counts controlCounts
	// snapshot is the agent's newest snapshot, for the operator interface.
	snapshot atomic.Pointer[agent.Snapshot]
	// lastParsed is the document that parse read last.
	lastParsed *rules.Set
	// activeRules is the document in force, nil while there is none.
	activeRules *rules.Set
	// ready is set once the daemon has been ready to serve.
	ready bool
	// ownService is the service of the target beside the daemon, as a string. It
	// keeps its value when the rules no longer list the instance.
	ownService atomic.Value
	// serviceDown is set while the last read of the configuration service failed.
	serviceDown atomic.Bool
	// incarnations holds the newest incarnation of each daemon of the fleet, by the
	// name of its instance.
	incarnations map[string]incarnationStart
	// etag identifies the value that the last watch returned. At most one watch
	// runs at a time, and only its goroutine uses etag.
	etag string
}

// controlCounts counts control messages and reads of the configuration service.
type controlCounts struct {
	sent     atomic.Uint64
	received atomic.Uint64
	dropped  atomic.Uint64
	reads    atomic.Uint64
}

// incarnationStart is a daemon's incarnation and the instant at which it replaced
// an earlier one, 0 if it is the first incarnation seen.
type incarnationStart struct {
	incarnation uint64
	at          clock.Milli
}

type readResult struct {
	kind spread.ReadKind
	data []byte
	err  error
}

func newControl(ctx context.Context, settings Settings, c clock.Clock, log *zap.Logger, cell *view.Cell, routes *route.Table, links *link.Links, incarnation uint64) *control {
	k := &control{
		settings:     settings,
		clock:        c,
		log:          log,
		view:         cell,
		routes:       routes,
		links:        links,
		inbox:        make(chan Envelope, inboxSize),
		readResults:  make(chan readResult, 2),
		hostLists:    make(chan []source.Host, 1),
		leave:        make(chan struct{}, 1),
		incarnations: make(map[string]incarnationStart),
	}
	k.source = source.New(source.Config{
		StoreAddr:  settings.Store,
		RosterAddr: settings.Roster,
		Clock:      c,
		OnHosts:    k.onHosts,
		OnError: func(err error) {
			event.Warn(log, event.HostsDown, zap.Error(err))
		},
		OnOddHost: func(err error) { event.Warn(log, event.OddHost, zap.Error(err)) },
	})
	k.agent = agent.New(agent.Config{
		Self: member.Peer{
			Host:   settings.addr(settings.Control),
			Region: settings.Region,
			Centre: settings.Centre,
		},
		Incarnation: incarnation,
		Peers:       seedPeers(settings),
		Seed:        incarnation,
		Send:        k.send,
		Publish:     k.publish,
		Report:      k.report,
		Check:       k.check,
		Diff:        config.Diff,
		Apply:       config.Apply,
		Read: func(kind spread.ReadKind, _ uint64) {
			k.read(ctx, kind)
		},
	})
	return k
}

func seedPeers(settings Settings) []member.Peer {
	peers := make([]member.Peer, 0, len(settings.Peers))
	for _, addr := range settings.Peers {
		peers = append(peers, member.Peer{
			Host: addr,
		})
	}
	return peers
}

// parse parses and validates a document. It returns the set in force or the set
// parsed last if the digest is the same: both the agent's check and publish need
// the set, and parsing the document of a whole fleet takes tens of milliseconds.
func (k *control) parse(data []byte, digest string) (*rules.Set, error) {
	for _, known := range []*rules.Set{k.activeRules, k.lastParsed} {
		if known != nil && known.Digest() == digest {
			return known, nil
		}
	}
	set, err := config.Parse(data)
	if err != nil {
		return nil, err
	}
	k.lastParsed = set
	return set, nil
}

// check validates a complete document for the agent. For an invalid document that
// can be decoded, the returned Meta still has its version, author and reason.
func (k *control) check(data []byte) (agent.Meta, error) {
	meta := agent.Meta{}
	meta.Digest = config.Digest(data)
	set, err := k.parse(data, meta.Digest)
	if err != nil {
		if doc, decodeErr := config.Decode(data); decodeErr == nil {
			meta.Version = doc.Version
			meta.Author = doc.Author
			meta.Reason = doc.Reason
		}
		return meta, err
	}
	doc := set.Document()
	meta.Version = doc.Version
	meta.Parent = doc.Parent
	meta.Author = doc.Author
	meta.Reason = doc.Reason
	for _, name := range set.Services() {
		for _, t := range set.Targets(name) {
			meta.Peers = append(meta.Peers, member.Peer{
				Host:   controlAddr(t),
				Region: t.Region,
				Centre: t.Centre,
			})
		}
	}
	return meta, nil
}

// run is the goroutine that owns the agent. It returns when ctx ends.
func (k *control) run(ctx context.Context) {
	if k.settings.Roster != "" {
		go k.source.PollHosts(ctx, hostsInterval)
	}
	next := k.clock.Now() + agent.TickInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.clock.After(next - k.clock.Now()):
		case e := <-k.inbox:
			k.contain("receive a control message", func() { k.agent.Receive(k.clock.Now(), e.From, e.Message) })
			if k.clock.Now() < next {
				continue
			}
		case r := <-k.readResults:
			k.contain("take in a configuration", func() { k.agent.ReadDone(k.clock.Now(), r.kind, r.data, r.err) })
		case list := <-k.hostLists:
			k.contain("take in a list of hosts", func() { k.agent.UpdateHosts(k.clock.Now(), k.listings(list)) })
		case <-k.leave:
			k.contain("announce the leave", func() { k.agent.Leave(k.clock.Now()) })
		}
		now := k.clock.Now()
		k.contain("tick of the agent", func() { k.agent.Tick(now) })
		next = now + agent.TickInterval
	}
}

// contain calls f and logs a panic in it, so that one message or value does not
// end the process.
func (k *control) contain(op string, f func()) {
	if err := rescue.Run(op, f); err != nil {
		event.Contained(k.log, err)
	}
}

// Receive queues a control message of another daemon for the agent. net/rpc
// calls it. If the inbox is full, Receive drops the message and returns no error:
// the protocol tolerates lost messages.
func (k *control) Receive(e Envelope, _ *Empty) error {
	k.counts.received.Add(1)
	select {
	case k.inbox <- e:
	default:
		k.counts.dropped.Add(1)
	}
	return nil
}

func (k *control) send(to string, m agent.Message) {
	k.counts.sent.Add(1)
	err := k.links.Send(to, receiveMethod, Envelope{
		From:    k.settings.addr(k.settings.Control),
		Message: m,
	})
	if err != nil {
		// The agent's protocol tolerates lost messages.
		k.counts.dropped.Add(1)
	}
}

// read starts a read or a watch of the configuration service in a goroutine,
// which sends the result to readResults.
func (k *control) read(ctx context.Context, kind spread.ReadKind) {
	k.counts.reads.Add(1)
	go func() {
		var v source.Value
		var err error
		if kind == spread.Watch {
			v, err = k.source.Watch(ctx, k.etag)
		} else {
			v, err = k.source.Read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		k.logServiceState(err)
		if kind == spread.Watch && err == nil {
			k.etag = v.ETag
		}
		k.readResults <- readResult{
			kind: kind,
			data: v.Data,
			err:  err,
		}
	}()
}

// logServiceState logs the first failed read of the configuration service and the
// first successful read after a failure.
func (k *control) logServiceState(err error) {
	if failed := err != nil; k.serviceDown.Swap(failed) == failed {
		return
	}
	if err != nil {
		event.Warn(k.log, event.ServiceDown, zap.Error(err))
		return
	}
	event.Info(k.log, event.ServiceUp)
}

// onHosts passes a host list of the platform to run. It drops the list if run has not
// yet taken the previous one; the next read brings a newer list.
func (k *control) onHosts(hosts []source.Host) {
	select {
	case k.hostLists <- hosts:
	default:
	}
}

// listings looks up the control address of each listed host in the inventory. It
// omits hosts that the inventory does not contain.
func (k *control) listings(hosts []source.Host) []agent.ListedHost {
	list := make([]agent.ListedHost, 0, len(hosts))
	if k.activeRules == nil {
		return list
	}
	for _, h := range hosts {
		t, ok := k.activeRules.Target(h.Name)
		if !ok {
			continue
		}
		list = append(list, agent.ListedHost{
			Host:    controlAddr(t),
			Leaving: h.Leaving,
		})
	}
	return list
}

// report logs an event that the agent reports.
func (k *control) report(e agent.Event) {
	switch e.Kind {
	case agent.MemberChanged:
		event.Info(k.log, event.MemberChanged, zap.String("host", e.Host), zap.Stringer("state", e.State))
	case agent.HostLeaving:
		event.Info(k.log, event.TargetLeaving, zap.String("host", e.Host))
	case agent.ConfigApplied:
		event.Info(k.log, event.ConfigApplied, valueFields(e)...)
	case agent.ConfigRefused:
		event.Warn(k.log, event.ConfigRefused, valueFields(e)...)
	case agent.Resumed:
		event.Warn(k.log, event.Resumed, zap.String("detail", e.Detail))
	case agent.Refuted:
		event.Warn(k.log, event.Refuted, zap.String("detail", e.Detail))
	}
}

func valueFields(e agent.Event) []zap.Field {
	return []zap.Field{
		zap.Uint64("version", e.Value.Version),
		zap.String("digest", e.Value.Digest),
		zap.String("author", e.Value.Author),
		zap.String("reason", e.Value.Reason),
		zap.String("from", e.Host),
		zap.String("detail", e.Detail),
	}
}

// Handover carries one part of the outcomes of a stopping daemon.
type Handover struct {
	From string         `cbor:"1,keyasint"`
	Part guard.Handover `cbor:"2,keyasint"`
}

// controlAddr returns the "ip:port" control address of the daemon beside a target.
func controlAddr(t *rules.Target) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(t.Control))
}
