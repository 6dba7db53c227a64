package watch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// fakeStore has a change at each multiple of interval and counts watches. Time
// passes only while somebody waits.
type fakeStore struct {
	now      clock.Milli
	interval clock.Milli
	reads    int
}

// clock returns a clock on which a wait ends at once and moves the time.
func (s *fakeStore) clock() clock.Clock {
	return clock.Clock{
		Now: func() clock.Milli { return s.now },
		After: func(d clock.Milli) <-chan time.Time {
			s.now += d
			ended := make(chan time.Time, 1)
			ended <- time.Time{}
			return ended
		},
	}
}

func (s *fakeStore) revision() int64 { return int64(s.now / s.interval) }

func (s *fakeStore) list(context.Context, ListRequest) (Page, error) {
	return Page{
		Revision: s.revision(),
	}, nil
}

// watch returns the changes after a revision, after the next one if there is none.
func (s *fakeStore) watch(ctx context.Context, w ChangesRequest) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, ctx.Err()
	}
	s.reads++
	s.now = max(s.now, clock.Milli(w.After+1)*s.interval)
	page := Page{
		Revision: s.revision(),
	}
	for r := w.After + 1; r <= page.Revision; r++ {
		page.Items = append(page.Items, Item{
			Key:      "k",
			Revision: r,
		})
	}
	return page, nil
}

// TestChangesAreReadInBatches checks that a busy store, as in a release of many
// targets, costs one read for each Timing.Batch, and that a change is known no later
// than that after it was made.
func TestChangesAreReadInBatches(t *testing.T) {
	const (
		length   = 20 * clock.Second
		interval = 50 * clock.Millisecond
	)
	tests := map[string]struct {
		delay clock.Milli
	}{
		"short": {
			delay: 500 * clock.Millisecond,
		},
		"long": {
			delay: 800 * clock.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{
				interval: interval,
			}
			ctx, cancel := context.WithCancel(context.Background())
			known := 0
			latest := clock.Milli(0)
			f := New(Config{
				Clock: store.clock(),
				Source: Source{
					List:  store.list,
					Watch: store.watch,
				},
				Timing: Timing{
					Batch: tt.delay,
				},
				Readers: func() int { return 1 },
				Jitter:  func(clock.Milli) clock.Milli { return 0 },
				Listed:  func(clock.Milli, []Item, bool) {},
				Changed: func(now clock.Milli, items []Item) {
					known += len(items)
					latest = max(latest, now-clock.Milli(items[0].Revision)*interval)
					if now >= length {
						cancel()
					}
				},
				Answered:    func(clock.Milli) {},
				OutageBegan: func(error) {},
				OutageEnded: func() {},
			})
			f.Run(ctx)
			if most := int(length/tt.delay) + 2; store.reads > most {
				t.Errorf("%d reads in %d ms, want %d or fewer", store.reads, length, most)
			}
			if latest > tt.delay {
				t.Errorf("a change was known %d ms late, want %d or less", latest, tt.delay)
			}
			if least := int((length - tt.delay) / interval); known < least {
				t.Errorf("%d changes known, want %d or more", known, least)
			}
		})
	}
}

// TestFleetEndsWatchesEachSecond checks that of a fleet whose watches begin at one
// moment some end within each second, so that a change whose answers were all lost
// becomes known, and that the calls that this costs each daemon do not grow with the fleet.
func TestFleetEndsWatchesEachSecond(t *testing.T) {
	const (
		rounds = 50
		within = 2 * clock.Second
		length = 60 * clock.Second
		// storeRate is the number of reads a second that the store allows, of which
		// watches that bring nothing may take a tenth.
		storeRate = 2000
	)
	timing := TimingFor(bound).WithStable(3 * clock.Second)
	// Each daemon must ask once in MaxWatch, and may ask half as often again.
	mostEach := 1.5 * float64(clock.Second) / float64(timing.MaxWatch)
	for _, readers := range []int{4, 16, 89, 98, 780} {
		t.Run(strconv.Itoa(readers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(readers)))
			f := New(Config{
				Timing:  timing,
				Readers: func() int { return readers },
				Jitter:  func(n clock.Milli) clock.Milli { return clock.Milli(r.Int64N(int64(n))) },
			})
			late, calls := 0, 0
			for range rounds {
				first := length
				for range readers {
					wait := f.watchWait()
					first = min(first, wait)
					for at := wait; at < length; at += f.watchWait() {
						calls++
					}
				}
				if first > within {
					late++
				}
			}
			perSecond := float64(calls) / rounds / (float64(length) / float64(clock.Second))
			t.Logf("the first watch ended later than %d ms in %d of %d rounds, %.1f calls a second", within, late, rounds, perSecond)
			if late > rounds/5 {
				t.Errorf("the first watch ended later than %d ms in %d of %d rounds", within, late, rounds)
			}
			if most := min(max(4, float64(readers)*mostEach), storeRate/10); perSecond > most {
				t.Errorf("%.1f calls a second, want %.1f or fewer", perSecond, most)
			}
		})
	}
}

// Guards against a fleet whose watches all went silent at one moment and that learns
// of a change seconds later (CONFIG, DRAIN): the first daemon asks anew when its watch
// should have ended, and the others once they hear of the change. The platform counts
// such a silence as a disturbance of all hosts for stableWindow.
func TestDeafFleetLearnsOfAChange(t *testing.T) {
	const (
		rounds       = 200
		stableWindow = 3 * clock.Second
		tick         = 50 * clock.Millisecond
		// heard is the time until a message of the first daemon has reached the others.
		heard = 200 * clock.Millisecond
		// mostLate is the number of rounds that chance may make late.
		mostLate = rounds / 20
	)
	timing := TimingFor(bound).WithStable(stableWindow)
	for _, readers := range []int{4, 16, 71, 98, 780} {
		t.Run(strconv.Itoa(readers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(2, uint64(readers)))
			f := New(Config{
				Timing:  timing,
				Readers: func() int { return readers },
				Jitter:  func(n clock.Milli) clock.Milli { return clock.Milli(r.Int64N(int64(n))) },
			})
			late := 0
			for range rounds {
				first := timing.MaxWatch * 2
				for range readers {
					first = min(first, f.watchWait())
				}
				if first+timing.Late+tick+heard+timing.MinRepeat+tick > stableWindow {
					late++
				}
			}
			t.Logf("late in %d of %d rounds", late, rounds)
			if late > mostLate {
				t.Errorf("late in %d of %d rounds, want %d or fewer", late, rounds, mostLate)
			}
		})
	}
}

// Guards against a daemon that hears nothing for longer than the promise allows,
// because an answer was lost and nobody sends it anything (CONFIG). The promise begins
// stableWindow after the loss.
func TestSilentWatchEndsWithinThePromise(t *testing.T) {
	const (
		rounds       = 2000
		stableWindow = 3 * clock.Second
		// answered is the time for the answer to the repeat, slow ones included.
		answered = 500 * clock.Millisecond
	)
	timing := TimingFor(bound).WithStable(stableWindow)
	for _, readers := range []int{1, 4, 16, 98, 780, 100_000} {
		t.Run(strconv.Itoa(readers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, uint64(readers)))
			f := New(Config{
				Timing:  timing,
				Readers: func() int { return readers },
				Jitter:  func(n clock.Milli) clock.Milli { return clock.Milli(r.Int64N(int64(n))) },
			})
			longest, sum := clock.Milli(0), clock.Milli(0)
			for range rounds {
				wait := f.watchWait()
				longest = max(longest, wait)
				sum += wait
			}
			t.Logf("a watch lasts %d ms, %d at most", sum/rounds, longest)
			if lag := longest + timing.Late + answered; lag > stableWindow+bound {
				t.Errorf("a change is known %d ms after a loss, want %d or less", lag, stableWindow+bound)
			}
		})
	}
}
