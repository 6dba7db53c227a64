package quota

import (
	"fmt"
	"slices"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against an account that exceeds its limit because its requests arrive at many
// daemons, and against requests that are rejected within it.
func TestLimitsHoldOverDaemons(t *testing.T) {
	entries := map[string]func(s *sim) int{
		"one entry":   func(*sim) int { return 3 },
		"all entries": func(s *sim) int { return s.rand.IntN(len(s.daemons)) },
		"moving":      func(s *sim) int { return int(s.now/clock.Second) * 7 % len(s.daemons) },
	}
	factors := map[int][]float64{
		16:  {0.6, 1.2, 4},
		71:  {0.6, 1.2, 4},
		780: {1.2, 4},
	}
	for size, list := range factors {
		if size > 100 && testing.Short() {
			continue
		}
		for _, factor := range list {
			for name, entry := range entries {
				t.Run(fmt.Sprintf("%d daemons, %s, %.1f times the limit", size, name, factor), func(t *testing.T) {
					t.Parallel()
					s := newSim(size, uint64(size))
					at := func() int { return entry(s) }
					s.load(2*clock.Second, 0, at)
					s.load(clock.Second, factor, at)
					since := s.now
					s.load(7*clock.Second, factor, at)
					s.checkExcess(t, simLimits, simStart)
					s.checkUse(t, simLimits, since, 0.95)
				})
			}
		}
	}
}

// Guards against tokens that are spent twice, or come from nowhere, when daemons or
// messages fail, and against a fleet that does not recover.
func TestNoExcessAfterFailures(t *testing.T) {
	tests := map[string]func(s *sim, load func(clock.Milli)){
		"the lenders of all accounts die and start again": func(s *sim, load func(clock.Milli)) {
			killed := make([]*simDaemon, 0, len(simLimits))
			for _, l := range simLimits {
				a, _ := s.table.Account(l.Name)
				host, _ := s.daemons[0].b.lender(a.Shard)
				killed = append(killed, s.byHost[host])
				s.byHost[host].isDead = true
			}
			load(3 * clock.Second)
			for _, d := range killed {
				s.start(d)
			}
		},
		"halves are cut off from each other": func(s *sim, load func(clock.Milli)) {
			s.isCut = func(a, b int) bool { return a%2 != b%2 }
			load(4 * clock.Second)
			s.isCut = func(int, int) bool { return false }
		},
		"every daemon is cut off": func(s *sim, load func(clock.Milli)) {
			s.isCut = func(a, b int) bool { return a != b }
			load(6 * clock.Second)
			s.isCut = func(int, int) bool { return false }
		},
		"a link comes and goes": func(s *sim, load func(clock.Milli)) {
			for range 6 {
				s.isCut = func(a, b int) bool { return a%2 != b%2 }
				load(700 * clock.Millisecond)
				s.isCut = func(int, int) bool { return false }
				load(700 * clock.Millisecond)
			}
		},
		"all restart at once": func(s *sim, _ func(clock.Milli)) {
			for _, d := range s.daemons {
				s.start(d)
			}
		},
		"messages are lost, late and come twice": func(s *sim, load func(clock.Milli)) {
			s.lossy = 0.2
			load(8 * clock.Second)
			s.lossy = 0
		},
		"the records of half of the targets lapse": func(s *sim, load func(clock.Milli)) {
			half := s.hosts[:len(s.hosts)/2]
			s.spread(3*clock.Second, func(d *simDaemon) { s.setMembers(d, half) })
			load(8 * clock.Second)
			s.spread(3*clock.Second, func(d *simDaemon) { s.setMembers(d, s.hosts) })
			load(3 * clock.Second)
		},
		"daemons lose sight of all others in turn": func(s *sim, load func(clock.Milli)) {
			for i := range min(len(s.hosts), 4) {
				s.setMembers(s.daemons[i], s.hosts[i:i+1])
				load(3 * clock.Second)
				s.setMembers(s.daemons[i], s.hosts)
			}
		},
	}
	loads := map[string]float64{
		"calm before": 0.1,
		"beyond":      4,
	}
	for name, fail := range tests {
		for calm, factor := range loads {
			for _, size := range []int{16, 71} {
				t.Run(fmt.Sprintf("%s, %s, %d daemons", name, calm, size), func(t *testing.T) {
					t.Parallel()
					s := newSim(size, uint64(size))
					entry := func() int { return s.rand.IntN(size) }
					s.load(6*clock.Second, factor, entry)
					fail(s, func(length clock.Milli) { s.load(length, 4, entry) })
					s.load(4*clock.Second, 4, entry)
					since := s.now
					s.load(6*clock.Second, 4, entry)
					s.checkExcess(t, simLimits, simStart)
					s.checkUse(t, simLimits, since, 0.95)
				})
			}
		}
	}
}

// Guards against an account at one entry that is limited below its limit because a few
// answers are lost or late.
func TestServiceWithLateAnswers(t *testing.T) {
	for _, factor := range []float64{0.7, 4} {
		for _, size := range []int{16, 71} {
			t.Run(fmt.Sprintf("%d daemons, %.1f times the limit", size, factor), func(t *testing.T) {
				s := newSim(size, uint64(size))
				entry := func() int { return 3 }
				s.load(6*clock.Second, factor, entry)
				s.lossy = 0.01
				since := s.now
				s.load(20*clock.Second, factor, entry)
				s.checkExcess(t, simLimits, simStart)
				s.checkUse(t, simLimits, since, 0.93)
			})
		}
	}
}

// Guards against shares that are lost to lenders which do not answer for long.
func TestServiceWhileLendersAreCutOff(t *testing.T) {
	tests := map[string]func(a, b int) bool{
		"halves":       func(a, b int) bool { return a%2 != b%2 },
		"every daemon": func(a, b int) bool { return a != b },
	}
	for name, isCut := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSim(16, 1)
			entry := func() int { return s.rand.IntN(16) }
			s.load(4*clock.Second, 4, entry)
			s.isCut = isCut
			s.load(2*clock.Second, 4, entry)
			since := s.now
			s.load(4*clock.Second, 4, entry)
			// A sixteenth of the small account's rate is no request in a second.
			s.checkUse(t, simLimits[:2], since, 0.95)
		})
	}
}

// Guards against an account that goes on at its old limit after it was lowered.
func TestLoweredLimitBinds(t *testing.T) {
	const known = 3 * clock.Second
	s := newSim(71, 1)
	entry := func() int { return s.rand.IntN(71) }
	s.load(8*clock.Second, 4, entry)
	lowered := make([]Limit, 0, len(simLimits))
	for _, l := range simLimits {
		l.Rate /= 10
		l.Burst /= 10
		lowered = append(lowered, l)
	}
	s.table = NewTable(simBounds, lowered)
	s.spread(known, s.setTable)
	s.load(known, 4, entry)
	since := s.now
	s.load(12*clock.Second, 4, entry)
	s.checkExcess(t, lowered, since)
}

// Guards against buckets that outgrow what the platform tolerates, or that never let a
// request through.
func TestCapacity(t *testing.T) {
	strict := Bounds{
		Window: 5 * clock.Second,
	}
	for want, got := range map[float64]float64{
		500: simBounds.capacity(100, 500),
		10:  simBounds.capacity(10, 1),
		520: simBounds.capacity(1000, 0),
		1:   simBounds.capacity(0.1, 0),
		5:   strict.capacity(100, 5),
	} {
		if got != want {
			t.Errorf("capacity %v, want %v", got, want)
		}
	}
}

// Guards against messages that count twice, and against numbers out of bounds.
func TestReceiveRefuses(t *testing.T) {
	s := newSim(3, 1)
	a, _ := s.table.Account("large")
	base := Message{
		Sender:  1,
		Seq:     100,
		Members: 3,
		Account: a.Hash,
		Back:    5,
		Want:    5,
		Shares: []Share{
			{
				Shard: a.Shard,
				Time:  500,
			},
		},
	}
	tests := map[string]struct {
		change func(m *Message)
		want   Refusal
	}{
		"the same again": {
			change: func(*Message) {},
			want:   Repeated,
		},
		"far behind": {
			change: func(m *Message) { m.Seq = 100 - seqWindow },
			want:   Repeated,
		},
		"a little behind": {
			change: func(m *Message) { m.Seq = 99 },
		},
		"next": {
			change: func(m *Message) { m.Seq = 101 },
		},
		"without a number": {
			change: func(m *Message) { m.Seq = 0 },
			want:   Invalid,
		},
		"shard out of bounds": {
			change: func(m *Message) { m.Seq, m.Shares = 101, []Share{{Shard: Shards}} },
			want:   Invalid,
		},
		"share of an hour": {
			change: func(m *Message) { m.Seq, m.Shares = 101, []Share{{Time: clock.Hour}} },
			want:   Invalid,
		},
		"too many tokens": {
			change: func(m *Message) { m.Seq, m.Back = 101, MaxWant+1 },
			want:   Invalid,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLender()
			l.SetTable(s.table)
			first := base
			if _, got := l.Receive(simStart, &first); got != "" {
				t.Fatalf("the first message was refused: %s", got)
			}
			m := base
			tt.change(&m)
			lent, got := l.Receive(simStart, &m)
			if got != tt.want || got != "" && lent > 0 {
				t.Errorf("lent %d, refusal %q, want %q", lent, got, tt.want)
			}
		})
	}
}

// Guards against daemons that choose different lenders, and against many that change
// when one host goes.
func TestLendersAreStable(t *testing.T) {
	for size, want := range map[int]int{3: 3, 16: 8, 71: 8, 160: 20, 780: 32} {
		hosts := simHosts(size)
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		all := NewMembers("", hosts)
		other := NewMembers("", reversed)
		fewer := NewMembers("", hosts[1:])
		if len(all.Lenders()) != want {
			t.Errorf("%d daemons: %d lenders, want %d", size, len(all.Lenders()), want)
		}
		moved := 0
		for shard := range Shards {
			isUsable := func(string) bool { return true }
			a, _ := all.lender(shard, isUsable)
			b, _ := other.lender(shard, isUsable)
			c, _ := fewer.lender(shard, isUsable)
			if a != b {
				t.Errorf("%d daemons, shard %d: lenders %s and %s", size, shard, a, b)
			}
			if a != c && a != hosts[0] {
				moved++
			}
		}
		if moved > Shards/4 {
			t.Errorf("%d daemons: %d shards moved when another host went", size, moved)
		}
	}
}
