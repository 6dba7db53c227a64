package spread

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

// The values in these tests have the form "version parent". Each is its own
// digest.
func value(version uint64, parent string) []byte {
	return fmt.Appendf(nil, "%d %s", version, strings.ReplaceAll(parent, " ", "<"))
}

func check(data []byte) (Meta, error) {
	m := Meta{
		Digest: string(data),
	}
	parent := ""
	if _, err := fmt.Sscanf(string(data)+" -", "%d %s", &m.Version, &parent); err != nil {
		return m, err
	}
	m.Parent = strings.ReplaceAll(strings.TrimSuffix(parent, "-"), "<", " ")
	return m, nil
}

type sentPart struct {
	to   string
	part Part
}

// testStore is a store that records the messages it sends and the reads it
// starts. The host remoteHost is in another region.
type testStore struct {
	*Store
	sent       []sentPart
	reads      []ReadKind
	remoteHost string
}

func newTestStore() *testStore {
	r := &testStore{}
	r.Store = New(0, Config{
		Rand:  rand.New(rand.NewPCG(1, 2)),
		Check: check,
		Diff:  func(_, data []byte) ([]byte, error) { return data[:1], nil },
		Apply: func(_, delta []byte) ([]byte, error) {
			if len(delta) == 0 {
				return nil, errors.New("empty")
			}
			return delta, nil
		},
		Send: func(_ clock.Milli, to string, p Part) {
			r.sent = append(r.sent, sentPart{
				to:   to,
				part: p,
			})
		},
		Read:     func(kind ReadKind, _ uint64) { r.reads = append(r.reads, kind) },
		InRegion: func(host string) bool { return host != r.remoteHost },
	})
	return r
}

func TestAccept(t *testing.T) {
	first := string(value(1, ""))
	second := string(value(2, first))
	fork := string(value(1, "x"))
	tests := map[string]struct {
		have []string
		data string
		want Kind
	}{
		"first": {
			data: first,
		},
		"successor": {
			have: []string{first},
			data: second,
		},
		"same again": {
			have: []string{first, second},
			data: second,
		},
		"older": {
			have: []string{first, second},
			data: first,
			want: Old,
		},
		"same version, other bytes": {
			have: []string{first},
			data: fork,
			want: Fork,
		},
		"next version of another predecessor": {
			have: []string{first},
			data: string(value(2, fork)),
			want: Orphan,
		},
		"later version of unseen predecessor": {
			have: []string{first},
			data: string(value(5, "4 unseen")),
		},
		"later version of refused predecessor": {
			have: []string{first, fork},
			data: string(value(3, fork)),
			want: Orphan,
		},
		"unreadable": {
			have: []string{first},
			data: "nonsense",
			want: Invalid,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestStore()
			for _, v := range tt.have {
				_ = r.accept(0, []byte(v), "a")
			}
			before := r.Current().Digest
			err := r.accept(1, []byte(tt.data), "b")
			var e *Error
			if errors.As(err, &e); (e != nil) != (tt.want != 0) || e != nil && e.Kind != tt.want {
				t.Fatalf("accept returned %v, want kind %v", err, tt.want)
			}
			if tt.want == 0 {
				if r.Current().Digest != tt.data {
					t.Errorf("active value is %q", r.Current().Digest)
				}
				return
			}
			list := r.Refused()
			if r.Current().Digest != before || list[len(list)-1].Kind != tt.want {
				t.Errorf("active value is %q, refused %v", r.Current().Digest, list)
			}
		})
	}
}

// Whatever arrives in whatever order, the active version never decreases and
// the periods of the history neither overlap nor leave gaps.
func TestNeverBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestStore()
		now := clock.Milli(0)
		for range 40 {
			now += clock.Milli(rapid.IntRange(1, 1000).Draw(t, "wait"))
			data := value(rapid.Uint64Range(1, 8).Draw(t, "version"), rapid.SampledFrom([]string{"", r.Current().Digest, "x"}).Draw(t, "parent"))
			before := r.Current()
			if rapid.Bool().Draw(t, "read") {
				r.ReadDone(now, Get, data, nil)
			} else {
				r.Receive(now, "a", Part{
					Transfer: &Transfer{
						Version: rapid.Uint64Range(1, 8).Draw(t, "claim"),
						Digest:  string(data),
						Base:    rapid.SampledFrom([]string{"", before.Digest, "unknown"}).Draw(t, "base"),
						Data:    data,
					},
				})
			}
			after := r.Current()
			if after.Version < before.Version || after.Version == before.Version && after.Digest != before.Digest {
				t.Fatalf("active value went from %q back to %q", before.Digest, after.Digest)
			}
		}
		for i, span := range r.History() {
			next := Never
			if i+1 < len(r.History()) {
				next = r.History()[i+1].Start
			}
			if span.End != next {
				t.Fatalf("span %d ends at %d, the next starts at %d", i, span.End, next)
			}
		}
	})
}

func TestPull(t *testing.T) {
	first := value(1, "")
	second := value(2, string(first))
	offer := func(r *testStore, now clock.Milli, from string) {
		r.Receive(now, from, Part{
			Offer: &Offer{
				Version: 2,
				Digest:  string(second),
				Age:     0,
			},
		})
	}
	tests := map[string]struct {
		run  func(r *testStore)
		want []string
	}{
		"asks at once": {
			run:  func(r *testStore) { offer(r, 1, "a") },
			want: []string{"a 1 "},
		},
		"asks another provider after a busy one": {
			run: func(r *testStore) {
				offer(r, 1, "a")
				offer(r, 1, "b")
				r.Receive(2, "a", Part{
					Transfer: &Transfer{
						Busy: true,
					},
				})
			},
			want: []string{"a 1 ", "b 1 "},
		},
		"asks another provider after a timeout": {
			run: func(r *testStore) {
				offer(r, 1, "a")
				offer(r, 1, "b")
				r.Tick(2 * clock.Second)
			},
			want: []string{"a 1 ", "b 1 "},
		},
		"asks the only provider again, a few times": {
			run: func(r *testStore) {
				offer(r, 1, "a")
				for now := clock.Second; now < 10*clock.Second; now += clock.Second {
					r.Tick(now)
				}
			},
			want: []string{"a 1 ", "a 1 ", "a 1 "},
		},
		"asks for the whole value after a damaged delta": {
			run: func(r *testStore) {
				offer(r, 1, "a")
				r.Receive(2, "a", Part{
					Transfer: &Transfer{
						Base:    string(first),
						Version: 2,
						Digest:  string(second),
					},
				})
			},
			want: []string{"a 1 ", "a "},
		},
		"leaves another region to the relays": {
			run: func(r *testStore) {
				r.remoteHost = "a"
				offer(r, 1, "a")
				r.Tick(5 * clock.Second)
			},
		},
		"asks another region after the relays had time to": {
			run: func(r *testStore) {
				r.remoteHost = "a"
				offer(r, 1, "a")
				r.Tick(11 * clock.Second)
			},
			want: []string{"a 1 "},
		},
		"relays take turns": {
			run: func(r *testStore) {
				r.remoteHost = "a"
				r.SetDuty(Duty{
					RelayTurn: 1,
				})
				offer(r, 1, "a")
				if len(r.sent) > 0 {
					return
				}
				r.Tick(clock.Second)
			},
			want: []string{"a 1 "},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestStore()
			_ = r.accept(0, first, "x")
			tt.run(r)
			var got []string
			for _, s := range r.sent {
				if s.part.Fetch != nil {
					got = append(got, s.to+" "+s.part.Fetch.Digest)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("asked %q, want %q", got, tt.want)
			}
		})
	}
}

func TestServeIsBounded(t *testing.T) {
	r := newTestStore()
	big := append(value(1, ""), bytes.Repeat([]byte(" "), 1<<20)...)
	_ = r.accept(0, big, "x")
	served := 0
	for i := range 20 {
		r.Receive(clock.Milli(i), "a", Part{
			Fetch: &Fetch{},
		})
		if !r.sent[i].part.Transfer.Busy {
			served++
		}
	}
	if served < 1 || served > 3 {
		t.Errorf("served %d whole values at once, want 1 to 3", served)
	}
	r.remoteHost = "z"
	r.Receive(20, "z", Part{
		Fetch: &Fetch{},
	})
	if r.sent[20].part.Transfer.Busy {
		t.Error("a request from another region is refused because of requests from the own region")
	}
}

// A value is confirmed as of the latest time at which the service is known to
// have held nothing newer.
func TestConfirmed(t *testing.T) {
	first := value(1, "")
	second := value(2, string(first))
	tests := map[string]struct {
		run  func(r *testStore)
		want clock.Milli
	}{
		"read": {
			run:  func(r *testStore) { r.ReadDone(5, Get, first, nil) },
			want: 5,
		},
		"empty watch": {
			run:  func(r *testStore) { r.ReadDone(5, Watch, nil, nil) },
			want: 5,
		},
		"empty watch started with the previous value": {
			run: func(r *testStore) {
				_ = r.accept(4, second, "a")
				r.ReadDone(5, Watch, nil, nil)
			},
			want: Never,
		},
		"replay": {
			run: func(r *testStore) {
				_ = r.accept(4, second, "a")
				r.ReadDone(5, Get, first, nil)
			},
			want: Never,
		},
		"failure": {
			run:  func(r *testStore) { r.ReadDone(5, Get, nil, errors.New("down")) },
			want: Never,
		},
		"offer of a peer": {
			run: func(r *testStore) {
				r.Receive(50, "a", Part{
					Offer: &Offer{
						Version: 1,
						Digest:  string(first),
						Age:     20,
					},
				})
			},
			want: 30,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestStore()
			_ = r.accept(0, first, "x")
			r.SetDuty(Duty{
				Reader: true,
			})
			r.Tick(1)
			tt.run(r)
			if got := r.Confirmed(); got != tt.want {
				t.Errorf("confirmed up to %d, want %d", got, tt.want)
			}
		})
	}
}
