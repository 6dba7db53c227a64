package flow

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// entry is a request that was let in: its route, and whom it belongs to.
type entry struct {
	id     string
	view   *model.View
	route  *model.Route
	parent *Parent
	who    identity
}

// rank returns what determines the shedding rank of the request at gates.
func (e *entry) rank() (importance rules.Importance, root uint64) {
	if e.parent != nil {
		return e.parent.Importance, e.parent.Root
	}
	return importanceOf(priorityOf(e.route, e.who)), xxhash.Sum64String(e.id)
}

// enter decides by the header of a request whether it is let in. It returns the reply
// to one that is not, and nil otherwise.
func (o *Outbound) enter(r *http1.Request, id string, parent *Parent) (entry, *http1.Reply) {
	v := o.cfg.View()
	if v.Config == nil || !v.Fleet.Loaded {
		const reason = "no configuration yet"
		reply := o.answerDirectly(r, v, event.EndNotReady, reason, o.cfg.refusal(id, reason, unreadyRetryAfter))
		return entry{}, &reply
	}
	route, ok := v.Config.Match(r.Host, r.Path())
	if !ok {
		const reason = "no route"
		reply := o.answerDirectly(r, v, event.EndNoRoute, reason, o.cfg.plainAnswer(id, fasthttp.StatusNotFound, reason))
		return entry{}, &reply
	}
	who, denied := o.identify(r, id, route, v, parent)
	if denied != nil {
		reply := o.answerDirectly(r, v, denied.end, denied.reason, denied.answer)
		return entry{}, &reply
	}
	if end := clock.Milli(o.stopTime.Load()); end > 0 && o.deadlineOf(r, route) > end {
		const reason = "the daemon stops"
		reply := o.answerDirectly(r, v, event.EndNotReady, reason, o.cfg.refusal(id, reason, closingRetryAfter))
		reply.Close = true
		return entry{}, &reply
	}
	return entry{
		id:     id,
		view:   v,
		route:  route,
		parent: parent,
		who:    who,
	}, nil
}

// deadlineOf returns the instant until which the caller of a request waits.
func (o *Outbound) deadlineOf(r *http1.Request, route *model.Route) clock.Milli {
	left := timeLeft(r, o.cfg.Headers.Deadline)
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	return r.Arrived + left
}

// BodyTime returns how long the body of a request may take: until its deadline, after
// which the answer is of no use.
func (o *Outbound) BodyTime(r *http1.Request) clock.Milli {
	v := o.cfg.View()
	if v.Config != nil {
		if route, ok := v.Config.Match(r.Host, r.Path()); ok {
			return o.deadlineOf(r, route) - r.Arrived
		}
	}
	return timeLeft(r, o.cfg.Headers.Deadline)
}

// Precheck returns the reply to a request that is refused whatever its body is, and
// whether it is: because it is not let in, or because every target would refuse it.
func (o *Outbound) Precheck(r *http1.Request) (http1.Reply, bool) {
	id := r.Get(o.cfg.Headers.ID)
	parent := o.parentOf(r, id)
	if parent == nil {
		o.callers.begin(r.Arrived)
		defer o.callers.end()
	}
	e, refused := o.enter(r, id, parent)
	if refused != nil {
		return *refused, true
	}
	if !o.allWouldRefuse(&e) {
		return http1.Reply{}, false
	}
	return o.refuseEarly(r, &e), true
}

// refuseEarly refuses a request whose body was not read, because every target would
// refuse it.
func (o *Outbound) refuseEarly(r *http1.Request, e *entry) http1.Reply {
	const reason = "early: every target would refuse"
	importance, root := e.rank()
	c := &call{
		r:          r,
		id:         e.id,
		route:      e.route,
		view:       e.view,
		service:    e.route.Services[0].Service,
		importance: importance,
		root:       root,
		deadline:   o.deadlineOf(r, e.route),
		reason:     reason,
	}
	if e.parent != nil {
		c.depth = e.parent.Depth + 1
		e.parent.callFailed.Store(true)
	}
	a := o.cfg.refusal(e.id, "not run: "+reason, minRetryAfter)
	took := o.cfg.Clock.Now() - r.Arrived
	o.cfg.Metrics.Answered(event.EndRefused, took)
	o.log(c, &a, event.EndRefused, took)
	return http1.Reply{
		Answer: a,
	}
}

// allWouldRefuse reports whether every target of all services of the route would refuse
// the upload. It reports false for other requests, for calls that were let in with their
// chain, and for requests of client accounts, whose order is known only once they count
// as demand.
func (o *Outbound) allWouldRefuse(e *entry) bool {
	isLetIn := e.parent != nil && o.local.rooms.isOn(e.view)
	if !e.route.Upload || isLetIn || e.who.account != nil {
		return false
	}
	now := o.cfg.Clock.Now()
	importance, root := e.rank()
	for i := range e.route.Services {
		name := e.route.Services[i].Service
		if !o.service(name).allWouldRefuse(now, e.route.Name, importance, root) {
			return false
		}
		if e.parent != nil {
			// A refused call, too, shows which service the operation needs.
			o.graph.add(now, e.parent.Path, edge{
				service: name,
				path:    e.route.Name,
			})
		}
	}
	return true
}

// BodyTime returns how long the body of another daemon's request may take.
func (n *Inbound) BodyTime(r *http1.Request) clock.Milli { return timeLeft(r, n.cfg.Headers.Deadline) }

// Precheck returns the reply to an attempt of another daemon that is refused whatever
// its body is, and whether it is. The guard fences a refused attempt, as if it had been
// asked about it; an attempt that it has seen before is left to Handle.
func (n *Inbound) Precheck(r *http1.Request) (http1.Reply, bool) {
	hop, err := peer.ParseHop(r.Get(peer.HeaderHop))
	if err != nil || hop.IsQuery {
		return http1.Reply{}, false
	}
	now := n.cfg.Clock.Now()
	reason := n.refusalReason(now, hop, now+timeLeft(r, n.cfg.Headers.Deadline))
	if reason == "" || !n.fence(now, hop) {
		return http1.Reply{}, false
	}
	n.cfg.takeSeen(r.Fields)
	a, fb := n.refuse(r, hop, reason)
	fb.Received = true
	fb.Threshold = fb.Threshold.Max(n.DownstreamThreshold(hop.Path))
	n.log(r, hop, &a, fb, passage{}, n.cfg.Clock.Now()-r.Arrived)
	return n.reply(a, fb), true
}

// fence makes sure that an attempt of which the body is not read never runs, and reports
// whether it has not run either.
func (n *Inbound) fence(now clock.Milli, hop peer.Hop) bool {
	return hop.Key == "" || n.table.Query(now, ticketOf(hop)).Status == guard.NotRun
}

// Unread returns the answer a to an attempt of which the body was given up, with the
// feedback that it has not run, so that its sender can use another target at once. r is
// nil if the header was not read.
func (n *Inbound) Unread(r *http1.Request, a guard.Answer) guard.Answer {
	if r == nil || a.Status != fasthttp.StatusServiceUnavailable && a.Status != fasthttp.StatusRequestTimeout {
		return a
	}
	hop, err := peer.ParseHop(r.Get(peer.HeaderHop))
	if err != nil || hop.IsQuery || !n.fence(n.cfg.Clock.Now(), hop) {
		return a
	}
	n.cfg.Metrics.Refused(peer.ReasonUnread)
	fb := n.feedback(peer.NotRun, peer.ReasonUnread)
	fb.Received = true
	n.log(r, hop, &a, fb, passage{}, n.cfg.Clock.Now()-r.Arrived)
	return n.reply(a, fb).Answer
}

// refusalReason returns why an attempt with a deadline is refused before the gate is
// asked, "" if it is not.
func (n *Inbound) refusalReason(now clock.Milli, hop peer.Hop, deadline clock.Milli) string {
	switch {
	case !n.takesWork(now):
		return peer.ReasonLeaving
	case n.isOtherTarget(hop.Target):
		return peer.ReasonReplaced
	case !n.isLetIn(hop) && !n.DownstreamThreshold(hop.Path).Passes(hop.Importance, hop.RootHash):
		return peer.ReasonDownstream
	case n.endsBefore(deadline):
		return peer.ReasonEnding
	}
	return ""
}

// isLetIn reports whether the request belongs to a chain of calls that was decided on
// at its entry, so that thresholds do not hold it back.
func (n *Inbound) isLetIn(hop peer.Hop) bool {
	return hop.Depth > 0 && n.rooms.isOn(n.cfg.View())
}
