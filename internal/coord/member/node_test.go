package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

func peers(n int) []Peer {
	list := make([]Peer, n)
	for i := range list {
		list[i] = Peer{
			Host:   fmt.Sprintf("10.0.0.%d:1", i),
			Region: "r",
			Centre: "c",
		}
	}
	return list
}

func newNode(list []Peer) *Node {
	return New(0, Config{
		Self:        list[0],
		Incarnation: 5,
		Rand:        rand.New(rand.NewPCG(1, 2)),
		Send:        func(clock.Milli, string, Part) {},
	}, list)
}

func drawRecord(t *rapid.T) Record {
	return Record{
		Host:        fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 4).Draw(t, "host")),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Revision:    rapid.Uint64Range(0, 3).Draw(t, "revision"),
		State:       State(rapid.IntRange(0, 4).Draw(t, "state")),
	}
}

// Views that received the same records hold the same state and have the same
// digests, regardless of the order and of repetitions.
func TestViewsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := peers(5)
		records := rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")
		records = slices.DeleteFunc(records, func(r Record) bool { return r.Host == list[0].Host })
		a, b := newNode(list), newNode(list)
		for _, r := range records {
			a.applyRecord(1, r, true)
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			b.applyRecord(1, records[i], true)
			b.applyRecord(1, records[0], true)
		}
		if a.Root() != b.Root() || a.digests != b.digests {
			t.Fatal("digests differ")
		}
		for _, p := range list {
			if a.hosts[p.Host].rec != b.hosts[p.Host].rec {
				t.Fatalf("records differ: %v and %v", a.hosts[p.Host].rec, b.hosts[p.Host].rec)
			}
		}
		root := a.Root()
		a.SetPeers(2, nil)
		a.SetPeers(2, list)
		for _, r := range records {
			a.applyRecord(3, r, true)
		}
		if a.Root() != root {
			t.Fatal("root digest differs after the hosts were removed and added again")
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Whatever records about a node arrive, its own record stays the highest.
func TestRefutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(peers(2))
		for range 10 {
			r := drawRecord(t)
			r.Host = n.Self().Host
			r.Revision += n.Self().Revision - 2
			n.applyRecord(1, r, true)
			if own := n.Self(); r.State >= Alive && r.State <= Dead && r != own && r.supersedes(own) || own.State != Alive || own.Incarnation != 5 {
				t.Fatalf("own record is %v after %v arrived", own, r)
			}
		}
	})
}

// A view excludes no more than the allowed share of a service, and only hosts
// that are dead or unreachable.
func TestUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := map[string]Member{}
		count := rapid.IntRange(0, 12).Draw(t, "hosts")
		hosts := make([]string, 0, count)
		for i := range count {
			name := fmt.Sprint(i)
			hosts = append(hosts, name)
			view[name] = Member{
				Peer: Peer{
					Host: name,
				},
				State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
				Since:       clock.Milli(rapid.IntRange(0, 9).Draw(t, "since")),
				Unreachable: rapid.Bool().Draw(t, "unreachable"),
			}
		}
		got := Usable(hosts, func(h string) (Member, bool) {
			m, ok := view[h]
			return m, ok
		})
		bad := 0
		for _, h := range hosts {
			m := view[h]
			isBad := m.State == Dead || m.Unreachable
			if isBad {
				bad++
			}
			if !isBad && !slices.Contains(got, h) {
				t.Fatalf("%s is excluded but neither dead nor unreachable", h)
			}
		}
		if want := len(hosts) - min(bad, len(hosts)/2); len(got) != want {
			t.Fatalf("%d of %d hosts are usable with %d dead or unreachable, want %d", len(got), len(hosts), bad, want)
		}
	})
}

// A suspect is declared dead at the deadline, unless the node has received
// nothing or was paused, since it may then have missed the refutation.
func TestSuspectDies(t *testing.T) {
	tests := map[string]struct {
		hears bool
		wakes bool
		want  State
	}{
		"connected": {
			hears: true,
			want:  Dead,
		},
		"deaf": {
			want: Suspect,
		},
		"woken": {
			hears: true,
			wakes: true,
			want:  Suspect,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			list := peers(3)
			n := newNode(list)
			n.applyRecord(0, Record{
				Host:     list[1].Host,
				Revision: 1,
				State:    Suspect,
			}, true)
			if tt.wakes {
				n.Resume(SuspicionTimeout)
			}
			if tt.hears {
				n.Receive(SuspicionTimeout, list[2].Host, 1, Part{})
			}
			n.Tick(SuspicionTimeout + clock.Second)
			if got, _ := n.State(list[1].Host); got != tt.want {
				t.Errorf("state is %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a restart with a clock that is behind: the new process starts
// with a lower revision than its predecessor's record has, so every member
// must send it that record to supersede.
func TestSuccessorOutranks(t *testing.T) {
	list := peers(2)
	old := newNode(list)
	old.applyRecord(0, Record{
		Host:        list[1].Host,
		Incarnation: 9,
		Revision:    9,
		State:       Alive,
	}, false)
	next := New(0, Config{
		Self:        list[1],
		Incarnation: 3,
		Rand:        rand.New(rand.NewPCG(1, 2)),
		Send:        func(clock.Milli, string, Part) {},
	}, list)
	old.Receive(1, list[1].Host, 3, next.Piggyback(1, list[0].Host, Part{
		Records: []Record{next.Self()},
	}))
	next.Receive(2, list[0].Host, 5, old.Piggyback(2, list[1].Host, Part{}))
	old.Receive(3, list[1].Host, 3, next.Piggyback(3, list[0].Host, Part{}))
	if _, got := old.State(list[1].Host); got != 3 {
		t.Errorf("incarnation is %d, want 3", got)
	}
}

// A message with oversized lists and invalid values must not fill the view with
// unlisted hosts.
func TestHostileLists(t *testing.T) {
	n := newNode(peers(3))
	var records []Record
	for i := range 100_000 {
		records = append(records, Record{
			Host:     fmt.Sprintf("x%d", i),
			Revision: 1 << 63,
			State:    Alive,
		}, Record{
			Host:     fmt.Sprintf("y%d", i),
			Revision: 1,
			State:    Alive,
		})
	}
	for range 10 {
		n.Receive(1, "stranger", 1, Part{
			Records: records,
			Digests: make([]uint32, 1<<16),
			Pull:    []uint8{255, 255},
			Probe: &Probe{
				Kind: PingRequest,
				Host: "nobody",
			},
		})
		records = records[MaxRecords:]
	}
	if got := len(n.hosts); got > 3+maxUnlisted {
		t.Errorf("%d hosts kept, beyond the bound on unlisted ones", got)
	}
}
