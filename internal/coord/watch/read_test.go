package watch

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// bound is that of the timing in these tests, listed the revision of the list
	// with which the follower begins.
	bound      = 2500 * clock.Millisecond
	listed     = 7
	lapseAfter = 3 * clock.Second
)

// sent is an attempt that reached the store of a rig.
type sent struct {
	op    Op
	after int64
	wait  clock.Milli
	fresh bool
	reply chan answer
	ctx   context.Context
}

// rig is a follower whose store answers as the test says, on a clock that the test
// moves.
type rig struct {
	t       *testing.T
	f       *Follower
	now     atomic.Int64
	sent    chan *sent
	listed  chan bool
	changed chan []Item
	outages atomic.Int32
	repeats atomic.Int32
}

// newRig starts a follower. Its backoff ends at once.
func newRig(t *testing.T) *rig {
	g := &rig{
		t:       t,
		sent:    make(chan *sent, 100),
		listed:  make(chan bool, 100),
		changed: make(chan []Item, 100),
	}
	g.now.Store(int64(clock.Second))
	g.f = New(Config{
		Clock: clock.Clock{
			Now: func() clock.Milli { return clock.Milli(g.now.Load()) },
			After: func(clock.Milli) <-chan time.Time {
				ended := make(chan time.Time, 1)
				ended <- time.Time{}
				return ended
			},
		},
		Source: Source{
			List: func(ctx context.Context, r ListRequest) (Page, error) {
				return g.receive(ctx, &sent{
					op:    List,
					fresh: r.Fresh,
				})
			},
			Watch: func(ctx context.Context, r ChangesRequest) (Page, error) {
				return g.receive(ctx, &sent{
					op:    Watch,
					after: r.After,
					wait:  r.Wait,
					fresh: r.Fresh,
				})
			},
		},
		Timing:      TimingFor(bound),
		LapseAfter:  lapseAfter,
		Readers:     func() int { return 1 },
		Jitter:      func(clock.Milli) clock.Milli { return 0 },
		Listed:      func(_ clock.Milli, _ []Item, mayLack bool) { g.listed <- mayLack },
		Changed:     func(_ clock.Milli, items []Item) { g.changed <- items },
		Answered:    func(clock.Milli) {},
		OutageBegan: func(error) { g.outages.Add(1) },
		OutageEnded: func() {},
		Repeated:    func(Repeat) { g.repeats.Add(1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

// receive passes an attempt to the test and waits for its answer.
func (g *rig) receive(ctx context.Context, s *sent) (Page, error) {
	s.ctx = ctx
	s.reply = make(chan answer, 1)
	g.sent <- s
	select {
	case a := <-s.reply:
		return a.page, a.err
	case <-ctx.Done():
		return Page{}, &Error{
			Op:  "read",
			Err: ctx.Err(),
		}
	}
}

func (s *sent) succeed(revision int64, items ...Item) {
	s.reply <- answer{
		page: Page{
			Revision: revision,
			Items:    items,
		},
	}
}

func (s *sent) fail(kind Kind) {
	s.reply <- answer{
		err: &Error{
			Op:   "read",
			Kind: kind,
			Err:  errors.New("no answer"),
		},
	}
}

// next returns the next attempt, which must have the given op.
func (g *rig) next(op Op) *sent {
	g.t.Helper()
	select {
	case s := <-g.sent:
		if s.op != op {
			g.t.Fatalf("the follower sent a %s, want a %s", s.op, op)
		}
		return s
	case <-time.After(5 * time.Second):
		g.t.Fatalf("the follower sent no %s", op)
		return nil
	}
}

// pass moves the clock by d and calls Tick.
func (g *rig) pass(d clock.Milli) {
	g.now.Add(int64(d))
	g.f.Tick()
}

// wantRepeats checks how often reads have been sent again.
func (g *rig) wantRepeats(n int, when string) {
	g.t.Helper()
	if got := int(g.repeats.Load()); got != n {
		g.t.Fatalf("sent again %d times %s, want %d", got, when, n)
	}
}

// watching returns a rig whose follower has listed the store, and its first watch.
func watching(t *testing.T) (*rig, *sent) {
	t.Helper()
	g := newRig(t)
	g.next(List).succeed(listed)
	w := g.next(Watch)
	return g, w
}

// Guards against a daemon that waits for a read which the store never answers, and
// learns of changes seconds after others (CONFIG, DRAIN).
func TestUnansweredReadIsSentAgain(t *testing.T) {
	timing := TimingFor(bound)
	tests := map[string]struct {
		op    Op
		heard int64
		// waits are the times without an answer after each of which the read is sent
		// again. With none, it never is.
		waits []clock.Milli
	}{
		"list": {
			op:    List,
			waits: []clock.Milli{timing.MinRepeat, 2 * timing.MinRepeat, timing.MaxRepeat, timing.MaxRepeat},
		},
		"watch, others know as much": {
			op:    Watch,
			heard: listed,
		},
		"watch, others know less": {
			op:    Watch,
			heard: listed - 1,
		},
		"watch, others know more": {
			op:    Watch,
			heard: listed + 1,
			waits: []clock.Milli{timing.MinRepeat, 2 * timing.MinRepeat, timing.MaxRepeat, timing.MaxRepeat},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			first := g.next(List)
			if tt.op == Watch {
				first.succeed(listed)
				first = g.next(Watch)
			}
			if first.fresh {
				t.Error("the first attempt asks for a new connection")
			}
			g.f.Hear(tt.heard)
			if len(tt.waits) == 0 {
				g.pass(first.wait + timing.Late - 1)
				g.wantRepeats(0, "though others know nothing newer")
				return
			}
			for i, wait := range tt.waits {
				g.pass(wait - 1)
				g.wantRepeats(i, "too early")
				g.pass(1)
				s := g.next(tt.op)
				if !s.fresh || s.after != first.after {
					t.Errorf("sent again after %d with fresh %v, want %d on a new connection", s.after, s.fresh, first.after)
				}
				if first.ctx.Err() != nil {
					t.Error("the attempt before was given up")
				}
			}
		})
	}
}

// Guards against a daemon that learns of a change late because its watch, and those of
// all others, are silent on lost connections (CONFIG, DRAIN). A watch that the store
// does not end in time is sent again, once, to be answered soon.
func TestWatchThatDoesNotEndIsSentAgain(t *testing.T) {
	timing := TimingFor(bound)
	g, w := watching(t)
	g.pass(w.wait + timing.Late - 1)
	g.wantRepeats(0, "too early")
	g.pass(1)
	again := g.next(Watch)
	if !again.fresh || again.wait != timing.MinRepeat || again.after != listed {
		t.Errorf("sent again %+v, want a short watch on a new connection", again)
	}
	g.pass(clock.Minute)
	g.wantRepeats(1, "though others know nothing newer")
	again.succeed(listed+1, Item{
		Key:      "k",
		Revision: listed + 1,
	})
	if items := <-g.changed; len(items) != 1 {
		t.Errorf("%d changes, want 1", len(items))
	}
	if g.outages.Load() != 0 {
		t.Error("an outage began")
	}
}

// A list that was sent before others could read the store is sent again as soon as
// they can, and not before MinRepeat.
func TestListIsSentAgainOnceOthersRead(t *testing.T) {
	timing := TimingFor(bound)
	g := newRig(t)
	g.next(List)
	g.pass(timing.MinRepeat)
	g.next(List)
	g.pass(timing.MinRepeat - 1)
	g.f.Hear(listed)
	g.f.Tick()
	g.wantRepeats(1, "before MinRepeat")
	g.pass(1)
	s := g.next(List)
	g.pass(timing.MinRepeat)
	g.wantRepeats(2, "for one thing heard")
	s.succeed(listed)
	g.next(Watch)
}

// The first answer counts, whichever attempt it is for, and ends the others. A
// store that is slow but answers is read with one list.
func TestFirstAnswerCounts(t *testing.T) {
	tests := map[string]struct {
		answered int
	}{
		"of the first attempt, late": {},
		"of the repeat": {
			answered: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			first := g.next(List)
			g.pass(bound)
			attempts := []*sent{first, g.next(List)}
			attempts[tt.answered].succeed(listed)
			g.next(Watch)
			other := attempts[1-tt.answered]
			select {
			case <-other.ctx.Done():
			case <-time.After(5 * time.Second):
				t.Error("the other attempt goes on")
			}
			if len(g.listed) != 1 || g.outages.Load() != 0 {
				t.Errorf("%d lists, %d outages, want 1 and 0", len(g.listed), g.outages.Load())
			}
		})
	}
}

// An attempt that fails ends the read only if no other is in progress, or if it
// tells that history was lost.
func TestFailedAttempt(t *testing.T) {
	tests := map[string]struct {
		fails []Kind
		// want is the op of the next read, empty if the one in progress goes on.
		want Op
	}{
		"another is in progress": {
			fails: []Kind{Unavailable},
		},
		"another is in progress, refused": {
			fails: []Kind{Rejected},
		},
		"all fail": {
			fails: []Kind{Unavailable, Unavailable},
			want:  List,
		},
		"history lost": {
			fails: []Kind{HistoryLost},
			want:  List,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, first := watching(t)
			g.f.Hear(listed + 1)
			g.pass(bound)
			attempts := []*sent{first, g.next(Watch)}
			for i, kind := range tt.fails {
				attempts[i].fail(kind)
			}
			if tt.want != "" {
				g.next(tt.want)
				return
			}
			attempts[1].succeed(listed+1, Item{
				Key:      "k",
				Revision: listed + 1,
			})
			if items := <-g.changed; len(items) != 1 {
				t.Errorf("%d changes, want 1", len(items))
			}
			if g.outages.Load() != 0 {
				t.Error("an outage began")
			}
		})
	}
}

// Guards against a record that is kept for a while after it was removed because a
// watch ended without an answer although others could read the store (DRAIN).
func TestWatchThatMissedAChangeIsNoOutage(t *testing.T) {
	tests := map[string]struct {
		heard int64
		want  []Op
	}{
		"others know as much": {
			heard: listed,
			want:  []Op{List},
		},
		"others know more": {
			heard: listed + 1,
			want:  []Op{Watch, List},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, w := watching(t)
			g.f.Hear(tt.heard)
			w.fail(Unavailable)
			got := make([]Op, 0, len(tt.want))
			for range tt.want {
				s := <-g.sent
				got = append(got, s.op)
				s.fail(Unavailable)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("next reads %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a target that is kept after its record was removed because one read
// failed, though the store was not silent for long enough to let records lapse (DRAIN).
func TestFailedReadIsNoOutage(t *testing.T) {
	tests := map[string]struct {
		silence clock.Milli
		fails   int
		mayLack bool
	}{
		"no failed read, long after the last": {
			silence: clock.Minute,
		},
		"one failed read": {
			silence: lapseAfter - 1,
			fails:   1,
		},
		"several failed reads": {
			silence: lapseAfter - 1,
			fails:   5,
		},
		"silent for as long as a record lives": {
			silence: lapseAfter,
			fails:   5,
			mayLack: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, w := watching(t)
			if mayLack := <-g.listed; mayLack {
				t.Error("the first list may lack records")
			}
			g.now.Add(int64(tt.silence))
			if tt.fails == 0 {
				w.fail(HistoryLost)
			} else {
				w.fail(Unavailable)
			}
			for range tt.fails - 1 {
				g.next(List).fail(Unavailable)
			}
			g.next(List).succeed(listed)
			if got := <-g.listed; got != tt.mayLack {
				t.Errorf("the list may lack records: %v, want %v", got, tt.mayLack)
			}
		})
	}
}
