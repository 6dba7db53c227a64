package flow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// defaultDeadline applies to a request that does not say how long its
	// sender waits.
	defaultDeadline = 5 * clock.Second
	// maxDeadline is the longest time that a sender can wait.
	maxDeadline = 24 * 60 * 60 * float64(clock.Second)
	// peerIdleTimeout is the time after which an unused connection to another
	// daemon is closed. The inbound side waits longer, so that it does not close
	// a connection while a request is on its way.
	peerIdleTimeout = 5 * clock.Second
	// unreadyRetryAfter is the Retry-After of requests that arrive before the
	// configuration is known.
	unreadyRetryAfter = 300 * clock.Millisecond
	// closingRetryAfter is the Retry-After of requests that arrive shortly
	// before the daemon stops.
	closingRetryAfter = clock.Second
)

// Outbound handles the requests that callers on its host send, including those
// of the host's target. It is safe for concurrent use.
type Outbound struct {
	cfg        Config
	peers      *http1.Client
	local      *Inbound
	linkBudget *pick.Bucket
	graph      *callGraph
	limiter    *limiter
	// stopTime is the instant at which the daemon stops, 0 if none is set.
	stopTime atomic.Int64
	// callers tells when callers other than the host's target were last active.
	callers activity

	mu       sync.Mutex
	services map[string]*service
	stamps   map[string]ticket.Stamp
	// spreadPos maps routes to the position in [0, 1) that chose the last
	// service, see chooseService.
	spreadPos map[string]float64
	rand      *rand.Rand
}

// NewOutbound returns an outbound side. Requests for the target of its own host
// go to local without a network connection.
func NewOutbound(cfg Config, local *Inbound) *Outbound {
	cfg = cfg.withDefaults()
	o := &Outbound{
		cfg:   cfg,
		graph: newCallGraph(),
		peers: http1.NewClient(http1.ClientConfig{
			Clock:       cfg.Clock,
			DialTimeout: dialTimeout,
			IdleTimeout: peerIdleTimeout,
			MaxBody:     maxAnswerBytes,
			EchoField:   cfg.Headers.ID,
			OnPanic:     cfg.OnPanic,
		}),
		local:      local,
		linkBudget: pick.NewBucket(linkBytesPerSecond, linkBurstBytes),
		services:   make(map[string]*service),
		stamps:     make(map[string]ticket.Stamp),
		spreadPos:  make(map[string]float64),
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
	}
	o.limiter = newLimiter(&o.cfg, o.peers)
	local.DownstreamThreshold = o.threshold
	local.OnQuota = o.limiter.handle
	return o
}

// threshold returns the threshold below which one of the services that the path
// calls would refuse a request.
func (o *Outbound) threshold(path string) admit.Threshold {
	now := o.cfg.Clock.Now()
	threshold := admit.Threshold{}
	for _, e := range o.graph.recent(now, path) {
		threshold = threshold.Max(o.service(e.service).threshold(now, e.path))
	}
	return threshold
}

// StopAt announces the instant at which the daemon stops. Requests with a later
// deadline are refused from now on.
func (o *Outbound) StopAt(end clock.Milli) { o.stopTime.Store(int64(end)) }

// QuietSince returns the instant since which no request of a caller has arrived or
// was in progress, now if one is. Calls that the host's own target makes for requests
// in progress do not count: they end with those requests.
func (o *Outbound) QuietSince(now clock.Milli) clock.Milli { return o.callers.quietSince(now) }

// Tick closes connections that have been idle for too long, and sends the shares of
// rate limits that are due.
func (o *Outbound) Tick() {
	o.peers.Sweep()
	o.limiter.tick()
}

// MayPipeline reports whether a request may run while earlier requests of its
// connection are unanswered. Only idempotent requests may: if an earlier answer
// closes the connection, the caller sends the later ones again.
func (o *Outbound) MayPipeline(r *http1.Request) bool {
	v := o.cfg.View()
	if v.Config == nil {
		return false
	}
	route, ok := v.Config.Match(r.Host, r.Path())
	return ok && !route.AtMostOnce
}

// Handle answers one request of a caller.
func (o *Outbound) Handle(ctx context.Context, r *http1.Request) http1.Reply {
	id := r.Get(o.cfg.Headers.ID)
	parent := o.parentOf(r, id)
	if parent == nil {
		o.callers.begin(r.Arrived)
		defer o.callers.end()
	} else {
		parent.calls.begin(r.Arrived)
		defer func() { parent.calls.end(o.cfg.Clock.Now()) }()
	}
	e, refused := o.enter(r, id, parent)
	if refused != nil {
		return *refused
	}
	r.Fields = o.setIdentity(r.Fields, e.view, e.who)
	c := o.newCall(r, e)
	if parent == nil && e.who.isCaller(id) && !o.local.rooms.decide(&o.cfg, r.Arrived, c) {
		const reason = "not run: " + peer.ReasonNoRoom
		return o.answerDirectly(r, e.view, event.EndRefused, peer.ReasonNoRoom, o.cfg.refusal(id, reason, noRoomRetryAfter))
	}
	ctx, cancel := http1.WithTimeout(ctx, c.deadline-o.cfg.Clock.Now())
	defer cancel()
	until, denied := o.limit(ctx, c, e.who)
	if denied != nil {
		return o.answerDirectly(r, e.view, denied.end, denied.reason, denied.answer)
	}
	a, end := o.run(ctx, c)
	if end == event.EndRefused && o.needsToken(e.who) {
		o.limiter.release(e.who.account.Name, until)
	}
	took := o.cfg.Clock.Now() - r.Arrived
	o.cfg.Metrics.Answered(end, took)
	if c.parent != nil && a.Status >= fasthttp.StatusInternalServerError {
		c.parent.callFailed.Store(true)
	}
	o.log(c, &a, end, took)
	return http1.Reply{
		Answer: a,
	}
}

// answerDirectly answers a request without choosing a target, and logs it.
func (o *Outbound) answerDirectly(r *http1.Request, v *model.View, end, reason string, a guard.Answer) http1.Reply {
	took := o.cfg.Clock.Now() - r.Arrived
	o.cfg.Metrics.Answered(end, took)
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	event.Info(o.cfg.Log, event.Answered,
		zap.String("id", r.Get(o.cfg.Headers.ID)),
		zap.Uint64("version", version),
		zap.String("end", end),
		zap.String("reason", reason),
		zap.Int("status", a.Status),
		zap.Int64("took", int64(took)))
	return http1.Reply{
		Answer: a,
	}
}

// log writes one line about a request. Successful requests are sampled by their
// root.
func (o *Outbound) log(c *call, a *guard.Answer, end string, took clock.Milli) {
	isSuccess := end == event.EndDone && a.Status < fasthttp.StatusInternalServerError
	if isSuccess && !isSampled(c.root) {
		return
	}
	event.Info(o.cfg.Log, event.Answered,
		zap.String("id", c.id),
		zap.String("route", c.route.Name),
		zap.Uint64("version", c.view.Config.Version),
		zap.String("service", c.service),
		zap.Stringer("importance", c.importance),
		zap.Int("depth", c.depth),
		zap.Strings("tried", c.tried),
		zap.String("end", end),
		zap.String("reason", c.reason),
		zap.Int("status", a.Status),
		zap.Int64("left", int64(c.deadline-o.cfg.Clock.Now())),
		zap.Int("sample", sampleWeight(isSuccess)),
		zap.Int64("took", int64(took)))
}

// call is the state of one request at the outbound side.
type call struct {
	r       *http1.Request
	id      string
	route   *model.Route
	view    *model.View
	service string
	// importance and root determine the shedding rank at gates. root is the hash of
	// the id of the caller's request, or its order among the client accounts.
	importance rules.Importance
	root       uint64
	depth      int
	// parent is the request that made this call, nil if none is known.
	parent   *Parent
	deadline clock.Milli
	// tried lists the targets of all attempts in order.
	tried []string
	// excluded lists the targets that must not be tried again. rejectedBy is
	// the target that rejected the request last, without running it.
	excluded   []string
	rejectedBy string
	// linkBytes is what the last attempt took of the link budget, 0 if it stayed
	// in the region.
	linkBytes int
	// reached counts the attempts that reached a target or may have, runs those
	// of them that ran or may have, and refusals the refusals by daemons.
	reached    int
	runs       int
	refusals   int
	reason     string
	retryAfter clock.Milli
}

func (o *Outbound) newCall(r *http1.Request, e entry) *call {
	importance, root := e.rank()
	c := &call{
		r:          r,
		id:         e.id,
		route:      e.route,
		view:       e.view,
		service:    o.chooseService(e.route),
		importance: importance,
		root:       root,
		deadline:   o.deadlineOf(r, e.route),
	}
	if parent := e.parent; parent != nil {
		c.parent = parent
		c.depth = parent.Depth + 1
		o.graph.add(o.cfg.Clock.Now(), parent.Path, edge{
			service: c.service,
			path:    e.route.Name,
		})
	}
	if e.parent == nil {
		c.root = o.local.ranks.order(r.Arrived, e.view, e.who, c.importance, c.root)
	}
	return c
}

// priorityOf returns the priority of a request on a route, which its account may
// replace.
func priorityOf(route *model.Route, who identity) int {
	if who.account != nil && who.account.HasPriority {
		return who.account.Priority
	}
	return route.Priority
}

// chooseService chooses one of the services of a weighted route. A
// low-discrepancy sequence with a random start spreads the requests, so that
// the weights hold over short times too.
func (o *Outbound) chooseService(route *model.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	total := 0.0
	for _, p := range route.Services {
		total += p.Weight
	}
	if total <= 0 {
		return route.Services[0].Service
	}
	o.mu.Lock()
	pos, ok := o.spreadPos[route.Name]
	if !ok {
		pos = o.rand.Float64()
	}
	pos += goldenStep
	if pos >= 1 {
		pos--
	}
	o.spreadPos[route.Name] = pos
	o.mu.Unlock()
	point := pos * total
	for _, p := range route.Services {
		point -= p.Weight
		if point < 0 {
			return p.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
}

// goldenStep is the fractional part of the golden ratio. Its multiples modulo 1
// fill the range evenly, however many have been taken.
const goldenStep = 0.6180339887498949

func (o *Outbound) service(name string) *service {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.services[name]
	if !ok {
		s = newService(&o.cfg, name, o.linkBudget, o.cfg.Clock.Now(), o.cfg.View().CountHosts())
		o.services[name] = s
	}
	return s
}

func (o *Outbound) stamp(addr string) ticket.Stamp {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stamps[addr]
}

func (o *Outbound) setStamp(addr string, s ticket.Stamp) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stamps[addr] = s
}

// failure returns an error answer for a request without an answer of a target.
func (o *Outbound) failure(c *call, status int, text string) guard.Answer {
	return o.cfg.plainAnswer(c.id, status, text)
}
