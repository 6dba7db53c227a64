package bench

import (
	"math"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Uneven describes targets and demand that differ between data centres. Its
// senders have no target of their own and send the root requests.
type Uneven struct {
	// Senders is the number of daemons that send, spread over the centres.
	Senders int
	// Speeds holds the speed of the deep targets of each centre.
	Speeds [centres]float64
	// KneeFactor is how much slower a target gets while more than KneePercent
	// of its slots are busy.
	KneeFactor  float64
	KneePercent int
	// Swing is the amplitude of the demand of a centre, as a part of its mean.
	// Each centre is a quarter of the period ahead of the one before.
	Swing  float64
	Period clock.Milli
	Bursts []Burst
	// CallBytes is the size of a call with its answer.
	CallBytes int
	// LatencyGoal is the time within which an answer has its full value.
	LatencyGoal clock.Milli
	// Statements is what targets say of their load.
	Statements Statements
	// Link is the fault of the regional link between Begin and End of the
	// scenario.
	Link LinkFault
	// FailFast is the centre whose target fails nearly all calls within a
	// millisecond between Begin and End of the scenario, -1 for none.
	FailFast int
}

// Burst multiplies the demand of a centre for some time.
type Burst struct {
	Centre int
	At     clock.Milli
	Length clock.Milli
	Factor float64
}

// Statements describes the load reports of targets.
type Statements struct {
	// Learned makes targets limit themselves to what they do well, and state
	// their throughput and the wait.
	Learned bool
	// LostPercent is the part of the reports that is lost.
	LostPercent int
	// Delay is the time by which each report arrives later than its answer.
	Delay clock.Milli
}

// LinkFault is a fault of the regional link.
type LinkFault struct {
	// Extra is added to the latency in each direction.
	Extra clock.Milli
	// Cut loses all messages.
	Cut bool
}

// UnevenRegions returns the scenario in which the deep service has one target
// in each centre, of which one is fast, and the demand of the centres swings in
// different phases.
func UnevenRegions() Scenario {
	peek := &Operation{
		Path:    "ledger/balance-peek",
		Service: 0,
		OwnTime: 30,
	}
	share := func(importance rules.Importance, percent int) Stream {
		return Stream{
			Op:         peek,
			Importance: importance,
			Share:      percent,
		}
	}
	burst := func(centre int, at clock.Milli, factor float64) Burst {
		return Burst{
			Centre: centre,
			At:     at,
			Length: 2 * clock.Second,
			Factor: factor,
		}
	}
	return Scenario{
		Name: "uneven regions",
		Deployment: Deployment{
			Name:               "uneven",
			Services:           services([]string{"ledger"}, 110, 800, 110, 800),
			Streams:            []Stream{share(rules.Vital, 20), share(rules.High, 30), share(rules.Normal, 50)},
			PerCentre:          1,
			Demand:             10_000,
			RegionLatency:      1000,
			CrossRegionLatency: 20_000,
			CallerLatency:      1000,
		},
		Seed:         1,
		Begin:        2 * clock.Second,
		End:          17 * clock.Second,
		Length:       18 * clock.Second,
		CalmPercent:  100,
		SurgePercent: 100,
		DeepSlowdown: 1,
		Uneven: &Uneven{
			Senders:     71,
			Speeds:      [centres]float64{0.7, 0.7, 0.7, 1.6},
			KneeFactor:  1.3,
			KneePercent: 95,
			Swing:       0.55,
			Period:      15 * clock.Second,
			CallBytes:   1200,
			LatencyGoal: 200,
			FailFast:    -1,
			Bursts: []Burst{
				burst(0, 5*clock.Second, 1.4),
				burst(3, 9*clock.Second, 1.8),
				burst(1, 13*clock.Second, 1.6),
			},
			Statements: Statements{
				Learned: true,
			},
		},
	}
}

// rateOf returns the requests a second of a centre, given the mean over all.
func (u *Uneven) rateOf(now clock.Milli, centre int, total float64) float64 {
	angle := 2 * math.Pi * (float64(now)/float64(u.Period) + float64(centre)/centres)
	rate := total / centres * (1 + u.Swing*math.Sin(angle))
	for _, b := range u.Bursts {
		if b.Centre == centre && now >= b.At && now < b.At+b.Length {
			rate *= b.Factor
		}
	}
	return rate
}

// kneeLimit returns the number of slots that a target can use before it gets
// slower.
func (u *Uneven) kneeLimit(slots int) int { return slots * u.KneePercent / 100 }

// factor returns the factor on the service time at a target.
func (u *Uneven) factor(centre, slots, busy int) float64 {
	factor := 1 / u.Speeds[centre]
	if busy > u.kneeLimit(slots) {
		factor *= u.KneeFactor
	}
	return factor
}

// capacity returns the calls a second that a target of a centre does well.
func (s *Scenario) capacity(centre int) float64 {
	u := s.Uneven
	slots := u.kneeLimit(s.Deployment.Services[s.Deployment.DeepService].Slots)
	own := s.Deployment.Streams[0].Op.OwnTime
	return float64(slots) * u.Speeds[centre] / float64(own) * float64(clock.Second)
}

// IsolatedShare returns the share of the demand that the regions would serve
// during the disturbance if nothing crossed the link.
func (s *Scenario) IsolatedShare() float64 {
	served, demanded := 0.0, 0.0
	for at := s.Begin; at < s.End; at += binLength {
		var demand, pool [regions]float64
		for centre := range centres {
			demand[regionOf(centre)] += s.Uneven.rateOf(at, centre, s.rate(at))
			pool[regionOf(centre)] += s.capacity(centre)
		}
		for r := range regions {
			demanded += demand[r]
			served += min(demand[r], pool[r])
		}
	}
	return served / demanded
}

// PoolShare returns the share of the demand that one common pool of the same
// capacity would serve during the disturbance.
func (s *Scenario) PoolShare() float64 {
	pool := 0.0
	for centre := range centres {
		pool += s.capacity(centre)
	}
	served, demanded := 0.0, 0.0
	for at := s.Begin; at < s.End; at += binLength {
		demand := 0.0
		for centre := range centres {
			demand += s.Uneven.rateOf(at, centre, s.rate(at))
		}
		demanded += demand
		served += min(demand, pool)
	}
	return served / demanded
}

// makeSenders creates the daemons that send the root requests, and their
// pickers. Each has the link budget of a daemon of the platform.
func (f *fleet) makeSenders() {
	const (
		rate  = 100 << 10
		burst = 200 << 10
	)
	for i := range f.scenario.Uneven.Senders {
		d := newDaemon(f, 0, i%centres, len(f.daemons)+i)
		d.makePickersWith(pick.NewBucket(rate, burst))
		f.senders[d.centre] = append(f.senders[d.centre], d)
	}
}

// scheduleCentreArrivals schedules the next request of a centre and then itself.
func (f *fleet) scheduleCentreArrivals(centre int) {
	rate := f.scenario.Uneven.rateOf(f.now(), centre, f.scenario.rate(f.now()))
	f.after(micro(f.rand.ExpFloat64()*float64(clock.Second*perMilli)/rate), func() {
		senders := f.senders[centre]
		f.sendRoot(senders[f.rand.IntN(len(senders))])
		f.scheduleCentreArrivals(centre)
	})
}

// sendRoot sends one root request that its caller does not repeat.
func (f *fleet) sendRoot(d *daemon) {
	stream := f.drawStream()
	root := &rootRequest{
		stream: stream,
		region: regionOf(d.centre),
		start:  f.at,
	}
	req := &requestContext{
		importance: stream.Importance,
		rootHash:   f.rand.Uint64(),
		deadline:   f.at + toMicro(callerTimeout),
	}
	d.send(stream.Op, req, 1, retryUnits, func(result pick.Outcome, _ int) {
		f.attemptEnded(root, req, result == pick.Done && f.at <= req.deadline)
	})
}

// isCut reports whether messages between two centres are lost.
func (f *fleet) isCut(a, b int) bool {
	u := f.scenario.Uneven
	return u != nil && u.Link.Cut && regionOf(a) != regionOf(b) && f.scenario.isDisturbed(f.now())
}

// linkExtra returns what the fault of the link adds to the latency.
func (f *fleet) linkExtra() micro {
	u := f.scenario.Uneven
	if u == nil || !f.scenario.isDisturbed(f.now()) {
		return 0
	}
	return toMicro(u.Link.Extra)
}

// failsFast reports whether the target fails the call that begins.
func (t *target) failsFast() bool {
	u := t.f.scenario.Uneven
	if u == nil || u.FailFast != t.d.centre || !t.f.scenario.isDisturbed(t.f.now()) {
		return false
	}
	return t.f.rand.IntN(100) < 95
}

// learned adds what a target with a learned limit states to its load report.
func (t *target) learned(r pick.LoadReport) pick.LoadReport {
	u := t.f.scenario.Uneven
	if u == nil || !u.Statements.Learned {
		return r
	}
	r.Throughput = t.f.scenario.capacity(t.d.centre)
	ahead := max(0, r.Short.Running+1-r.Short.Limit)
	r.Wait = clock.Milli(float64(ahead) / r.Throughput * float64(clock.Second))
	return r
}

// isReportLost reports whether a load report does not arrive.
func (f *fleet) isReportLost() bool {
	u := f.scenario.Uneven
	return u != nil && u.Statements.LostPercent > 0 && f.rand.IntN(100) < u.Statements.LostPercent
}

// crossing records the arrivals at the targets and the calls that cross the
// link, by bin.
type crossing struct {
	arrivals       [centres][]int
	crossed        []int
	served, failed [regions]int
	bytes          [regions]int
}

func newCrossing(length clock.Milli) crossing {
	c := crossing{
		crossed: make([]int, length/binLength+1),
	}
	for i := range c.arrivals {
		c.arrivals[i] = make([]int, length/binLength+1)
	}
	return c
}

// ServedShare returns the part of the root requests of the disturbance that was
// served.
func (r *Result) ServedShare() float64 {
	served, all := 0, 0
	for importance := range r.succeeded {
		served += r.succeeded[importance]
		all += r.succeeded[importance] + r.failed[importance]
	}
	return float64(served) / float64(max(all, 1))
}

// RefusedShare returns the part of the root requests of a region that was not
// served during the disturbance.
func (r *Result) RefusedShare(region int) float64 {
	failed := r.crossing.failed[region]
	return float64(failed) / float64(max(failed+r.crossing.served[region], 1))
}

// ArrivalShare returns the part of the arrivals during the disturbance that the
// target of a centre received.
func (r *Result) ArrivalShare(centre int) float64 {
	arrived, all := 0, 0
	for bin := r.scenario.Begin / binLength; bin < r.scenario.End/binLength; bin++ {
		arrived += r.crossing.arrivals[centre][bin]
		for i := range centres {
			all += r.crossing.arrivals[i][bin]
		}
	}
	return float64(arrived) / float64(max(all, 1))
}

// Herd returns the greatest ratio of the arrivals at a target within 100 ms to
// its fair part: what it takes well, or its part of the demand if that is more.
func (r *Result) Herd() float64 {
	pool := 0.0
	for centre := range centres {
		pool += r.scenario.capacity(centre)
	}
	worst := 0.0
	for bin := r.scenario.Begin / binLength; bin < r.scenario.End/binLength; bin++ {
		total := 0
		for centre := range centres {
			total += r.crossing.arrivals[centre][bin]
		}
		for centre := range centres {
			capacity := r.scenario.capacity(centre)
			fair := max(capacity*float64(binLength)/float64(clock.Second), float64(total)*capacity/pool)
			worst = max(worst, float64(r.crossing.arrivals[centre][bin])/fair)
		}
	}
	return worst
}

// Unsteadiness returns the mean change of the crossing calls from one 100 ms to
// the next, as a part of their mean, 0 if none crossed.
func (r *Result) Unsteadiness() float64 {
	sum, change := 0.0, 0.0
	for bin := r.scenario.Begin/binLength + 1; bin < r.scenario.End/binLength; bin++ {
		sum += float64(r.crossing.crossed[bin])
		change += math.Abs(float64(r.crossing.crossed[bin] - r.crossing.crossed[bin-1]))
	}
	return change / max(sum, 1)
}

// LinkRate returns the bytes a second that crossed the link from a region during
// the disturbance, answers included.
func (r *Result) LinkRate(region int) float64 {
	return float64(r.crossing.bytes[region]) / float64(r.scenario.End-r.scenario.Begin) * float64(clock.Second)
}

// recordCrossing counts an attempt that crosses the link.
func (r *Result) recordCrossing(c *call) {
	now := c.d.f.now()
	r.crossing.crossed[now/binLength]++
	if r.scenario.isDisturbed(now) {
		r.crossing.bytes[regionOf(c.d.centre)] += c.bytes()
	}
}

// typicalCallBytes is the constant by which the platform's daemons estimate each
// call while they don't choose by expected time.
const typicalCallBytes = 6 << 10

// estimatedBytes returns the size of the call with its answer as its sender
// estimates it.
func (c *call) estimatedBytes() int {
	if c.d.f.scenario.Uneven != nil && !c.d.f.system.ExpectedTime {
		return typicalCallBytes
	}
	return c.bytes()
}

// bytes returns the size of the call with its answer.
func (c *call) bytes() int {
	if u := c.d.f.scenario.Uneven; u != nil {
		return u.CallBytes
	}
	return callBytes
}
