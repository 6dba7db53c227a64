package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// sim is a fleet of daemons with messages between them, in simulated time.
type sim struct {
	now     clock.Milli
	rand    *rand.Rand
	daemons []*simDaemon
	byHost  map[string]*simDaemon
	hosts   []string
	table   *Table
	due     map[clock.Milli][]func()
	// isCut reports whether no message passes between two hosts. lossy is the share of
	// messages that are lost, and of those that come late, and of those that come twice.
	isCut func(a, b int) bool
	lossy float64
	// arrived and served hold the instants of the requests by account.
	arrived map[string][]clock.Milli
	served  map[string][]clock.Milli
	// refused counts requests that were rejected as over the limit.
	refused int
}

// simDaemon is one daemon of a sim.
type simDaemon struct {
	index  int
	run    uint64
	b      *Borrower
	l      *Lender
	isDead bool
	// waiting holds the instants at which waiting requests arrived, by account.
	waiting map[string][]clock.Milli
	asking  map[string]bool
}

const simStart = clock.Second

// simLimits are the accounts of a sim: a large one and a small one.
var simLimits = []Limit{
	{
		Name:  "large",
		Rate:  400,
		Burst: 200,
	},
	{
		Name: "flat",
		Rate: 300,
	},
	{
		Name:  "small",
		Rate:  5,
		Burst: 5,
	},
}

// simBounds is the excess that the checks tolerate.
var simBounds = Bounds{
	Window: 5 * clock.Second,
	Over:   0.25,
	Slack:  20,
}

// simHosts returns the names of a number of hosts.
func simHosts(size int) []string {
	hosts := make([]string, 0, size)
	for i := range size {
		hosts = append(hosts, fmt.Sprintf("10.0.%d.%d", i/250, i%250))
	}
	return hosts
}

func newSim(size int, seed uint64) *sim {
	s := &sim{
		now:     simStart,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		byHost:  make(map[string]*simDaemon),
		due:     make(map[clock.Milli][]func()),
		isCut:   func(int, int) bool { return false },
		arrived: make(map[string][]clock.Milli),
		served:  make(map[string][]clock.Milli),
	}
	s.hosts = simHosts(size)
	for i, host := range s.hosts {
		d := &simDaemon{
			index: i,
		}
		s.daemons = append(s.daemons, d)
		s.byHost[host] = d
	}
	s.table = NewTable(simBounds, simLimits)
	for _, d := range s.daemons {
		s.start(d)
		s.at(s.now+clock.Milli(s.rand.Int64N(50)), func() { s.tick(d) })
	}
	return s
}

// start begins a run of a daemon without the state of any earlier one.
func (s *sim) start(d *simDaemon) {
	d.run = s.rand.Uint64()
	d.isDead = false
	d.b = NewBorrower(s.now, d.run)
	d.l = NewLender()
	d.waiting = make(map[string][]clock.Milli)
	d.asking = make(map[string]bool)
	s.setTable(d)
	s.setMembers(d, s.hosts)
}

func (s *sim) setTable(d *simDaemon) {
	d.b.SetTable(s.table)
	d.l.SetTable(s.table)
}

// setMembers makes a daemon know a set of hosts.
func (s *sim) setMembers(d *simDaemon, hosts []string) {
	d.b.SetMembers(s.now, NewMembers(s.hosts[d.index], hosts))
	d.l.SetMembers(len(hosts))
}

// spread calls f for each daemon at a random instant within a time.
func (s *sim) spread(within clock.Milli, f func(d *simDaemon)) {
	for _, d := range s.daemons {
		s.at(s.now+clock.Milli(s.rand.Int64N(int64(within))), func() { f(d) })
	}
}

func (s *sim) at(t clock.Milli, f func()) { s.due[t] = append(s.due[t], f) }

func (s *sim) tick(d *simDaemon) {
	s.at(s.now+50, func() { s.tick(d) })
	if d.isDead {
		return
	}
	for _, o := range d.b.Tick(s.now) {
		s.send(d, o, func() {})
	}
}

// delay returns how long a message travels, and false if it is lost.
func (s *sim) delay() (clock.Milli, bool) {
	d := 1 + clock.Milli(s.rand.Int64N(20))
	if s.rand.Float64() < s.lossy {
		d += clock.Milli(s.rand.Int64N(1000))
	}
	return d, s.rand.Float64() >= s.lossy
}

// send sends a message and calls done when its outcome is known to the sender.
func (s *sim) send(d *simDaemon, o Outgoing, done func()) {
	run := d.run
	isOver := false
	finish := func(record func()) {
		if !isOver && d.run == run {
			isOver = true
			record()
			done()
		}
	}
	to := s.byHost[o.Lender]
	if to.isDead && !s.isCut(d.index, to.index) {
		s.at(s.now+2, func() { finish(func() { d.b.Failed(s.now, &o, false) }) })
		return
	}
	s.at(s.now+AnswerTime, func() { finish(func() { d.b.Failed(s.now, &o, true) }) })
	copies := 1
	if s.rand.Float64() < s.lossy {
		copies = 2
	}
	for range copies {
		there, ok := s.delay()
		if !ok || s.isCut(d.index, to.index) {
			continue
		}
		s.at(s.now+there, func() {
			if to.isDead {
				return
			}
			lent, refusal := to.l.Receive(s.now, &o.Message)
			if back, ok := s.delay(); ok && refusal == "" {
				s.at(s.now+back, func() { finish(func() { d.b.Answered(s.now, &o, lent) }) })
			}
		})
	}
}

// request lets a request of an account arrive at a daemon.
func (s *sim) request(d *simDaemon, account string) {
	s.arrived[account] = append(s.arrived[account], s.now)
	if d.isDead || s.settle(account, d.b.Take(s.now, account)) {
		return
	}
	d.waiting[account] = append(d.waiting[account], s.now)
	if !d.asking[account] {
		s.ask(d, account)
	}
}

// settle counts the request of a decision, and returns false if it must wait.
func (s *sim) settle(account string, d Decision) bool {
	switch d.Verdict {
	case Run:
		s.served[account] = append(s.served[account], s.now)
	case Limited:
		s.refused++
	case Wait:
		return false
	case Unreached:
	}
	return true
}

// ask asks for tokens until no request waits.
func (s *sim) ask(d *simDaemon, account string) {
	w := d.waiting[account]
	for len(w) > 0 && s.now-w[0] > MaxWait {
		w = w[1:]
	}
	for len(w) > 0 && s.settle(account, d.b.Take(s.now, account)) {
		w = w[1:]
	}
	d.waiting[account] = w
	d.asking[account] = len(w) > 0
	if len(w) == 0 {
		return
	}
	o, ok := d.b.Ask(s.now, account, len(w))
	if !ok {
		panic("a request waits without a lender")
	}
	s.send(d, o, func() { s.ask(d, account) })
}

// load sends requests of all accounts for a time, at factor times their limits. entry
// chooses the daemon of each.
func (s *sim) load(length clock.Milli, factor float64, entry func() int) {
	for end := s.now + length; s.now < end; s.now++ {
		for _, f := range s.due[s.now] {
			f()
		}
		delete(s.due, s.now)
		for _, l := range simLimits {
			mean := factor * l.Rate / 1000
			for mean > 0 && s.rand.ExpFloat64() < mean {
				s.request(s.daemons[entry()], l.Name)
			}
		}
	}
}

// allowed returns how many of the requests since an instant an exact token bucket
// admits that is empty then.
func (s *sim) allowed(l Limit, since clock.Milli) int {
	n, tokens, last := 0, 0.0, since
	for _, at := range s.arrived[l.Name] {
		if at < since {
			continue
		}
		tokens = min(tokens+l.Rate*float64(at-last)/1000, max(l.Burst, l.Rate/4, 1))
		last = at
		if tokens >= 1 {
			tokens--
			n++
		}
	}
	return n
}

// countSince returns the number of instants that are not before since.
func countSince(list []clock.Milli, since clock.Milli) int {
	n := 0
	for _, at := range list {
		if at >= since {
			n++
		}
	}
	return n
}

// checkExcess checks that no window from since on has more requests of an account than
// the limits allow.
func (s *sim) checkExcess(t *testing.T, limits []Limit, since clock.Milli) {
	t.Helper()
	for _, l := range limits {
		served := s.served[l.Name]
		most, first := 0, 0
		for i, at := range served {
			for served[first] < since || at-served[first] > simBounds.Window {
				if first++; first > i {
					break
				}
			}
			most = max(most, i-first+1)
		}
		bound := (l.Rate*5+l.Burst)*(1+simBounds.Over) + simBounds.Slack
		t.Logf("%s: %d in a window, bound %.0f", l.Name, most, bound)
		if float64(most) > bound {
			t.Errorf("%s: %d requests in a window, want %.0f at most", l.Name, most, bound)
		}
	}
}

// checkUse checks that at least a share of what the limits allow was let through since
// an instant. Of small numbers, those that wait at the ends of the time do not count.
func (s *sim) checkUse(t *testing.T, limits []Limit, since clock.Milli, least float64) {
	t.Helper()
	for _, l := range limits {
		allowed, got := s.allowed(l, since), countSince(s.served[l.Name], since)
		t.Logf("%s: %d of %d", l.Name, got, allowed)
		if float64(got+2) < least*float64(allowed) {
			t.Errorf("%s: %d requests were let through, want %.2f of %d", l.Name, got, least, allowed)
		}
	}
}
