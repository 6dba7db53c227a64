package quota

import (
	"fmt"
	"testing"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// costSteps are the operations whose cost is measured, each with the most that it may
// cost in a fleet of 780 daemons with 1,000 accounts, as a multiple of its cost in one
// of 66 with 75. A share is added to each account of its shard, of which there are
// thirteen times as many.
var costSteps = map[string]struct {
	ratio float64
	step  func(f *costFleet, i int)
}{
	"token at hand": {
		ratio: 3,
		step: func(f *costFleet, i int) {
			c := f.b.credit(f.names[i%64])
			c.held, c.heldUntil = 1, f.now+1
			f.b.Take(f.now, f.names[i%64])
		},
	},
	"ask for tokens": {
		ratio: 3,
		step: func(f *costFleet, i int) {
			o, _ := f.b.Ask(f.now, f.names[i%64], 1)
			f.b.Answered(f.now, &o, 1)
		},
	},
	"lend tokens": {
		ratio: 3,
		step: func(f *costFleet, i int) {
			f.seq++
			f.l.Receive(f.now, &Message{
				Sender:  uint64(i % 64),
				Seq:     f.seq,
				Members: f.members.Count(),
				Account: f.hashes[i%64],
				Want:    1,
			})
		},
	},
	"take shares": {
		ratio: 20,
		step: func(f *costFleet, i int) {
			f.seq++
			f.now++
			f.l.Receive(f.now, &Message{
				Sender:  uint64(i % f.members.Count()),
				Seq:     f.seq,
				Members: f.members.Count(),
				Shares:  f.shares,
			})
		},
	},
}

// costFleet holds one daemon's state in a fleet of a size.
type costFleet struct {
	now     clock.Milli
	seq     uint64
	b       *Borrower
	l       *Lender
	members *Members
	names   []string
	hashes  []uint64
	shares  []Share
}

func newCostFleet(accounts, daemons int) *costFleet {
	hosts := simHosts(daemons)
	f := &costFleet{
		now:     simStart,
		b:       NewBorrower(simStart, 1),
		l:       NewLender(),
		members: NewMembers(hosts[0], hosts),
	}
	limits := make([]Limit, 0, accounts)
	for i := range accounts {
		limits = append(limits, Limit{
			Name:  fmt.Sprintf("account-%d", i),
			Rate:  100,
			Burst: 50,
		})
		f.names = append(f.names, limits[i].Name)
	}
	t := NewTable(simBounds, limits)
	for _, name := range f.names {
		a, _ := t.Account(name)
		f.hashes = append(f.hashes, a.Hash)
	}
	f.b.SetTable(t)
	f.l.SetTable(t)
	f.b.SetMembers(simStart, f.members)
	f.l.SetMembers(daemons)
	for shard := range 4 {
		f.shares = append(f.shares, Share{
			Shard: shard,
			Time:  500,
		})
	}
	return f
}

// cost returns the least time of a step in several rounds.
func (f *costFleet) cost(step func(f *costFleet, i int)) time.Duration {
	const rounds, steps = 20, 2000
	best := time.Hour
	for range rounds {
		began := time.Now()
		for i := range steps {
			step(f, i)
		}
		best = min(best, time.Since(began)/steps)
	}
	return best
}

// Guards against decisions whose cost grows with the fleet or the accounts.
func TestCostInALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("measures time")
	}
	for name, c := range costSteps {
		t.Run(name, func(t *testing.T) {
			small, large := newCostFleet(75, 66).cost(c.step), newCostFleet(1000, 780).cost(c.step)
			t.Logf("%v with 75 accounts and 66 daemons, %v with 1,000 and 780", small, large)
			if float64(large) > c.ratio*float64(small) {
				t.Errorf("%v in the large fleet, want %v times %v at most", large, c.ratio, small)
			}
		})
	}
}

// Guards against allocations for each request of an account whose token is at hand.
func TestTokenAtHandAllocatesNothing(t *testing.T) {
	f := newCostFleet(1000, 780)
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		costSteps["token at hand"].step(f, i)
		i++
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
