package bench

import (
	"container/heap"
	"math/rand/v2"

	"siskinswitch.example/siskin/pkg/clock"
)

// micro is a time or duration of the event loop in microseconds. Network
// latencies are shorter than the millisecond of the clock that decisions use.
type micro int64

const perMilli = 1000

func toMicro(m clock.Milli) micro { return micro(m) * perMilli }

func (u micro) milli() clock.Milli { return clock.Milli(u / perMilli) }

type event struct {
	at  micro
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	ev := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return ev
}

// loop runs events in the order of their times. Events with equal times run in
// the order in which they were scheduled.
type loop struct {
	at     micro
	seq    uint64
	events events
	rand   *rand.Rand
}

func newLoop(seed uint64) *loop {
	return &loop{
		rand: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (l *loop) now() clock.Milli { return l.at.milli() }

// after schedules do to run after d.
func (l *loop) after(d micro, do func()) {
	l.seq++
	heap.Push(&l.events, event{
		at:  l.at + max(d, 0),
		seq: l.seq,
		do:  do,
	})
}

// every runs do at intervals of d until the loop ends.
func (l *loop) every(d micro, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}

// run runs all events before end.
func (l *loop) run(end micro) {
	for len(l.events) > 0 && l.events[0].at < end {
		ev := heap.Pop(&l.events).(event)
		l.at = ev.at
		ev.do()
	}
}

// jitter returns a random duration between 0.6 and 1.4 times d.
func (l *loop) jitter(d micro) micro {
	return micro(float64(d) * (0.6 + 0.8*l.rand.Float64()))
}
