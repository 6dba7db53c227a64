package bench

import (
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Behaviour of the callers.
const (
	// clientTimeout is the time that a caller waits for an answer.
	clientTimeout = 500 * clock.Millisecond
	// clientRetries is the number of retries after a refusal or a timeout,
	// made whatever the answer says.
	clientRetries = 3
	// clientPause is the time between an answer and the retry.
	clientPause = 20 * clock.Millisecond
)

// arrivals schedules the root requests of a scene.
func (f *fleet) arrivals() {
	gap := micro(float64(clock.Second*perMilli) / f.scene.rate(f.now()))
	f.after(f.vary(gap), func() {
		f.ask(f.stream())
		f.arrivals()
	})
}

// stream draws a stream by its share.
func (f *fleet) stream() *Stream {
	streams := f.scene.Deployment.Streams
	left := f.rand.IntN(100)
	for i := range streams {
		left -= streams[i].Share
		if left < 0 {
			return &streams[i]
		}
	}
	return &streams[len(streams)-1]
}

// wish is what a caller wants, with all attempts at it.
type wish struct {
	stream *Stream
	region int
	began  micro
	left   int
}

// ask starts a wish.
func (f *fleet) ask(s *Stream) {
	f.try(&wish{
		stream: s,
		region: f.rand.IntN(regions),
		began:  f.at,
		left:   clientRetries,
	})
}

// try makes one attempt at a wish, through any daemon of the caller's region.
func (f *fleet) try(w *wish) {
	centre := w.region*centres/regions + f.rand.IntN(centres/regions)
	entry := f.daemonAt(f.rand.IntN(len(f.scene.Deployment.Services)), centre, f.rand.IntN(f.scene.Deployment.PerCentre))
	way := micro(f.scene.Deployment.ClientLatency)
	req := &request{
		importance: w.stream.Importance,
		root:       f.rand.Uint64(),
		deadline:   f.at + toMicro(clientTimeout) - way,
	}
	settled := false
	settle := func(good bool) {
		if settled {
			return
		}
		settled = true
		f.settle(w, req, good)
	}
	f.after(toMicro(clientTimeout), func() { settle(false) })
	f.after(way, func() {
		entry.send(w.stream.Op, req, 0, allowance, func(result pick.Outcome, _ int) {
			f.after(way, func() { settle(result == pick.Done) })
		})
	})
}

// settle ends an attempt: the wish is met, tried again, or given up.
func (f *fleet) settle(w *wish, req *request, good bool) {
	if good {
		f.result.met(f.at, w, req)
		return
	}
	if w.left == 0 {
		f.result.lost(f.at, w)
		return
	}
	w.left--
	f.after(toMicro(clientPause), func() { f.try(w) })
}

// startLong begins the long requests of the scene.
func (f *fleet) startLong() {
	for i := range f.scene.LongRequests {
		f.after(toMicro(f.scene.Begin), func() { f.long(i) })
	}
}

// long keeps one long request running through the cause, shedding aside.
func (f *fleet) long(i int) {
	if !f.scene.inCause(f.now()) {
		return
	}
	op := f.scene.Deployment.LongOp
	entry := f.daemons[i%len(f.daemons)]
	req := &request{
		importance: rules.Normal,
		root:       f.rand.Uint64(),
		deadline:   f.at + toMicro(clock.Minute),
	}
	entry.send(op, req, 0, allowance, func(pick.Outcome, int) {
		f.after(toMicro(clientPause), func() { f.long(i) })
	})
}
