// Package fair orders the requests of client accounts within one importance, so that
// a threshold on the order divides capacity among the accounts by max-min fairness.
//
// The daemon that receives a caller's request computes its order once, with
// [Ranker.Order], and every hop carries it in place of the hash of the request's id.
// A request has a position: its hash, as a fraction, times its account's demand over
// the account's weight. The requests of one account are spread evenly over the
// positions from 0 to its demand over its weight, so those before a certain position
// are the same share per weight of every account, or all that the account asks for.
// The order falls with the position. It is scaled by the distribution of the positions
// of all requests, so that orders are spread as evenly as hashes and thresholds keep
// their resolution.
//
// Each daemon sees few requests of an account. A Ranker therefore averages the demand
// that it sees with what other daemons state, see [Ranker.Statements]. A statement is
// one daemon's estimate of the demand per daemon. Averaging keeps the mean of all
// estimates where it is, and the estimates follow the own arrivals slowly, so that
// state which is lost, repeated or wrong ends by itself within some seconds.
//
// A Ranker does no I/O, starts no goroutine and reads no clock. It is not safe for
// concurrent use.
package fair

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// arrivalTime is the time constant of the rate of arrivals.
	arrivalTime = 2 * clock.Second
	// followTime is the time constant with which an estimate follows the arrivals at
	// this daemon.
	followTime = 4 * clock.Second
	// adoption is the weight of a statement of another daemon in the average.
	adoption = 0.25
	// curveInterval is the time between two computations of the distribution, which is
	// short against the time constants.
	curveInterval = 500 * clock.Millisecond
	// floorFactor bounds what a demanding account loses: a fraction of its requests of
	// 1/floorFactor of the fraction served of all keeps its place. The floor itself
	// raises the fraction served of all by at most a third, so no account is served
	// less than a quarter as often as all.
	floorFactor = 3
	// statementInterval is the time between two messages with statements, and
	// MaxStatements the number in one. Together they bound what is sent.
	statementInterval = 50 * clock.Millisecond
	// MaxStatements is the largest number of statements in a message.
	MaxStatements = 16
	// MinRate is the least rate in a statement, in requests a second.
	MinRate = 1.0 / 256
	// MaxRate is the highest rate in a statement.
	MaxRate = 1 << 20
	// Keys is the number of different keys of statements.
	Keys = 36 * 36 * 36 * 36 * 36
	// hashBits is the part of an order that is the position. The rest is that of the
	// hash, by which log lines are sampled.
	hashBits = 48
)

// classCount is the number of importances, which share capacity separately.
const classCount = int(rules.Vital) + 1

// Statement is a daemon's estimate of the demand of an account in one importance.
type Statement struct {
	// Key identifies the account and the importance; it is below [Keys].
	Key uint32
	// Rate is the demand per daemon in requests a second.
	Rate float64
}

// demand is the demand of an account in one importance.
type demand struct {
	key    uint32
	class  int
	weight float64
	// arrivals is the rate of arrivals at this daemon, and estimate the average over
	// the daemons. Both are of the instant at.
	arrivals float64
	estimate float64
	at       clock.Milli
	// ratio is the estimate over the weight when the curves were computed.
	ratio float64
}

// advance brings d to the present.
func (d *demand) advance(now clock.Milli) {
	elapsed := float64(now - d.at)
	if elapsed <= 0 {
		return
	}
	d.at = now
	d.estimate += (d.arrivals - d.estimate) * -math.Expm1(-elapsed/float64(followTime))
	d.arrivals *= math.Exp(-elapsed / float64(arrivalTime))
	if d.estimate < MinRate/2 {
		d.estimate = 0
	}
}

// Ranker computes the order of requests. See the package comment.
type Ranker struct {
	// byName holds the demands of each account by importance.
	byName map[string]*[classCount]demand
	byKey  map[uint32]*demand
	// all lists the demands by key; next is the one that the next message begins with.
	all    []*demand
	next   int
	sentAt clock.Milli
	curves [classCount]curve
	// sorted is the scratch space of the curves.
	sorted  []*demand
	curveAt clock.Milli
}

// New returns a ranker without accounts.
func New() *Ranker {
	return &Ranker{
		sentAt:  math.MinInt64 / 2,
		curveAt: math.MinInt64 / 2,
	}
}

// SetAccounts replaces the accounts. The demand of accounts that stay is kept.
func (r *Ranker) SetAccounts(now clock.Milli, accounts *acct.Accounts) {
	names := accounts.Names()
	slices.Sort(names)
	old := r.byName
	r.byName = make(map[string]*[classCount]demand, len(names))
	r.byKey = make(map[uint32]*demand, len(names)*classCount)
	r.all = make([]*demand, 0, len(names)*classCount)
	r.sorted = make([]*demand, 0, len(names)*classCount)
	mean := meanLimit(accounts, names)
	for _, name := range names {
		classes, ok := old[name]
		if !ok {
			classes = newDemands(now, name)
		}
		weight := mean
		if a, _ := accounts.ByName(name); a.IsCapped() {
			weight = a.Rate
		}
		r.byName[name] = classes
		for class := range classes {
			d := &classes[class]
			d.weight = weight
			r.byKey[d.key] = d
			r.all = append(r.all, d)
		}
	}
	r.next = 0
	for class := range r.curves {
		r.curves[class] = newCurve(len(names))
	}
	r.curveAt = math.MinInt64 / 2
}

func newDemands(now clock.Milli, name string) *[classCount]demand {
	hash := xxhash.Sum64String(name)
	classes := new([classCount]demand)
	for class := range classes {
		classes[class] = demand{
			key:   uint32((hash + uint64(class)) % Keys),
			class: class,
			at:    now,
		}
	}
	return classes
}

// meanLimit returns the mean rate limit of the accounts that have one, 1 if none has.
func meanLimit(accounts *acct.Accounts, names []string) float64 {
	sum, n := 0.0, 0
	for _, name := range names {
		if a, _ := accounts.ByName(name); a.IsCapped() {
			sum += a.Rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Order records the arrival of a caller's request and returns its order. A request
// with a higher order is kept longer. For an unknown account, and while no demand is
// known, it is the hash.
func (r *Ranker) Order(now clock.Milli, account string, importance rules.Importance, hash uint64) uint64 {
	classes, ok := r.byName[account]
	if !ok || int(importance) >= classCount {
		return hash
	}
	if now-r.curveAt >= curveInterval {
		r.updateCurves(now)
	}
	d := &classes[importance]
	d.advance(now)
	order := r.curves[importance].order(d.ratio, hash)
	d.arrivals += float64(clock.Second) / float64(arrivalTime)
	return order
}

// updateCurves computes the distributions of the positions.
func (r *Ranker) updateCurves(now clock.Milli) {
	r.curveAt = now
	r.sorted = r.sorted[:0]
	for _, d := range r.all {
		d.advance(now)
		d.ratio = d.estimate / d.weight
		if d.estimate > 0 {
			r.sorted = append(r.sorted, d)
		}
	}
	slices.SortFunc(r.sorted, func(a, b *demand) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		return cmp.Compare(a.ratio, b.ratio)
	})
	begin := 0
	for class := range r.curves {
		end := begin
		for end < len(r.sorted) && r.sorted[end].class == class {
			end++
		}
		r.curves[class].set(r.sorted[begin:end])
		begin = end
	}
}

// Statements appends to dst the estimates that the next message to another daemon
// carries, at most [MaxStatements]. There are none if the last message is too recent.
func (r *Ranker) Statements(now clock.Milli, dst []Statement) []Statement {
	if now-r.sentAt < statementInterval {
		return dst
	}
	sent := 0
	for range r.all {
		d := r.all[r.next]
		r.next = (r.next + 1) % len(r.all)
		d.advance(now)
		if d.estimate < MinRate {
			continue
		}
		dst = append(dst, Statement{
			Key:  d.key,
			Rate: min(d.estimate, MaxRate),
		})
		if sent++; sent == MaxStatements {
			break
		}
	}
	r.sentAt = now
	return dst
}

// Learn adopts a statement of another daemon. It ignores one of an unknown account or
// with a rate out of range, and returns false.
func (r *Ranker) Learn(now clock.Milli, s Statement) bool {
	d, ok := r.byKey[s.Key]
	if !ok || !(s.Rate >= 0 && s.Rate <= MaxRate) {
		return false
	}
	d.advance(now)
	d.estimate += (s.Rate - d.estimate) * adoption
	return true
}
