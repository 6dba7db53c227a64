package admit_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

func request(seq uint64, importance rules.Importance, root uint64) admit.Request {
	return admit.Request{
		Seq:        seq,
		Path:       "stock/read",
		Importance: importance,
		RootHash:   root,
	}
}

func TestThresholdText(t *testing.T) {
	for name, want := range map[string]bool{
		"0.0": true, "2.8f3a": true, "4.0": true, "3.ffff": true,
		"": false, "2": false, "5.0": false, "4.1": false, "1.10000": false, "x.1": false, "1.": false,
	} {
		got, err := admit.ParseThreshold(name)
		if (err == nil) != want {
			t.Errorf("ParseThreshold(%q): error %v, want ok = %t", name, err, want)
		}
		if want && got.String() != name {
			t.Errorf("ParseThreshold(%q) = %v", name, got)
		}
	}
}

func TestOffer(t *testing.T) {
	const now = 1000 * clock.Millisecond
	tests := map[string]struct {
		before  []admit.Request
		drain   bool
		request admit.Request
		want    admit.Verdict
		reason  admit.Reason
		gone    uint64
	}{
		"free slot": {
			request: request(9, rules.Spare, 0),
			want:    admit.Run,
		},
		"no slot": {
			before:  []admit.Request{request(1, rules.Vital, 1), request(2, rules.Vital, 1)},
			request: request(9, rules.Spare, 0),
			want:    admit.Queue,
		},
		"full, lower importance": {
			before:  []admit.Request{request(1, 3, 1), request(2, 3, 1), request(3, 1, 1), request(4, 1, 1)},
			request: request(9, rules.Spare, 0),
			want:    admit.Refuse,
			reason:  admit.QueueFull,
		},
		"full, higher importance": {
			before:  []admit.Request{request(1, 3, 1), request(2, 3, 1), request(3, 1, 1<<63), request(4, 1, 1), request(5, 2, 1)},
			request: request(9, rules.High, 0),
			want:    admit.Queue,
			gone:    4,
		},
		"full for its importance": {
			before:  []admit.Request{request(1, 3, 1), request(2, 3, 1), request(3, 1, 1), request(4, 1, 1)},
			request: request(9, rules.Normal, 1),
			want:    admit.Refuse,
			reason:  admit.QueueFull,
		},
		"queue space for a higher importance": {
			before:  []admit.Request{request(1, 3, 1), request(2, 3, 1), request(3, 1, 1), request(4, 1, 1)},
			request: request(9, rules.High, 1),
			want:    admit.Queue,
		},
		"draining": {
			drain:   true,
			request: request(9, rules.Vital, 0),
			want:    admit.Refuse,
			reason:  admit.Draining,
		},
		"late": {
			request: admit.Request{
				Seq:          9,
				ExpectedTime: 50,
				Deadline:     now + 49,
			},
			want:   admit.Refuse,
			reason: admit.DeadlineTooClose,
		},
		"second long request": {
			before: []admit.Request{{
				Seq:  1,
				Cost: rules.Long,
			}},
			request: admit.Request{
				Seq:  9,
				Cost: rules.Long,
			},
			want: admit.Queue,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{
				Slots:       2,
				QueueFactor: 2,
			})
			for _, r := range tt.before {
				g.Offer(now, r)
			}
			if tt.drain {
				g.Drain()
			}
			d := g.Offer(now, tt.request)
			if d.Verdict != tt.want || d.Reason != tt.reason {
				t.Errorf("Offer = %v %v, want %v %v", d.Verdict, d.Reason, tt.want, tt.reason)
			}
			gone := uint64(0)
			for _, r := range d.Evicted {
				gone += r.Seq
			}
			if gone != tt.gone {
				t.Errorf("evicted %v, want %d", d.Evicted, tt.gone)
			}
		})
	}
}

// TestGateInvariants checks on random traffic that the gate's counts of
// running and queued requests are right at every step, that a request starts
// or expires only after it was queued, that the slots are never exceeded, and
// that no request is evicted while a less important one stays queued.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		g := admit.New(admit.Config{
			Slots: slots,
		})
		now := clock.Milli(0)
		running := map[uint64]admit.Request{}
		queued := map[uint64]admit.Request{}
		start := func(requests []admit.Request) {
			for _, r := range requests {
				if _, ok := queued[r.Seq]; !ok {
					t.Fatalf("request %d was started but not queued", r.Seq)
				}
				delete(queued, r.Seq)
				running[r.Seq] = r
			}
		}
		drop := func(requests []admit.Request) {
			for _, r := range requests {
				if _, ok := queued[r.Seq]; !ok {
					t.Fatalf("request %d was refused but not queued", r.Seq)
				}
				delete(queued, r.Seq)
			}
		}
		for seq := range uint64(300) {
			now += clock.Milli(rapid.IntRange(0, 3).Draw(t, "gap"))
			r := request(seq, rules.Importance(rapid.IntRange(0, 3).Draw(t, "importance")), rapid.Uint64().Draw(t, "root"))
			r.Deadline = now + clock.Milli(rapid.IntRange(1, 100).Draw(t, "left"))
			d := g.Offer(now, r)
			switch d.Verdict {
			case admit.Run:
				running[seq] = r
			case admit.Queue:
				queued[seq] = r
			}
			drop(d.Evicted)
			for _, gone := range d.Evicted {
				for _, kept := range queued {
					if kept.Importance < gone.Importance {
						t.Fatalf("evicted %v while %v of lower importance stays queued", gone, kept)
					}
				}
			}
			for end := range running {
				if rapid.IntRange(0, 2).Draw(t, "end") == 0 {
					ended := running[end]
					delete(running, end)
					started, expired := g.Done(now, ended, 5)
					start(started)
					drop(expired)
				}
			}
			s := g.Stats(now).Lanes[rules.Short]
			if s.Running != len(running) || s.Queued != len(queued) || len(running) > slots {
				t.Fatalf("gate has %+v, want %d running and %d queued with %d slots",
					s, len(running), len(queued), slots)
			}
		}
	})
}

// TestThresholdFollowsLoad offers twice the capacity, then no load.
func TestThresholdFollowsLoad(t *testing.T) {
	const took = 10 * clock.Millisecond
	g := admit.New(admit.Config{
		Slots: 10,
	})
	seq := uint64(0)
	ends := map[clock.Milli][]admit.Request{}
	run := func(from, to clock.Milli, perMilli int) {
		for now := from; now < to; now++ {
			for _, r := range ends[now] {
				started, _ := g.Done(now, r, took)
				ends[now+took] = append(ends[now+took], started...)
			}
			delete(ends, now)
			for range perMilli {
				seq++
				r := request(seq, rules.Normal, seq*0x9e3779b97f4a7c15)
				r.Deadline = now + 200
				if g.Offer(now, r).Verdict == admit.Run {
					ends[now+took] = append(ends[now+took], r)
				}
			}
			g.Tick(now)
		}
	}
	run(0, 2000, 2)
	if th := g.Threshold(); th.Passes(rules.Spare, 1<<63) || !th.Passes(rules.High, 0) {
		t.Errorf("threshold is %v under normal requests of twice the capacity", th)
	}
	run(2000, 4000, 0)
	if th := g.Threshold(); !th.IsOpen() {
		t.Errorf("threshold is %v after 2 s without load", th)
	}
}

func BenchmarkOfferDone(b *testing.B) {
	for name, factor := range map[string]uint64{"calm": 1, "overload": 4, "learning, overload": 4} {
		b.Run(name, func(b *testing.B) {
			g := admit.New(admit.Config{
				Slots: 130,
				Learn: strings.HasPrefix(name, "learning"),
			})
			running := make([]admit.Request, 0, 256)
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				seq := uint64(i)
				now := clock.Milli(seq / (10 * factor))
				r := request(seq, rules.Importance(seq%4), seq*0x9e3779b97f4a7c15)
				if g.Offer(now, r).Verdict == admit.Run {
					running = append(running, r)
				}
				if seq%factor == 0 && len(running) > 0 {
					started, _ := g.Done(now, running[0], 10)
					running = append(running[:0], running[1:]...)
					running = append(running, started...)
				}
			}
		})
	}
}
