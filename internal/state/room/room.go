// Package room decides at the daemon that receives a caller's request whether the whole
// chain of calls that the request needs has room.
//
// The daemon beside a target that is overloaded states the target's capacity, the
// demand offered to it, and the mean level at which the entries had let that demand in
// ([Load]). The statements ride on the messages that flow between daemons, newest
// first, so that all daemons know them within some 100 ms. Each entry adds them up for
// a service and finds the level at which the demand fits the capacity: if the demand
// let in at level l is twice the capacity, it lets in half of what passes l. The level
// belongs to the demand that it is stated with, so an entry needs no state of its own
// and late news does not count twice. A request is refused by the strictest level of
// all services that its route needs, which entries learn from answers
// ([Room.LearnNeeds]).
//
// A level is a position in the order of requests: the importance plus the request's
// order within it as a fraction. Statements age from when they were made. They count
// less from relaxAge on and not at all from maxAge on, so that nothing is refused
// because of one for longer than that.
//
// A Room does no I/O, starts no goroutine and reads no clock. It is not safe for
// concurrent use.
package room

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Bounds of statements.
const (
	// Keys is the number of different keys of services and targets.
	Keys = 36 * 36 * 36 * 36 * 36
	// Top is the level that no request reaches.
	Top = float64(classCount)
	// MaxSlots is the largest capacity or demand in a statement.
	MaxSlots = 1 << 20
	// MaxSeq bounds the sequence number of a statement.
	MaxSeq = Keys - 1
	// MaxLoads is the largest number of statements in a message, and MaxNeeds that of
	// the services in one.
	MaxLoads = 8
	// MaxNeeds is the largest number of services that a route is known to need.
	MaxNeeds = 8
	// MaxCalls is the largest number of calls to one service that a request needs.
	MaxCalls = 1024
	// MaxRate is the largest number of calls a second.
	MaxRate = 1 << 20
)

const (
	// classCount is the number of importances.
	classCount = int(rules.Vital) + 1
	// maxAge is the age from which a statement no longer counts, and relaxAge the one
	// from which it counts in part.
	maxAge   = clock.Second
	relaxAge = 500 * clock.Millisecond
	// memory is how long the sequence of a target is remembered, so that a statement
	// that is held somewhere is not taken for new.
	memory = clock.Minute
	// maxTargets bounds the targets whose statements are kept.
	maxTargets = 1024
	// maxRoutes bounds the routes whose needs are kept.
	maxRoutes = 4096
	// needLifetime is how long a need is remembered.
	needLifetime = 10 * clock.Second
	// stateInterval is the time between two statements of a target.
	stateInterval = 100 * clock.Millisecond
	// sendInterval is the least time between two messages with statements. With
	// MaxLoads it bounds what is sent.
	sendInterval = 30 * clock.Millisecond
	// relays is the number of messages that carry a statement from each daemon.
	relays = 4
	// overloadedFrom is the demand, as a fraction of the capacity, from which a
	// target's state is of interest.
	overloadedFrom = 0.85
	// overloadedUntil is the one down to which it stays so.
	overloadedUntil = 0.6
	// backlogRounds is the number of requests, one after the other, in whose time the
	// queue of a target should empty.
	backlogRounds = 4
	// wantedLoad is the demand, as a fraction of the capacity, that is let in. The rest
	// evens out chance.
	wantedLoad = 0.9
	// spillLoad is the same while calls go to the other region too, which they do only
	// when all near targets are full.
	spillLoad = 1.5
	// spillLifetime is how long that is believed after an answer said so.
	spillLifetime = 500 * clock.Millisecond
	// levelInterval is the time between two computations of a service's level.
	levelInterval = 20 * clock.Millisecond
	// maxAhead is how far the clock of another host may be ahead of this one's.
	maxAhead = clock.Minute
)

// KeyOf returns the key of the service or target with the name.
func KeyOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % Keys) }

// Load is a statement about one target.
type Load struct {
	Service uint32
	Target  uint32
	// Incarnation is the second, by the wall clock of its host, in which the daemon
	// that made the statement started. With Seq it orders the statements of a target.
	Incarnation int64
	Seq         int64
	// Capacity and Demand are in slots.
	Capacity float64
	Demand   float64
	// Age is the time for which the statement is known to have existed.
	Age clock.Milli
}

// isValid reports whether all values are in range, at an instant of the wall clock.
func (l *Load) isValid(wall clock.Milli) bool {
	return l.Service < Keys && l.Target < Keys &&
		l.Incarnation > 0 && l.Incarnation <= int64((wall+maxAhead)/clock.Second) &&
		l.Seq >= 0 && l.Seq <= MaxSeq &&
		l.Capacity > 0 && l.Capacity <= MaxSlots &&
		l.Demand >= 0 && l.Demand <= MaxSlots &&
		l.Age >= 0 && l.Age < maxAge
}

// isOverloaded reports whether the demand is more than the target should have.
func (l *Load) isOverloaded() bool { return l.Demand > l.Capacity*overloadedFrom }

// isNewer reports whether l was made after o.
func (l *Load) isNewer(o *Load) bool {
	if l.Incarnation != o.Incarnation {
		return l.Incarnation > o.Incarnation
	}
	return l.Seq > o.Seq
}

// Position returns the position of a request in the order of all: a request with a
// higher one is kept longer.
func Position(importance rules.Importance, order uint64) float64 {
	return float64(min(int(importance), classCount-1)) + float64(order>>11)/(1<<53)
}

// Config configures a [Room].
type Config struct {
	// Incarnation is that of this daemon's own statements, see [Load].
	Incarnation int64
}

// Room is what one daemon knows of the room in all services. See the package comment.
type Room struct {
	cfg      Config
	meter    meter
	own      Load
	statedAt clock.Milli
	sentAt   clock.Milli
	entries  map[entryKey]*entry
	// services and routes are found by key and by path; the lists have a fixed order.
	services    map[uint32]*service
	serviceList []*service
	routes      map[string]*route
	routeList   []*route
	// news lists the entries that are still to be passed on.
	news []*entry
	next int
	// lastNews is the instant of the last statement that was adopted or made.
	lastNews clock.Milli
}

// entryKey identifies a target.
type entryKey struct {
	service uint32
	target  uint32
}

// entry is the newest statement about a target. madeAt is the instant at which it was
// made, as far as is known here.
type entry struct {
	load       Load
	madeAt     clock.Milli
	receivedAt clock.Milli
	relaysLeft int
	isNews     bool
}

// New returns a room in which nothing is overloaded.
func New(cfg Config) *Room {
	return &Room{
		cfg:      cfg,
		statedAt: math.MinInt64 / 2,
		sentAt:   math.MinInt64 / 2,
		lastNews: math.MinInt64 / 2,
		entries:  make(map[entryKey]*entry),
		services: make(map[uint32]*service),
		routes:   make(map[string]*route),
	}
}

// IsActive reports whether a statement was adopted or made within its lifetime.
func (r *Room) IsActive(now clock.Milli) bool { return now-r.lastNews < maxAge }

// Result tells what became of a statement.
type Result uint8

// Results.
const (
	// Adopted means that the statement is the newest of its target.
	Adopted Result = iota
	// Known means that the statement is not newer than the one known.
	Known
	// Invalid means that a value is out of range.
	Invalid
	// Full means that the statements of too many targets are kept.
	Full
)

// Merge takes a statement that another daemon sent. Merging is idempotent, and the
// newest statement of a target wins in any order.
func (r *Room) Merge(now, wall clock.Milli, l Load) Result {
	if !l.isValid(wall) {
		return Invalid
	}
	key := entryKey{
		service: l.Service,
		target:  l.Target,
	}
	e, ok := r.entries[key]
	switch {
	case ok && !l.isNewer(&e.load) && now-e.receivedAt < memory:
		return Known
	case !ok && len(r.entries) >= maxTargets:
		r.sweep(now)
		if len(r.entries) >= maxTargets {
			return Full
		}
		fallthrough
	case !ok:
		e = &entry{}
		r.entries[key] = e
		s := r.service(l.Service)
		s.entries = append(s.entries, e)
	}
	e.load = l
	e.madeAt = now - l.Age
	e.receivedAt = now
	e.relaysLeft = relays
	r.lastNews = now
	if !e.isNews {
		e.isNews = true
		r.news = append(r.news, e)
	}
	return Adopted
}

// sweep forgets the targets that have stated nothing for a long time.
func (r *Room) sweep(now clock.Milli) {
	for key, e := range r.entries {
		if now-e.receivedAt >= memory && !e.isNews {
			delete(r.entries, key)
			s := r.service(key.service)
			if s.remove(e); len(s.entries) == 0 {
				delete(r.services, key.service)
				r.serviceList = slices.DeleteFunc(r.serviceList, func(o *service) bool { return o == s })
			}
		}
	}
}

// Pending appends to dst the statements that the next message to another daemon
// carries, at most [MaxLoads]. There are none while nothing is overloaded or if the
// last message is too recent.
func (r *Room) Pending(now clock.Milli, dst []Load) []Load {
	if len(r.news) == 0 || now-r.sentAt < sendInterval {
		return dst
	}
	sent := 0
	for i := len(r.news); i > 0 && sent < MaxLoads; i-- {
		r.next = (r.next + 1) % len(r.news)
		e := r.news[r.next]
		age := max(now-e.madeAt, 0)
		if age < relaxAge && e.relaysLeft > 0 {
			l := e.load
			l.Age = age
			dst = append(dst, l)
			e.relaysLeft--
			sent++
		}
		if age >= relaxAge || e.relaysLeft == 0 {
			last := len(r.news) - 1
			r.news[r.next] = r.news[last]
			r.news = r.news[:last]
			e.isNews = false
			if last == 0 {
				break
			}
		}
	}
	if sent > 0 {
		r.sentAt = now
	}
	return dst
}

// service returns the state of a service.
func (r *Room) service(key uint32) *service {
	s, ok := r.services[key]
	if !ok {
		s = &service{
			key:        key,
			computedAt: math.MinInt64 / 2,
		}
		r.services[key] = s
		r.serviceList = append(r.serviceList, s)
	}
	return s
}
