package watch

import (
	"context"
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

func (s *fakeStore) list(context.Context, string, string) (Page, error) {
	return Page{
		Revision: s.revision(),
	}, nil
}

// watch returns the changes after a revision, after the next one if there is none.
func (s *fakeStore) watch(ctx context.Context, _ string, after int64, _ clock.Milli) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, ctx.Err()
	}
	s.reads++
	s.now = max(s.now, clock.Milli(after+1)*s.interval)
	page := Page{
		Revision: s.revision(),
	}
	for r := after + 1; r <= page.Revision; r++ {
		page.Items = append(page.Items, Item{
			Key:      "k",
			Revision: r,
		})
	}
	return page, nil
}

// TestChangesAreReadInBatches checks that a busy store, as in a release of many
// targets, costs one read for each BatchDelay, and that a change is known no later
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
				BatchDelay: tt.delay,
				Jitter:     func(clock.Milli) clock.Milli { return 0 },
				Listed:     func(clock.Milli, []Item, bool) {},
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
