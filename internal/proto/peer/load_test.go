package peer

import (
	"math"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/state/room"
)

// Guards against the state of a service that another daemon reads as a different one.
func TestRoomNews(t *testing.T) {
	want := RoomNews{
		Region: room.Keys - 1,
		Needs: []room.Need{
			{
				Service: 7,
				Calls:   8,
				Spills:  true,
			},
		},
		Loads: []room.Load{
			{
				Service:     7,
				Target:      room.Keys - 1,
				Incarnation: 1_800_000_000,
				Seq:         room.MaxSeq,
				Capacity:    40,
				Demand:      100.5,
				Age:         999,
			},
			{},
		},
		Flows: []room.Flow{
			{
				Service: 7,
				Offered: [...]float64{0, 1, 2.5, room.MaxRate},
				LetIn:   3,
			},
		},
	}
	got, err := ParseRoomNews(want.String())
	if err != nil || len(got.Loads) != 2 || len(got.Flows) != 1 || len(got.Needs) != 1 || got.Region != want.Region {
		t.Fatalf("got %+v and %v", got, err)
	}
	near := func(a, b float64) bool { return a == b || math.Abs(a/b-1) < 0.02 }
	l, w := got.Loads[0], want.Loads[0]
	if !near(l.Capacity, w.Capacity) || !near(l.Demand, w.Demand) {
		t.Errorf("got %+v, want %+v", l, w)
	}
	l.Capacity, l.Demand = w.Capacity, w.Demand
	if l != w || got.Loads[1] != want.Loads[1] || !near(got.Needs[0].Calls, 8) || !got.Needs[0].Spills || !near(got.Flows[0].LetIn, 3) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for i, v := range got.Flows[0].Offered {
		if !near(v, want.Flows[0].Offered[i]) {
			t.Errorf("offered %v, want %v", got.Flows[0].Offered, want.Flows[0].Offered)
		}
	}
}

// Guards against a value from outside that costs unbounded memory, or that a room takes
// although it is out of range.
func FuzzParseRoomNews(f *testing.F) {
	f.Add("")
	f.Add("00000...")
	f.Add("00000.00000010..")
	f.Add("00000..zzzzzzzzzzzzzzzzzzzzzzzzzzz.")
	f.Add("00000..." + strings.Repeat("z", 15*9))
	f.Add("-1+00...")
	f.Fuzz(func(t *testing.T, text string) {
		n, err := ParseRoomNews(text)
		if err != nil {
			return
		}
		if len(n.Needs) > room.MaxNeeds || len(n.Loads) > room.MaxLoads || len(n.Flows) > room.MaxNeeds {
			t.Errorf("%+v", n)
		}
		r := room.New(room.Config{
			Incarnation: 1,
		})
		for _, l := range n.Loads {
			if r.Merge(1, 1, l) == room.Adopted && !(l.Capacity > 0 && l.Capacity <= room.MaxSlots && l.Demand <= room.MaxSlots) {
				t.Errorf("%+v is adopted", l)
			}
		}
		for _, flow := range n.Flows {
			r.MergeFlow(1, flow)
		}
		for _, need := range n.Needs {
			r.LearnNeed(1, "route", need)
		}
		if level, ok := r.Decide(1, "route", 0, 0, 0); math.IsNaN(level) || ok != (level == 0) {
			t.Errorf("level %f, let in: %t", level, ok)
		}
	})
}
