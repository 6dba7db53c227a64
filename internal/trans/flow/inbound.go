package flow

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/leg"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/trans/slot"
	"siskinswitch.example/siskin/internal/trans/xchg"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// guardWindow is how long the outcome of a request that runs at most once
	// is kept. No caller waits that long for one.
	guardWindow = 40 * clock.Second
	// guardBytes bounds the answers kept, guardLargest one of them, in bytes.
	guardBytes   = 24 << 20
	guardLargest = 40 << 10
	// targetIdle is the time after which a connection to the target that is
	// not used is closed, if the target does not announce less.
	targetIdle = 8 * clock.Second
	// targetRested is the longest rest of a connection on which a request that
	// runs at most once is sent: the target may have dropped an older one
	// without a sign.
	targetRested = 250 * clock.Millisecond
	// usualSlots is taken for a target without a record.
	usualSlots = 32
	// leavingShare is the part of the drain time, in percent, in which the
	// daemon of a target that leaves still lets requests through that were sent
	// before.
	leavingShare = 40
	// refusedWait is the least time after which a refused request is welcome.
	refusedWait = 200 * clock.Millisecond
	// reasonUnreached is given for a request of which nothing was sent to the
	// target.
	reasonUnreached = "unreached"
	// reasonTarget is given for a request that the target itself turned away.
	reasonTarget = "target"
	// roomShare is the part of the limit, in percent, up to which a target
	// that turns work away is not simply full.
	roomShare = 90
)

// Inbound is the only door to the target of its host. It is safe for
// concurrent use.
type Inbound struct {
	cfg   Config
	table *guard.Table
	apps  *xchg.Client
	// Floor returns the threshold below which a request of the path would fail
	// deeper in the chain of calls. It is set before the first request.
	Floor func(path string) admit.Threshold

	runsMu sync.Mutex
	// runs holds the requests at the target by their ids.
	runs map[string]*Parent

	mu   sync.Mutex
	gate *slot.Gate
	// again bounds the requests that come to the target again on this host.
	again lot
	// target is the record that the gate was made for.
	target model.Target
	// actual is the id of the target as it was last told, by the target itself
	// or its record, empty if unknown.
	actual string
	// left is the instant at which the target's record said that it leaves or
	// went away, 0 while it is in use.
	left     clock.Milli
	draining bool
}

// NewInbound returns an open inbound side.
func NewInbound(cfg Config) *Inbound {
	return &Inbound{
		cfg:   cfg,
		runs:  make(map[string]*Parent),
		Floor: func(string) admit.Threshold { return admit.Threshold{} },
		table: guard.New(guard.Config{
			Bytes:       guardBytes,
			Largest:     guardLargest,
			Window:      guardWindow,
			Target:      cfg.Self.Target,
			Incarnation: cfg.Incarnation,
			Now:         cfg.Clock.Now(),
		}),
		apps: xchg.NewClient(xchg.ClientConfig{
			Clock:  cfg.Clock,
			Dial:   dialTime,
			Idle:   targetIdle,
			Body:   largestAnswer,
			Echo:   cfg.Headers.ID,
			Opened: cfg.Counts.Opened,
		}),
		gate: slot.New(admit.Config{
			Slots: usualSlots,
		}, cfg.Clock),
		again: newLot(&cfg, againShare, 0, cfg.Clock.Now()),
	}
}

// Handle answers a request of another daemon.
func (n *Inbound) Handle(ctx context.Context, r *xchg.Request) xchg.Reply {
	hop, err := leg.ParseHop(r.Get(leg.HeaderHop))
	id := r.Get(n.cfg.Headers.ID)
	if err != nil {
		event.Warn(n.cfg.Log, event.Attempt, zap.String("id", id), zap.Error(err))
		return n.reply(n.cfg.plain(id, fasthttp.StatusBadRequest, "not from a daemon"), leg.Word{
			Outcome: leg.NotRun,
			Reason:  "hop",
		})
	}
	r.Fields = xchg.Without(r.Fields, leg.HeaderHop)
	a, word := n.Run(ctx, r, hop)
	return n.reply(a, word)
}

func (n *Inbound) reply(a guard.Answer, word leg.Word) xchg.Reply {
	a.Fields = xchg.With(a.Fields, leg.HeaderWord, word.String())
	return xchg.Reply{
		Answer: a,
	}
}

// Run takes one attempt of a request to the target and returns the answer with
// what is known of the attempt. The answer is the target's own only if the
// outcome is [leg.Done].
func (n *Inbound) Run(ctx context.Context, r *xchg.Request, hop leg.Hop) (guard.Answer, leg.Word) {
	began := n.cfg.Clock.Now()
	a, word := n.take(ctx, r, hop)
	word.Heard = true
	n.log(r, hop, &a, word, n.cfg.Clock.Now()-began)
	word.Threshold = word.Threshold.Max(n.Floor(hop.Path))
	return a, word
}

// log writes one line about an attempt. Of whole ones, only those of a sample
// of roots are kept.
func (n *Inbound) log(r *xchg.Request, hop leg.Hop, a *guard.Answer, word leg.Word, took clock.Milli) {
	if hop.Ask && hop.Key == "" {
		return
	}
	isWhole := word.Outcome == leg.Done && a.Status < fasthttp.StatusInternalServerError
	if isWhole && !isSampled(hop.Root) {
		return
	}
	event.Info(n.cfg.Log, event.Attempt,
		zap.String("id", r.Get(n.cfg.Headers.ID)),
		zap.String("path", hop.Path),
		zap.String("target", hop.Target),
		zap.Stringer("importance", hop.Importance),
		zap.Int("depth", hop.Depth),
		zap.Bool("ask", hop.Ask),
		zap.Stringer("outcome", word.Outcome),
		zap.String("reason", word.Reason),
		zap.Int("status", a.Status),
		zap.Int("running", word.Running),
		zap.Int("limit", word.Limit),
		zap.Stringer("threshold", word.Threshold),
		zap.Int("sample", sampleOf(isWhole)),
		zap.Int64("took", int64(took)))
}

func (n *Inbound) take(ctx context.Context, r *xchg.Request, hop leg.Hop) (guard.Answer, leg.Word) {
	if hop.Ask {
		return n.ask(r, hop)
	}
	if hop.Key == "" {
		return n.admit(ctx, r, hop)
	}
	tk := ticketOf(hop)
	v := n.table.Begin(n.cfg.Clock.Now(), tk, xxhash.Sum64(r.Body)^xxhash.Sum64String(r.URI))
	if v.Status != guard.Fresh {
		return n.tell(r, v)
	}
	return n.admit(ctx, r, hop)
}

func ticketOf(hop leg.Hop) ticket.Ticket {
	return ticket.Ticket{
		ID:          hop.Key,
		Path:        hop.Path,
		Target:      hop.Target,
		Incarnation: hop.Stamp.Incarnation,
		Generation:  hop.Stamp.Generation,
	}
}

// ask tells what is known of an attempt, and fences one that never came. An
// empty key asks for the stamp alone.
func (n *Inbound) ask(r *xchg.Request, hop leg.Hop) (guard.Answer, leg.Word) {
	if hop.Key == "" {
		w := n.word(leg.NotRun, "stamp")
		return n.cfg.plain(r.Get(n.cfg.Headers.ID), fasthttp.StatusOK, "stamp"), w
	}
	return n.tell(r, n.table.Query(n.cfg.Clock.Now(), ticketOf(hop)))
}

// tell turns a verdict of the guard into an answer.
func (n *Inbound) tell(r *xchg.Request, v guard.Verdict) (guard.Answer, leg.Word) {
	id := r.Get(n.cfg.Headers.ID)
	switch {
	case v.Status == guard.Done && v.Reason == guard.Plain:
		return v.Answer, n.word(leg.Done, "kept")
	case v.Status == guard.Running:
		return n.cfg.plain(id, fasthttp.StatusAccepted, "running"), n.word(leg.Running, "running")
	case v.Status == guard.NotRun:
		return n.cfg.refusal(id, "not run", refusedWait), n.word(leg.NotRun, v.Reason.String())
	case v.Reason == guard.Elsewhere, v.Reason == guard.Ahead:
		return n.cfg.plain(id, fasthttp.StatusBadGateway, "another run of the daemon"), n.word(leg.Elsewhere, v.Reason.String())
	}
	return n.cfg.plain(id, fasthttp.StatusBadGateway, "unknown"), n.word(leg.Unknown, v.Reason.String())
}

// word tells the state of this side with an outcome.
func (n *Inbound) word(outcome leg.Outcome, reason string) leg.Word {
	n.mu.Lock()
	gate := n.gate
	leaving := n.draining || n.left > 0
	n.mu.Unlock()
	st := gate.Stats()
	running := 0
	for _, lane := range st.Lanes {
		running += lane.Running + lane.Queued
	}
	w := leg.Word{
		Outcome:   outcome,
		Reason:    reason,
		Running:   running,
		Limit:     st.Limit,
		Leaving:   leaving,
		Threshold: st.Threshold,
		Stamp:     n.table.Stamp(n.cfg.Clock.Now()),
	}
	if outcome == leg.NotRun {
		w.Wait = max(refusedWait, st.Expect)
	}
	return w
}

// refuse ends an attempt that has not run.
func (n *Inbound) refuse(r *xchg.Request, hop leg.Hop, reason string) (guard.Answer, leg.Word) {
	n.cfg.Counts.Refused(reason)
	if hop.Key != "" {
		n.table.Refuse(n.cfg.Clock.Now(), hop.Key)
	}
	w := n.word(leg.NotRun, reason)
	return n.cfg.refusal(r.Get(n.cfg.Headers.ID), "refused: "+reason, w.Wait), w
}

// admit waits for a slot of the target and runs the request in it.
func (n *Inbound) admit(ctx context.Context, r *xchg.Request, hop leg.Hop) (guard.Answer, leg.Word) {
	now := n.cfg.Clock.Now()
	gate, ok := n.open(now, hop)
	if !ok {
		return n.refuse(r, hop, "leaving")
	}
	if n.isOther(hop.Target) {
		return n.refuse(r, hop, "moved")
	}
	if !n.Floor(hop.Path).Passes(hop.Importance, hop.Root) {
		return n.refuse(r, hop, "deeper")
	}
	deadline := now + leftOf(r, n.cfg.Headers.Deadline)
	work, d, signals := gate.Offer(admit.Work{
		Path:       hop.Path,
		Importance: hop.Importance,
		Root:       hop.Root,
		Depth:      hop.Depth,
		Deadline:   deadline,
	})
	switch d.Verdict {
	case admit.Refuse:
		return n.refuse(r, hop, d.Reason.String())
	case admit.Queue:
		if reason := n.await(ctx, gate, work, signals); reason != "" {
			return n.refuse(r, hop, reason)
		}
	case admit.Run:
	}
	began := n.cfg.Clock.Now()
	took := clock.Milli(-1)
	defer func() { gate.Done(work, took) }()
	if ctx.Err() != nil {
		return n.refuse(r, hop, "canceled")
	}
	if hop.Key != "" && !n.table.Start(hop.Key) {
		return n.refuse(r, hop, "fenced")
	}
	a, word := n.send(ctx, r, hop, deadline)
	for n.mayTryAgain(ctx, hop, word, deadline) {
		hop.Repeat = true
		a, word = n.send(ctx, r, hop, deadline)
	}
	n.record(hop, a, word)
	if word.Outcome == leg.Done {
		took = n.cfg.Clock.Now() - began
	}
	return a, word
}

// isOther reports whether the target that a request is meant for is known not
// to be the one on this host. The target would turn it away, and its arrival
// would count.
func (n *Inbound) isOther(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.actual != "" && n.actual != id
}

// setActual records the id that the target itself gave.
func (n *Inbound) setActual(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.actual = id
}

// open records a request and returns the gate, and false if the target takes no new work.
func (n *Inbound) open(now clock.Milli, hop leg.Hop) (*slot.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !hop.Repeat {
		n.again.window.Ask(now)
	}
	if n.draining {
		return n.gate, false
	}
	return n.gate, n.left == 0 || now-n.left < n.cfg.Drain*leavingShare/100
}

// await waits for the signal of a queued work. It returns why the work will
// not run, or nothing if it holds a slot.
func (n *Inbound) await(ctx context.Context, gate *slot.Gate, w admit.Work, signals <-chan slot.Signal) string {
	var s slot.Signal
	select {
	case s = <-signals:
	case <-ctx.Done():
		if gate.Cancel(w) {
			return "canceled"
		}
		s = <-signals
	}
	switch s {
	case slot.Evicted:
		return admit.Full.String()
	case slot.Expired:
		return admit.Late.String()
	case slot.Started:
	}
	return ""
}

// send makes the exchange with the target and records how it ended.
func (n *Inbound) send(ctx context.Context, r *xchg.Request, hop leg.Hop, deadline clock.Milli) (guard.Answer, leg.Word) {
	h := &n.cfg.Headers
	out := *r
	out.Fields = xchg.With(r.Fields, h.Expected, hop.Target)
	out.Fields = xchg.With(out.Fields, h.Deadline, strconv.FormatInt(int64(max(deadline-n.cfg.Clock.Now(), 1)), 10))
	o := xchg.Options{}
	if hop.Key != "" {
		o.Rested = targetRested
	}
	run := n.enter(r.Get(h.ID), hop)
	a, err := n.apps.Do(ctx, n.cfg.Self.Target, &out, o)
	n.leave(r.Get(h.ID))
	a, word := n.judge(r, a, err)
	word.Arrived = word.Reason != reasonUnreached
	if a.Status >= fasthttp.StatusInternalServerError && run.failed.Load() {
		word.Reason = leg.ReasonCall
	}
	return a, word
}

// Parent is a request at the target as its own calls inherit from it.
type Parent struct {
	Path       string
	Importance rules.Importance
	Root       uint64
	Depth      int
	// Repeat says that the run is a repeat, and so are its calls.
	Repeat bool
	// failed says that one of its calls failed.
	failed atomic.Bool
}

// enter records that a request is at the target.
func (n *Inbound) enter(id string, hop leg.Hop) *Parent {
	p := &Parent{
		Path:       hop.Path,
		Importance: hop.Importance,
		Root:       hop.Root,
		Depth:      hop.Depth,
		Repeat:     hop.Repeat,
	}
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	n.runs[id] = p
	return p
}

func (n *Inbound) leave(id string) {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	delete(n.runs, id)
}

// Parent returns the request at the target that made the call of the id, nil
// if there is none. A target derives the ids of its calls from that of the
// request that it runs, with a dot between the parts. Only the order of work
// and the number of repeats rest on this.
func (n *Inbound) Parent(id string) *Parent {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil
	}
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	return n.runs[id[:dot]]
}

// judge tells from the exchange with the target what became of the request.
func (n *Inbound) judge(r *xchg.Request, a guard.Answer, err error) (guard.Answer, leg.Word) {
	h := &n.cfg.Headers
	id := r.Get(h.ID)
	var e *xchg.Error
	switch {
	case errors.As(err, &e) && e.Kind == xchg.Unsent:
		return n.cfg.refusal(id, "target not reached", refusedWait), n.word(leg.NotRun, reasonUnreached)
	case err != nil:
		return n.cfg.plain(id, fasthttp.StatusBadGateway, "the target's answer was lost"), n.word(leg.Unknown, e.Kind.String())
	case a.Status == fasthttp.StatusMisdirectedRequest:
		n.setActual(xchg.Get(a.Fields, h.Instance))
		return n.cfg.refusal(id, "another target", refusedWait), n.word(leg.NotRun, "other")
	case xchg.Get(a.Fields, h.NotRun) != "":
		n.cfg.Counts.Refused("target")
		return n.cfg.refusal(id, "the target refused", refusedWait), n.word(leg.NotRun, reasonTarget)
	case !isWhole(&a, h.Signature):
		return n.cfg.plain(id, fasthttp.StatusBadGateway, "the target's answer was spoiled"), n.word(leg.Unknown, "spoiled")
	}
	return a, n.word(leg.Done, "run")
}

// record tells the guard how an attempt that it has started ended.
func (n *Inbound) record(hop leg.Hop, a guard.Answer, word leg.Word) {
	if hop.Key == "" {
		return
	}
	now := n.cfg.Clock.Now()
	switch word.Outcome {
	case leg.Done:
		n.table.Finish(now, hop.Key, a)
	case leg.NotRun:
		n.table.Unrun(now, hop.Key)
	default:
		n.table.Fail(now, hop.Key)
	}
}

// mayTryAgain reports whether a request that the target turned away may come to
// it again at once: the target has room by the gate's count, so it refuses a
// part of what comes for a reason of its own, and the budget has an attempt.
func (n *Inbound) mayTryAgain(ctx context.Context, hop leg.Hop, word leg.Word, deadline clock.Milli) bool {
	now := n.cfg.Clock.Now()
	if word.Reason != reasonTarget || ctx.Err() != nil || deadline-now <= leastLeft {
		return false
	}
	if word.Running*100 > word.Limit*roomShare || hop.Inherited {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.again.take(now, rankOf(hop.Importance, hop.Root))
}

// isWhole reports whether an answer is the target's own: a success has its
// signature, and its body is not encoded.
func isWhole(a *guard.Answer, signature string) bool {
	if xchg.Get(a.Fields, "Content-Encoding") != "" {
		return false
	}
	return a.Status >= 300 || xchg.Get(a.Fields, signature) != ""
}

// SetTarget tells the inbound side of the record of its target and of the
// connections that it accepts, 0 if unknown. A new life of the target begins
// with an empty gate.
func (n *Inbound) SetTarget(t model.Target, ok bool, conns int) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !ok || t.Leaving {
		if n.left == 0 && n.target.ID != "" {
			n.left = now
		}
		return
	}
	n.left = 0
	if t.ID == n.target.ID && t.Born == n.target.Born && t.Slots == n.target.Slots {
		return
	}
	n.target = t
	n.actual = t.ID
	n.gate = slot.New(admit.Config{
		Slots: max(t.Slots, 1),
		Conns: conns,
	}, n.cfg.Clock)
	n.apps.Drop(n.cfg.Self.Target)
}

// Drain makes the inbound side refuse new work. Running and waiting work goes
// on.
func (n *Inbound) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Tick lets time pass. It is called at least ten times a second.
func (n *Inbound) Tick() {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	gate.Tick()
	n.table.Sweep(n.cfg.Clock.Now())
	n.apps.Sweep()
}

// leftOf reads how long the sender waits.
func leftOf(r *xchg.Request, header string) clock.Milli {
	ms, err := strconv.ParseInt(r.Get(header), 10, 64)
	if err != nil || ms < 0 {
		return usualDeadline
	}
	return clock.Milli(ms)
}
