package route

import (
	"testing"

	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/internal/state/view"
	"siskinswitch.example/siskin/pkg/clock"
)

// newView returns a view of the targets shop-1 and shop-2.
func newView(t *testing.T, members map[string]view.Member) *view.View {
	t.Helper()
	doc := rules.Document{
		Version: 1,
		Author:  "tests",
		Reason:  "tests",
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1"},
			},
		},
		Services: []rules.Service{
			{
				Name:  "shop",
				Owner: "tests",
				Operations: []rules.Operation{
					{
						Name:     "read",
						Deadline: 1000,
					},
				},
			},
		},
	}
	for i, name := range []string{"shop-1", "shop-2"} {
		doc.Services[0].Instances = append(doc.Services[0].Instances, rules.Instance{
			Name:     name,
			Place:    "west/w1",
			Host:     "127.0.0." + string(rune('1'+i)),
			Inbound:  7001,
			Outbound: 7002,
			Control:  7003,
			Operator: 7004,
			Slots:    8,
			Conns:    64,
		})
	}
	set, err := rules.New(doc, "digest")
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	return &view.View{
		Rules:   set,
		Members: members,
		Ready:   true,
	}
}

func member(incarnation uint64) map[string]view.Member {
	return map[string]view.Member{
		"shop-1": {
			Incarnation: incarnation,
		},
	}
}

// countChosen returns how many of 100 choices are shop-1.
func countChosen(t *testing.T, table *Table, v *view.View) int {
	t.Helper()
	n := 0
	for range 100 {
		c, err := table.Choose(clock.Hour, v, "shop", pick.Query{
			Op: "shop/read",
		})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		if c.Target == "shop-1" {
			n++
		}
	}
	return n
}

// A target whose answer reported that it is leaving must get no calls until the
// view shows a newer run of its daemon.
func TestLeavingByAnswer(t *testing.T) {
	const run = 7
	tests := map[string]struct {
		before, after uint64
		wantCalls     bool
	}{
		"view shows the leaving run": {
			before: run,
			after:  run,
		},
		"view shows no run": {},
		"view shows the previous run": {
			before: run - 1,
			after:  run - 1,
		},
		"view catches up with the leaving run": {
			before: run - 1,
			after:  run,
		},
		"view shows the next run": {
			before:    run,
			after:     run + 1,
			wantCalls: true,
		},
		"next run has a lower incarnation because the clock was set back": {
			before:    run,
			after:     run - 3,
			wantCalls: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{
				Region: "west",
				Centre: "w1",
			}, clock.Hour)
			before := newView(t, member(tt.before))
			if countChosen(t, table, before) == 0 {
				t.Fatal("the target is never chosen before it leaves")
			}
			op, _ := before.Rules.Op("shop/read")
			table.Learn(clock.Hour, op, "shop-1", Feedback{
				Leaving: true,
				Stamp: ticket.Stamp{
					Incarnation: run,
					Generation:  1,
				},
			})
			if n := countChosen(t, table, before); n != 0 {
				t.Errorf("chosen %d times after it reported that it is leaving", n)
			}
			if n := countChosen(t, table, newView(t, member(tt.after))); (n > 0) != tt.wantCalls {
				t.Errorf("chosen %d times with the next view, want any: %t", n, tt.wantCalls)
			}
		})
	}
}

// The latest stamp of a guard must be kept. Older generations are ignored, and
// so are older incarnations in control messages.
func TestStamps(t *testing.T) {
	table := New(Config{}, 0)
	steps := []struct {
		learn func()
		want  ticket.Stamp
	}{
		{
			learn: func() { table.LearnIncarnation("a", 5) },
			want: ticket.Stamp{
				Incarnation: 5,
				Generation:  1,
			},
		},
		{
			learn: func() {
				table.LearnStamp("a", ticket.Stamp{
					Incarnation: 5,
					Generation:  4,
				})
			},
			want: ticket.Stamp{
				Incarnation: 5,
				Generation:  4,
			},
		},
		{
			learn: func() {
				table.LearnStamp("a", ticket.Stamp{
					Incarnation: 5,
					Generation:  3,
				})
			},
			want: ticket.Stamp{
				Incarnation: 5,
				Generation:  4,
			},
		},
		{
			learn: func() { table.LearnIncarnation("a", 4) },
			want: ticket.Stamp{
				Incarnation: 5,
				Generation:  4,
			},
		},
		{
			learn: func() { table.LearnStamp("a", ticket.Stamp{}) },
			want: ticket.Stamp{
				Incarnation: 5,
				Generation:  4,
			},
		},
		{
			learn: func() { table.LearnIncarnation("a", 6) },
			want: ticket.Stamp{
				Incarnation: 6,
				Generation:  1,
			},
		},
	}
	for i, step := range steps {
		step.learn()
		if got := table.Stamp("a"); got != step.want {
			t.Errorf("step %d: stamp %+v, want %+v", i, got, step.want)
		}
	}
}

// The shares of all daemons of a region must together stay within the rate of
// the link.
func TestShareLink(t *testing.T) {
	tests := map[string]struct {
		rate    int64
		daemons int
		want    int64
	}{
		"alone": {
			rate:    3_000_000,
			daemons: 1,
			want:    3_000_000,
		},
		"half of 780 daemons": {
			rate:    3_000_000,
			daemons: 390,
			want:    7692,
		},
		"no daemon counted": {
			rate:    1000,
			daemons: 0,
			want:    1000,
		},
		"more daemons than bytes": {
			rate:    10,
			daemons: 100,
			want:    1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{
				LinkRate: tt.rate,
			}, 0)
			table.ShareLink(0, tt.daemons)
			burst := table.link.Left(0)
			table.link.Take(0, int(burst), 0)
			if got := table.link.Left(clock.Second); got != min(tt.want, burst) {
				t.Errorf("gain in a second = %d, want %d", got, tt.want)
			}
		})
	}
}
