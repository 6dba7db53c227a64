package flow

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// guardWindow is how long the outcome of a non-idempotent request is kept.
	// Callers give up earlier.
	guardWindow = 40 * clock.Second
	// guardMaxBytes bounds the memory of all kept answers, and
	// guardMaxAnswerBytes the size of each.
	guardMaxBytes       = 24 << 20
	guardMaxAnswerBytes = 40 << 10
	// targetIdleTimeout is the time after which an unused connection to the
	// target is closed, unless the target announces a shorter time.
	targetIdleTimeout = 8 * clock.Second
	// atMostOnceMaxIdle is how long a connection may have been idle to be
	// used for a non-idempotent request. The target may have dropped an older
	// connection silently.
	atMostOnceMaxIdle = 250 * clock.Millisecond
	// defaultSlots is the number of slots of a target without a record.
	defaultSlots = 32
	// minRetryAfter is the least Retry-After of a refused request.
	minRetryAfter = 200 * clock.Millisecond
	// notFullPercent is the share of the limit up to which the target is not
	// full, so that a rejection by the target has another cause than load.
	notFullPercent = 90
)

// LeavingPercent is the part of the drain time in which the daemon of a leaving
// target still passes requests on, because other daemons may not know yet that the
// target leaves.
const LeavingPercent = 40

// Inbound admits requests to the target of its host. All requests for the
// target pass it. It is safe for concurrent use.
type Inbound struct {
	cfg          Config
	table        *guard.Table
	targetClient *http1.Client
	ranks        *ranks
	rooms        *rooms
	// DownstreamThreshold returns the threshold below which a request of the
	// path would be refused further down its chain of calls. It must be set
	// before the first request.
	DownstreamThreshold func(path string) admit.Threshold
	// OnQuota answers the value of [peer.HeaderQuota] in a request of another daemon.
	// It must be set before the first request.
	OnQuota func(value string) guard.Answer

	runningMu sync.Mutex
	// running holds the requests in progress at the target by id.
	running map[string]*Parent

	mu   sync.Mutex
	gate *slot.Gate
	// retries bounds the retries that this side itself sends to the target.
	retries rankedBudget
	// targetRecord is the record of the target that the gate was made for.
	targetRecord model.Target
	// actualID is the id that the target or its record reported last, "" if
	// unknown.
	actualID string
	// learn says that the gate learns about the target.
	learn    bool
	learnLog learnLog
	// leavingSince is the instant at which it became known that the target
	// leaves, or that its record is gone. It is 0 while the target is in use.
	leavingSince clock.Milli
	// acceptUntil is the instant from which a leaving target takes no work.
	acceptUntil clock.Milli
	draining    bool
	// end is the instant at which the daemon stops, 0 if none is set.
	end clock.Milli
}

// NewInbound returns an inbound side that accepts requests.
func NewInbound(cfg Config) *Inbound {
	cfg = cfg.withDefaults()
	return &Inbound{
		cfg:                 cfg,
		ranks:               newRanks(),
		rooms:               newRooms(&cfg),
		running:             make(map[string]*Parent),
		DownstreamThreshold: func(string) admit.Threshold { return admit.Threshold{} },
		OnQuota: func(string) guard.Answer {
			return cfg.plainAnswer("", fasthttp.StatusBadRequest, "no rate limits")
		},
		table: guard.New(guard.Config{
			Bytes:          guardMaxBytes,
			MaxAnswerBytes: guardMaxAnswerBytes,
			Window:         guardWindow,
			Target:         cfg.Self.TargetAddr,
			Incarnation:    cfg.Incarnation,
			Now:            cfg.Clock.Now(),
		}),
		targetClient: http1.NewClient(http1.ClientConfig{
			Clock:       cfg.Clock,
			DialTimeout: dialTimeout,
			IdleTimeout: targetIdleTimeout,
			MaxBody:     maxAnswerBytes,
			EchoField:   cfg.Headers.ID,
			OnOpen:      cfg.Metrics.ConnOpened,
			OnPanic:     cfg.OnPanic,
		}),
		gate: slot.New(admit.Config{
			Slots: defaultSlots,
		}, cfg.Clock),
		retries: newRankedBudget(&cfg, inboundShare, 0, cfg.Clock.Now()),
	}
}

// Handle answers a request that another daemon sent.
func (n *Inbound) Handle(ctx context.Context, r *http1.Request) http1.Reply {
	header := r.Get(peer.HeaderHop)
	if value := r.Get(peer.HeaderQuota); header == "" && value != "" {
		return n.handleQuota(value)
	}
	hop, err := peer.ParseHop(header)
	id := r.Get(n.cfg.Headers.ID)
	if err != nil {
		event.Warn(n.cfg.Log, event.Attempt, zap.String("id", id), zap.Error(err))
		return n.reply(n.cfg.plainAnswer(id, fasthttp.StatusBadRequest, "not from a daemon"), peer.Feedback{
			Outcome: peer.NotRun,
			Reason:  "hop",
		})
	}
	r.Fields = n.ranks.take(&n.cfg, n.cfg.takeSeen(http1.WithoutField(r.Fields, peer.HeaderHop)))
	_, r.Fields = n.rooms.take(&n.cfg, r.Fields)
	a, fb := n.Run(ctx, r, hop)
	return n.reply(a, fb)
}

// handleQuota answers a message about rate limits. A daemon that takes no new work
// takes none, so that borrowers turn to another lender.
func (n *Inbound) handleQuota(value string) http1.Reply {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	if draining {
		return http1.Reply{
			Answer: n.cfg.refusal("", "not run: "+peer.ReasonLeaving, minRetryAfter),
		}
	}
	return http1.Reply{
		Answer: n.OnQuota(value),
	}
}

func (n *Inbound) reply(a guard.Answer, fb peer.Feedback) http1.Reply {
	now, v := n.cfg.Clock.Now(), n.cfg.View()
	a.Fields = n.rooms.with(now, v, n.ranks.with(now, v, a.Fields), fb.Needs)
	a.Fields = n.cfg.withProof(n.cfg.withSeen(http1.WithField(a.Fields, peer.HeaderFeedback, fb.String())))
	if fb.Ends > 0 {
		a.Fields = http1.WithField(a.Fields, peer.HeaderEnds, peer.FormatEnds(fb.Ends))
	}
	if !fb.Room.IsUnknown() {
		a.Fields = http1.WithField(a.Fields, peer.HeaderRoom, fb.Room.String())
	}
	return http1.Reply{
		Answer: a,
	}
}

// Run makes one attempt at the target and returns the answer and the feedback.
// The answer was made by the target only if the outcome is [peer.Done].
func (n *Inbound) Run(ctx context.Context, r *http1.Request, hop peer.Hop) (guard.Answer, peer.Feedback) {
	start := n.cfg.Clock.Now()
	var p passage
	a, fb := n.dispatch(ctx, r, hop, &p)
	fb.Received = true
	fb.Threshold = fb.Threshold.Max(n.DownstreamThreshold(hop.Path))
	n.log(r, hop, &a, fb, p, n.cfg.Clock.Now()-start)
	return a, fb
}

// passage tells how a request was passed on to the target.
type passage struct {
	// waited is how long it waited for a slot.
	waited clock.Milli
	// leaving is how long the target had been known to leave when the request
	// was sent to it last, 0 if it was not leaving or nothing was sent.
	leaving clock.Milli
	// inCalls is how long it waited for calls of the target to other services.
	inCalls clock.Milli
}

// log writes one line about an attempt. Successful attempts are sampled by the
// root of their request, but for those at a leaving target.
func (n *Inbound) log(r *http1.Request, hop peer.Hop, a *guard.Answer, fb peer.Feedback, p passage, took clock.Milli) {
	if hop.IsQuery && hop.Key == "" {
		return
	}
	isSuccess := fb.Outcome == peer.Done && a.Status < fasthttp.StatusInternalServerError && p.leaving == 0
	if isSuccess && !isSampled(hop.RootHash) {
		return
	}
	event.Info(n.cfg.Log, event.Attempt,
		zap.String("id", r.Get(n.cfg.Headers.ID)),
		zap.String("path", hop.Path),
		zap.String("target", hop.Target),
		zap.Stringer("importance", hop.Importance),
		zap.Int("depth", hop.Depth),
		zap.Bool("ask", hop.IsQuery),
		zap.Stringer("outcome", fb.Outcome),
		zap.String("reason", fb.Reason),
		zap.Int("status", a.Status),
		zap.Int("running", fb.Running),
		zap.Int("limit", fb.Limit),
		zap.Stringer("threshold", fb.Threshold),
		zap.Int64("waited", int64(p.waited)),
		zap.Int64("leaving", int64(p.leaving)),
		zap.Int("sample", sampleWeight(isSuccess)),
		zap.Int64("took", int64(took)))
}

func (n *Inbound) dispatch(ctx context.Context, r *http1.Request, hop peer.Hop, p *passage) (guard.Answer, peer.Feedback) {
	if hop.IsQuery {
		return n.answerQuery(r, hop)
	}
	if hop.Key == "" {
		return n.admit(ctx, r, hop, p)
	}
	tk := ticketOf(hop)
	v := n.table.Begin(n.cfg.Clock.Now(), tk, xxhash.Sum64(r.Body)^xxhash.Sum64String(r.URI))
	if v.Status != guard.Fresh {
		return n.verdictAnswer(r, v)
	}
	return n.admit(ctx, r, hop, p)
}

func ticketOf(hop peer.Hop) ticket.Ticket {
	return ticket.Ticket{
		ID:          hop.Key,
		Path:        hop.Path,
		Target:      hop.Target,
		Incarnation: hop.Stamp.Incarnation,
		Generation:  hop.Stamp.Generation,
	}
}

// answerQuery answers a query about an earlier attempt, and fences the attempt
// if it has not arrived. A query with an empty key only fetches the stamp.
func (n *Inbound) answerQuery(r *http1.Request, hop peer.Hop) (guard.Answer, peer.Feedback) {
	if hop.Key == "" {
		fb := n.feedback(peer.NotRun, "stamp")
		return n.cfg.plainAnswer(r.Get(n.cfg.Headers.ID), fasthttp.StatusOK, "stamp"), fb
	}
	return n.verdictAnswer(r, n.table.Query(n.cfg.Clock.Now(), ticketOf(hop)))
}

// verdictAnswer turns a verdict of the guard table into an answer and feedback.
func (n *Inbound) verdictAnswer(r *http1.Request, v guard.Verdict) (guard.Answer, peer.Feedback) {
	id := r.Get(n.cfg.Headers.ID)
	switch {
	case v.Status == guard.Done && v.Reason == guard.NoReason:
		return v.Answer, n.feedback(peer.Done, "kept")
	case v.Status == guard.Running:
		return n.cfg.plainAnswer(id, fasthttp.StatusAccepted, "running"), n.feedback(peer.Running, "running")
	case v.Status == guard.NotRun:
		return n.cfg.refusal(id, "not run", minRetryAfter), n.feedback(peer.NotRun, v.Reason.String())
	case v.Reason == guard.OtherIncarnation, v.Reason == guard.Ahead:
		return n.cfg.plainAnswer(id, fasthttp.StatusBadGateway, "another run of the daemon"), n.feedback(peer.OtherIncarnation, v.Reason.String())
	}
	return n.cfg.plainAnswer(id, fasthttp.StatusBadGateway, "unknown"), n.feedback(peer.Unknown, v.Reason.String())
}

// Stats returns the state of the target's gate.
func (n *Inbound) Stats() admit.Stats {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	return gate.Stats()
}

// feedback returns the state of this side together with an outcome.
func (n *Inbound) feedback(outcome peer.Outcome, reason string) peer.Feedback {
	n.mu.Lock()
	leaving := n.draining || n.leavingSince > 0
	ends := n.timeToEnd(n.cfg.Clock.Now())
	n.mu.Unlock()
	st := n.Stats()
	running := 0
	for _, lane := range st.Lanes {
		running += lane.Running + lane.Queued
	}
	fb := peer.Feedback{
		Outcome:   outcome,
		Reason:    reason,
		Running:   running,
		Limit:     st.Limit,
		Leaving:   leaving,
		Threshold: st.Threshold,
		Stamp:     n.table.Stamp(n.cfg.Clock.Now()),
		Ends:      ends,
		Room: peer.Room{
			Throughput: st.Learned.Throughput,
		},
	}
	if outcome == peer.NotRun {
		fb.Wait = max(minRetryAfter, st.ExpectedTime)
	}
	return fb
}

// refuse answers an attempt that has not run, and fences its guard entry.
func (n *Inbound) refuse(r *http1.Request, hop peer.Hop, reason string) (guard.Answer, peer.Feedback) {
	n.cfg.Metrics.Refused(reason)
	if hop.Key != "" {
		n.table.Refuse(n.cfg.Clock.Now(), hop.Key)
	}
	fb := n.feedback(peer.NotRun, reason)
	return n.cfg.refusal(r.Get(n.cfg.Headers.ID), "refused: "+reason, fb.Wait), fb
}

// TargetUpdate is what the view says of the target of the host.
type TargetUpdate struct {
	Target model.Target
	// HasRecord is false if the target has no record. Target is empty then.
	HasRecord bool
	// IsLate says that the change may have been made long ago.
	IsLate bool
	// Conns is the number of connections that the target accepts, 0 if unknown.
	Conns int
	// Learn says that the limit and the speed of the target are to be learned.
	Learn bool
}

// SetTarget updates the record of the target. A target that never had a record
// takes work: other daemons may know its record earlier than this one. A restarted
// or changed target gets a new, empty gate.
func (n *Inbound) SetTarget(u TargetUpdate) {
	t := u.Target
	n.mu.Lock()
	defer n.mu.Unlock()
	n.learn = u.Learn
	n.gate.SetLearn(u.Learn)
	if !u.HasRecord || t.Leaving {
		if u.HasRecord || n.targetRecord.ID != "" {
			n.recordLeave(u.IsLate)
		}
		return
	}
	n.leavingSince = 0
	if t.ID == n.targetRecord.ID && t.StartTime == n.targetRecord.StartTime && t.Slots == n.targetRecord.Slots {
		return
	}
	n.targetRecord = t
	n.actualID = t.ID
	n.gate = slot.New(admit.Config{
		Slots: max(t.Slots, 1),
		Conns: u.Conns,
		Learn: u.Learn,
	}, n.cfg.Clock)
	n.learnLog = learnLog{}
	n.targetClient.Drop(n.cfg.Self.TargetAddr)
}

// recordLeave begins the leave of the target, unless it has begun. One that became
// known late leaves no time for daemons that do not know it yet. n.mu must be held.
func (n *Inbound) recordLeave(isLate bool) {
	if n.leavingSince != 0 {
		return
	}
	n.leavingSince = n.cfg.Clock.Now()
	n.acceptUntil = n.leavingSince
	if !isLate {
		n.acceptUntil += n.cfg.DrainTime * LeavingPercent / 100
	}
}

// StopAt announces the instant at which the daemon stops. Requests with a later
// deadline are refused from now on, since they could be broken off.
func (n *Inbound) StopAt(end clock.Milli) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.end = end
}

// timeToEnd returns the time until the daemon stops, 0 if no stop was announced.
// n.mu must be held.
func (n *Inbound) timeToEnd(now clock.Milli) clock.Milli {
	if n.end == 0 {
		return 0
	}
	return max(n.end-now, 1)
}

// Drain makes the inbound side refuse new requests. Running and queued ones go
// on.
func (n *Inbound) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Tick expires queued requests, old guard entries and idle connections, and hands
// back the queued requests of a target that has left. It must be called at least
// ten times a second.
func (n *Inbound) Tick() {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	gate := n.gate
	hasLeft := n.hasLeft(now)
	n.mu.Unlock()
	if hasLeft {
		gate.WithdrawQueued()
	}
	gate.Tick()
	n.logLearned(now)
	n.stateLoad(now, gate)
	n.table.Sweep(now)
	n.targetClient.Sweep()
}

// stateLoad makes a statement about the load of the target if one is due.
func (n *Inbound) stateLoad(now clock.Milli, gate *slot.Gate) {
	n.rooms.tick(&n.cfg, now)
	if !n.rooms.isOn(n.cfg.View()) {
		return
	}
	st := gate.Stats()
	n.mu.Lock()
	id := n.targetRecord.ID
	isUsed := id != "" && !n.draining && n.leavingSince == 0
	n.mu.Unlock()
	if !isUsed {
		return
	}
	n.rooms.state(now, room.Own{
		Service:  room.KeyOf(n.cfg.Self.Service),
		Target:   room.KeyOf(id),
		Capacity: st.Limit,
		Queued:   st.Lanes[rules.Short].Queued,
	})
}

// timeLeft reads from a header how long the sender still waits, in milliseconds that
// may have a fraction.
func timeLeft(r *http1.Request, header string) clock.Milli {
	ms, err := strconv.ParseFloat(r.Get(header), 64)
	if err != nil || !(ms >= 0) {
		return defaultDeadline
	}
	return clock.Milli(min(ms, maxDeadline))
}
