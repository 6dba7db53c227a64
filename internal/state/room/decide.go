package room

import (
	"math"
	"slices"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// offerTime is the time constant of what is asked for, and letInTime that of what
	// is let in. The latter is as late as the demand that targets measure.
	offerTime = 500 * clock.Millisecond
	letInTime = 700 * clock.Millisecond
	// followTime is the time constant with which an average follows what this daemon
	// sees.
	followTime = 300 * clock.Millisecond
	// adoption is the weight of a statement of another daemon in the average.
	adoption = 0.3
	// leastPart is the part of what is asked for that is let in at least, so that
	// targets go on to measure.
	leastPart = 0.01
	// idleChange is the change from which targets are idle. What is let in is
	// an average of some time, so it would grow slowly then.
	idleChange = 1.3
	// leastOffer is a demand, in calls a second, too small to tell anything.
	leastOffer = 1e-3
)

// Flow is what a daemon knows of the calls to a service that requests at the entries
// need, per daemon and second.
type Flow struct {
	Service uint32
	// Offered is what is asked for by importance, and LetIn what is let in.
	Offered [classCount]float64
	LetIn   float64
}

// isValid reports whether all values are in range.
func (f *Flow) isValid() bool {
	for _, v := range f.Offered {
		if !(v >= 0 && v <= MaxRate) {
			return false
		}
	}
	return f.Service < Keys && f.LetIn >= 0 && f.LetIn <= MaxRate
}

// follow moves f towards o by a part of the difference.
func (f *Flow) follow(o *Flow, part float64) {
	for i := range f.Offered {
		f.Offered[i] += (o.Offered[i] - f.Offered[i]) * part
	}
	f.LetIn += (o.LetIn - f.LetIn) * part
}

// total returns what is asked for.
func (f *Flow) total() float64 {
	sum := 0.0
	for _, v := range f.Offered {
		sum += v
	}
	return sum
}

// levelOf returns the level that a part of what is asked for passes.
func (f *Flow) levelOf(passing float64) float64 {
	for class := classCount - 1; class >= 0; class-- {
		if passing < f.Offered[class] {
			return float64(class+1) - passing/f.Offered[class]
		}
		passing -= f.Offered[class]
	}
	return 0
}

// service is the state of a service at this daemon.
type service struct {
	key     uint32
	entries []*entry
	// mean is the average over the daemons.
	mean Flow
	// level is of the instant computedAt.
	level      float64
	computedAt clock.Milli
	stated     bool
	// spillsUntil is the instant until which calls are known to go to the other region
	// too.
	spillsUntil clock.Milli
}

func (s *service) remove(e *entry) {
	s.entries = slices.DeleteFunc(s.entries, func(o *entry) bool { return o == e })
}

// isStated reports whether a statement about the service counts.
func (s *service) isStated(now clock.Milli) bool {
	for _, e := range s.entries {
		if now-e.madeAt < maxAge {
			return true
		}
	}
	return false
}

// isOverloaded reports whether a target of the service is overloaded.
func (s *service) isOverloaded(now clock.Milli) bool {
	for _, e := range s.entries {
		if now-e.madeAt < maxAge && e.load.isOverloaded() {
			return true
		}
	}
	return false
}

// levelOf returns the level at which the demand for a service fits its capacity.
func (r *Room) levelOf(now clock.Milli, s *service) float64 {
	if elapsed := now - s.computedAt; elapsed >= levelInterval {
		s.computedAt = now
		s.stated = s.isStated(now)
		if s.stated {
			own := r.flow(now, s.key)
			s.mean.follow(&own, -math.Expm1(-float64(elapsed)/float64(followTime)))
		}
		s.level = s.compute(now)
	}
	return s.level
}

// flow returns what this daemon itself sees of the calls to a service.
func (r *Room) flow(now clock.Milli, key uint32) Flow {
	f := Flow{
		Service: key,
	}
	for _, rt := range r.routeList {
		if n := rt.needOf(now, key); n != nil {
			rt.advance(now)
			for class, v := range n.offered {
				f.Offered[class] += v * n.Calls
			}
			f.LetIn += rt.letIn * n.Calls
		}
	}
	return f
}

func (s *service) compute(now clock.Milli) float64 {
	demand, capacity := 0.0, 0.0
	youngest := maxAge
	for _, e := range s.entries {
		age := now - e.madeAt
		if age >= maxAge {
			continue
		}
		youngest = min(youngest, age)
		demand += e.load.Demand
		capacity += e.load.Capacity
	}
	total := s.mean.total()
	if youngest >= maxAge || demand == 0 || total < leastOffer {
		return 0
	}
	wanted := wantedLoad
	if now < s.spillsUntil {
		wanted = spillLoad
	}
	change := wanted * capacity / demand
	if change > idleChange {
		change *= change
	}
	room := s.mean.LetIn * change
	level := s.mean.levelOf(max(room, total*leastPart))
	if youngest > relaxAge {
		level *= float64(maxAge-youngest) / float64(maxAge-relaxAge)
	}
	return level
}

// route is what is known of a route at this daemon.
type route struct {
	// offered and letIn are the callers' requests a second, the former by importance.
	// They are of the instant at.
	offered [classCount]float64
	letIn   float64
	at      clock.Milli
	needs   [MaxNeeds]need
}

// need is a service that a request of a route needs, and with how many calls.
type need struct {
	Need
	seenAt clock.Milli
	// offered is the part of the route's requests that no other service holds back, by
	// importance. level is that of the service when a request was decided on last.
	offered [classCount]float64
	level   float64
}

// isKnown reports whether n is a need that was seen lately enough.
func (n *need) isKnown(now clock.Milli) bool { return n.Calls > 0 && now-n.seenAt < needLifetime }

// Need is a service that the calls of a request need.
type Need struct {
	Service uint32
	// Calls is the number of calls, more than 0.
	Calls float64
	// Spills says that calls may go to targets of the other region.
	Spills bool
}

func (n *Need) isValid() bool { return n.Service < Keys && n.Calls > 0 && n.Calls <= MaxCalls }

func (rt *route) advance(now clock.Milli) {
	elapsed := float64(now - rt.at)
	if elapsed <= 0 {
		return
	}
	rt.at = now
	left := math.Exp(-elapsed / float64(offerTime))
	for class := range rt.offered {
		rt.offered[class] *= left
		for i := range rt.needs {
			rt.needs[i].offered[class] *= left
		}
	}
	rt.letIn *= math.Exp(-elapsed / float64(letInTime))
}

// needOf returns the need of a service, nil if there is none.
func (rt *route) needOf(now clock.Milli, key uint32) *need {
	for i := range rt.needs {
		if n := &rt.needs[i]; n.Service == key && n.isKnown(now) {
			return n
		}
	}
	return nil
}

// offer counts a request at a position. A service is not asked for what another one
// holds back.
func (rt *route) offer(now clock.Milli, class int, position float64) {
	const unit = float64(clock.Second) / float64(offerTime)
	rt.offered[class] += unit
	for i := range rt.needs {
		others := 0.0
		for j := range rt.needs {
			if j != i && rt.needs[j].isKnown(now) {
				others = max(others, rt.needs[j].level)
			}
		}
		if position >= others {
			rt.needs[i].offered[class] += unit
		}
	}
}

// Decide returns whether a caller's request of a route to a service is let in, with an
// importance and an order within it, and the level at which such requests are.
func (r *Room) Decide(now clock.Milli, path string, service uint32, importance rules.Importance, order uint64) (level float64, ok bool) {
	rt := r.route(now, path)
	if rt == nil {
		return 0, true
	}
	rt.add(now, Need{
		Service: service,
		Calls:   1,
	})
	rt.advance(now)
	for i := range rt.needs {
		n := &rt.needs[i]
		n.level = 0
		if s, ok := r.services[n.Service]; ok && n.isKnown(now) {
			n.level = r.levelOf(now, s)
			level = max(level, n.level)
		}
	}
	position := Position(importance, order)
	rt.offer(now, min(int(importance), classCount-1), position)
	if position < level {
		return level, false
	}
	rt.letIn += float64(clock.Second) / float64(letInTime)
	return level, true
}

// route returns the state of a route, nil if there is no space.
func (r *Room) route(now clock.Milli, path string) *route {
	rt, ok := r.routes[path]
	if !ok && (len(r.routes) < maxRoutes || r.sweepRoutes(now)) {
		rt = &route{
			at: now,
		}
		r.routes[path] = rt
		r.routeList = append(r.routeList, rt)
	}
	return rt
}

// LearnNeed records that a request of a route needed calls to a service, as the daemon
// beside a target of the route said.
func (r *Room) LearnNeed(now clock.Milli, path string, n Need) Result {
	if !n.isValid() {
		return Invalid
	}
	if rt := r.route(now, path); rt != nil {
		rt.add(now, n)
	}
	if s, ok := r.services[n.Service]; ok && n.Spills {
		s.spillsUntil = now + spillLifetime
	}
	return Adopted
}

// needAdoption is the weight of a new number of calls in the average. A request that
// failed before its last call says too little, so a higher number counts at once.
const needAdoption = 0.05

// add records a need, in place of the one that was seen longest ago if there is no
// space.
func (rt *route) add(now clock.Milli, n Need) {
	slot := 0
	for i := range rt.needs {
		have := &rt.needs[i]
		if have.Calls > 0 && have.Service == n.Service {
			have.seenAt = now
			have.Calls = max(n.Calls, have.Calls+(n.Calls-have.Calls)*needAdoption)
			return
		}
		if have.Calls == 0 || rt.needs[slot].Calls > 0 && have.seenAt < rt.needs[slot].seenAt {
			slot = i
		}
	}
	rt.needs[slot] = need{
		Need:    n,
		seenAt:  now,
		offered: rt.offered,
	}
}

// sweepRoutes forgets the routes that have not been used for long and reports whether
// there is space.
func (r *Room) sweepRoutes(now clock.Milli) bool {
	for path, rt := range r.routes {
		if now-rt.at >= needLifetime {
			delete(r.routes, path)
			r.routeList = slices.DeleteFunc(r.routeList, func(o *route) bool { return o == rt })
		}
	}
	return len(r.routes) < maxRoutes
}

// AddCall adds to needs a call that a request made, and the calls that it needed in
// turn. Only services about which a statement counts are added.
func (r *Room) AddCall(now clock.Milli, call Need, below []Need, needs []Need) []Need {
	needs = r.addNeed(now, call, needs)
	for _, n := range below {
		if n.isValid() {
			needs = r.addNeed(now, n, needs)
		}
	}
	return needs
}

func (r *Room) addNeed(now clock.Milli, n Need, needs []Need) []Need {
	for i := range needs {
		if needs[i].Service == n.Service {
			needs[i].Calls = min(needs[i].Calls+n.Calls, MaxCalls)
			needs[i].Spills = needs[i].Spills || n.Spills
			return needs
		}
	}
	if s, ok := r.services[n.Service]; !ok || len(needs) >= MaxNeeds || !s.isStated(now) {
		return needs
	}
	return append(needs, n)
}

// MergeFlow takes what another daemon knows of the calls to a service.
func (r *Room) MergeFlow(now clock.Milli, f Flow) Result {
	if !f.isValid() {
		return Invalid
	}
	s, ok := r.services[f.Service]
	if !ok || !s.isStated(now) {
		return Known
	}
	r.levelOf(now, s)
	s.mean.follow(&f, adoption)
	return Adopted
}

// Flows appends to dst what this daemon knows of the calls to services about which a
// statement counts, at most [MaxNeeds].
func (r *Room) Flows(now clock.Milli, dst []Flow) []Flow {
	for _, s := range r.serviceList {
		if len(dst) >= MaxNeeds {
			break
		}
		if !s.isStated(now) {
			continue
		}
		r.levelOf(now, s)
		f := s.mean
		f.Service = s.key
		dst = append(dst, f)
	}
	return dst
}
