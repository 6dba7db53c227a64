package quota

import (
	"fmt"
	"testing"
	"time"
)

// costSteps returns the operations whose cost is measured, in a fleet of a size.
func costSteps(accounts, daemons int) map[string]func(i int) {
	hosts := simHosts(daemons)
	limits := make([]Limit, 0, accounts)
	for i := range accounts {
		limits = append(limits, Limit{
			Name: fmt.Sprintf("account-%d", i),
			Rate: 100,
		})
	}
	b, l, table := NewBorrower(simStart, 1), NewLender(), NewTable(simBounds, limits)
	b.SetTable(table)
	l.SetTable(table)
	b.SetMembers(simStart, NewMembers(hosts[0], hosts))
	l.SetMembers(daemons)
	m := Message{
		Members: daemons,
	}
	shares := []Share{
		{
			Shard: 1,
			Time:  500,
		},
		{
			Shard: 2,
			Time:  500,
		},
	}
	now := simStart
	return map[string]func(int){
		"token at hand": func(i int) {
			c := b.credit(limits[i%64].Name)
			c.held, c.heldUntil = 1, now+1
			b.Take(now, limits[i%64].Name)
		},
		"ask for tokens": func(i int) {
			o, _ := b.Ask(now, limits[i%64].Name, 1)
			b.Answered(now, &o, 1)
		},
		"lend tokens": func(i int) {
			a, _ := table.Account(limits[i%64].Name)
			m.Seq, m.Account, m.Want, m.Shares = m.Seq+1, a.Hash, 1, nil
			l.Receive(now, &m)
		},
		"take shares": func(i int) {
			now++
			m.Sender, m.Account = uint64(i%daemons), 0
			m.Seq, m.Shares = m.Seq+1, shares
			l.Receive(now, &m)
		},
	}
}

// Guards against decisions whose cost grows with the fleet or the accounts. A share is
// added to each account of its shard, of which there are thirteen times as many.
func TestCostInALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("measures time")
	}
	cost := func(step func(i int)) time.Duration {
		best := time.Hour
		for range 20 {
			began := time.Now()
			for i := range 2000 {
				step(i)
			}
			best = min(best, time.Since(began))
		}
		return best / 2000
	}
	small, large := costSteps(75, 66), costSteps(1000, 780)
	for name, ratio := range map[string]time.Duration{
		"token at hand":  3,
		"ask for tokens": 3,
		"lend tokens":    3,
		"take shares":    8,
	} {
		few, many := cost(small[name]), cost(large[name])
		t.Logf("%s: %v with 75 accounts and 66 daemons, %v with 1,000 and 780", name, few, many)
		if many > ratio*few {
			t.Errorf("%s: %v in the large fleet, want %d times %v at most", name, many, ratio, few)
		}
	}
}
