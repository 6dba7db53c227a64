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
	"siskinswitch.example/siskin/internal/state/route"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/internal/trans/link"
	"siskinswitch.example/siskin/internal/trans/source"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// inboxSize bounds the control messages that wait to be taken in.
	inboxSize = 1024
	// receiveMethod is the method by which daemons send control messages.
	receiveMethod = "Control.Receive"
	// hostsInterval is the time between two reads of the list of hosts.
	hostsInterval = 30 * clock.Second
)

// Envelope is a control message with its sender's control address.
type Envelope struct {
	From    string        `cbor:"1,keyasint"`
	Message agent.Message `cbor:"2,keyasint"`
}

// Empty is the answer to a method that has nothing to say.
type Empty struct{}

// control owns the agent: one goroutine feeds it with time, messages and what
// was read from the platform, and turns its snapshots into views for traffic.
type control struct {
	set    Settings
	clock  clock.Clock
	log    *zap.Logger
	view   *view.Cell
	routes *route.Table
	links  *link.Links
	plat   *source.Client
	agent  *agent.Agent

	inbox  chan Envelope
	values chan readResult
	hosts  chan []source.Host
	leave  chan struct{}

	// counts are what operators are told about the traffic.
	counts controlCounts
	// snapshot is the newest one, for operators.
	snapshot atomic.Pointer[agent.Snapshot]
	// parsed is the document that was parsed last.
	parsed *rules.Set
	// rules is the document in force, nil before the first.
	rules *rules.Set
	ready bool
	// service is the service of the target beside, a string. It is kept when
	// the rules no longer list the instance.
	service atomic.Value
	// unread tells that the last read of the configuration service failed.
	unread atomic.Bool
	// starts remembers the incarnations of the fleet's daemons.
	starts map[string]start
	// etag is the number of the value that the last watch returned. Only the
	// goroutine of the one watch under way uses it.
	etag string
}

// controlCounts count messages and reads of the configuration service.
type controlCounts struct {
	sent     atomic.Uint64
	received atomic.Uint64
	dropped  atomic.Uint64
	reads    atomic.Uint64
}

// start is a daemon's incarnation and when it was first seen, 0 if it was the
// first one seen.
type start struct {
	incarnation uint64
	at          clock.Milli
}

type readResult struct {
	kind spread.ReadKind
	data []byte
	err  error
}

func newControl(ctx context.Context, set Settings, c clock.Clock, log *zap.Logger, cell *view.Cell, routes *route.Table, links *link.Links, incarnation uint64) *control {
	k := &control{
		set:    set,
		clock:  c,
		log:    log,
		view:   cell,
		routes: routes,
		links:  links,
		inbox:  make(chan Envelope, inboxSize),
		values: make(chan readResult, 2),
		hosts:  make(chan []source.Host, 1),
		leave:  make(chan struct{}, 1),
		starts: make(map[string]start),
	}
	k.plat = source.New(source.Config{
		StoreAddr:  set.Store,
		RosterAddr: set.Roster,
		Clock:      c,
		OnHosts:    k.onHosts,
		OnError: func(err error) {
			event.Warn(log, event.HostsDown, zap.Error(err))
		},
	})
	k.agent = agent.New(agent.Config{
		Self: member.Peer{
			Host:   set.addr(set.Control),
			Region: set.Region,
			Centre: set.Centre,
		},
		Incarnation: incarnation,
		Peers:       seedPeers(set),
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

func seedPeers(set Settings) []member.Peer {
	peers := make([]member.Peer, 0, len(set.Peers))
	for _, addr := range set.Peers {
		peers = append(peers, member.Peer{
			Host: addr,
		})
	}
	return peers
}

// parse parses and checks a document. The newest result is kept, because a
// document of the whole fleet takes tens of milliseconds and is needed by the
// agent's check and by traffic.
func (k *control) parse(data []byte, digest string) (*rules.Set, error) {
	for _, known := range []*rules.Set{k.rules, k.parsed} {
		if known != nil && known.Digest() == digest {
			return known, nil
		}
	}
	set, err := config.Parse(data)
	if err != nil {
		return nil, err
	}
	k.parsed = set
	return set, nil
}

// check validates a whole document for the agent.
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

// run is the goroutine that owns the agent.
func (k *control) run(ctx context.Context) {
	if k.set.Roster != "" {
		go k.plat.PollHosts(ctx, hostsInterval)
	}
	next := k.clock.Now() + agent.TickInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.clock.After(next - k.clock.Now()):
		case e := <-k.inbox:
			k.agent.Receive(k.clock.Now(), e.From, e.Message)
			if k.clock.Now() < next {
				continue
			}
		case r := <-k.values:
			k.agent.ReadDone(k.clock.Now(), r.kind, r.data, r.err)
		case list := <-k.hosts:
			k.agent.UpdateHosts(k.clock.Now(), k.listings(list))
		case <-k.leave:
			k.agent.Leave(k.clock.Now())
		}
		now := k.clock.Now()
		k.agent.Tick(now)
		next = now + agent.TickInterval
	}
}

// Receive takes in a control message of another daemon. It is called by
// net/rpc. A full inbox drops the message, as the network might.
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
		From:    k.set.addr(k.set.Control),
		Message: m,
	})
	if err != nil {
		// The message is lost, which the agent expects.
		k.counts.dropped.Add(1)
	}
}

// read starts a read of the configuration service.
func (k *control) read(ctx context.Context, kind spread.ReadKind) {
	k.counts.reads.Add(1)
	go func() {
		var v source.Value
		var err error
		if kind == spread.Watch {
			v, err = k.plat.Watch(ctx, k.etag)
		} else {
			v, err = k.plat.Read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		k.noteService(err)
		if kind == spread.Watch && err == nil {
			k.etag = v.ETag
		}
		k.values <- readResult{
			kind: kind,
			data: v.Data,
			err:  err,
		}
	}()
}

// noteService logs when the configuration service stops answering and when it
// answers again.
func (k *control) noteService(err error) {
	if failed := err != nil; k.unread.Swap(failed) == failed {
		return
	}
	if err != nil {
		event.Warn(k.log, event.ServiceDown, zap.Error(err))
		return
	}
	event.Info(k.log, event.ServiceUp)
}

func (k *control) onHosts(hosts []source.Host) {
	select {
	case k.hosts <- hosts:
	default:
	}
}

// listings joins the platform's list with the inventory, which knows the
// control address of each instance. Hosts that it does not know are left out.
func (k *control) listings(hosts []source.Host) []agent.ListedHost {
	list := make([]agent.ListedHost, 0, len(hosts))
	if k.rules == nil {
		return list
	}
	for _, h := range hosts {
		t, ok := k.rules.Target(h.Name)
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

// report logs what the agent did or saw.
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

// Handover carries one part of a stopped daemon's outcomes.
type Handover struct {
	From string         `cbor:"1,keyasint"`
	Part guard.Handover `cbor:"2,keyasint"`
}

// controlAddr returns the control address of the daemon beside a target.
func controlAddr(t *rules.Target) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(t.Control))
}
