package bench

import (
	"siskinswitch.example/siskin/internal/state/pick"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Behaviour of the callers.
const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 500 * clock.Millisecond
	// callerRetries is the number of retries after a refusal or a timeout. They
	// do not depend on the content of the answer.
	callerRetries = 3
	// callerRetryDelay is the delay between an answer and the retry.
	callerRetryDelay = 20 * clock.Millisecond
)

// startArrivals starts the arrivals of root requests.
func (f *fleet) startArrivals() {
	if f.scenario.Uneven == nil {
		f.scheduleArrivals()
		return
	}
	for centre := range centres {
		f.scheduleCentreArrivals(centre)
	}
}

// scheduleArrivals schedules the next root request and then itself.
func (f *fleet) scheduleArrivals() {
	gap := micro(float64(clock.Second*perMilli) / f.scenario.rate(f.now()))
	f.after(f.jitter(gap), func() {
		f.startRequest(f.drawStream())
		f.scheduleArrivals()
	})
}

// drawStream chooses a stream at random by its share.
func (f *fleet) drawStream() *Stream {
	streams := f.scenario.Deployment.Streams
	remainder := f.rand.IntN(100)
	for i := range streams {
		remainder -= streams[i].Share
		if remainder < 0 {
			return &streams[i]
		}
	}
	return &streams[len(streams)-1]
}

// rootRequest is a request of a caller, with all its attempts.
type rootRequest struct {
	stream      *Stream
	region      int
	start       micro
	retriesLeft int
}

// startRequest starts a root request of the stream in a random region.
func (f *fleet) startRequest(s *Stream) {
	f.attempt(&rootRequest{
		stream:      s,
		region:      f.rand.IntN(regions),
		start:       f.at,
		retriesLeft: callerRetries,
	})
}

// attempt makes one attempt at a root request, through a random daemon in the
// region of the caller.
func (f *fleet) attempt(root *rootRequest) {
	centre := root.region*centres/regions + f.rand.IntN(centres/regions)
	entry := f.daemonAt(f.rand.IntN(len(f.scenario.Deployment.Services)), centre, f.rand.IntN(f.scenario.Deployment.PerCentre))
	latency := micro(f.scenario.Deployment.CallerLatency)
	req := &requestContext{
		importance: root.stream.Importance,
		rootHash:   f.rand.Uint64(),
		deadline:   f.at + toMicro(callerTimeout) - latency,
	}
	ended := false
	end := func(succeeded bool) {
		if ended {
			return
		}
		ended = true
		f.attemptEnded(root, req, succeeded)
	}
	f.after(toMicro(callerTimeout), func() { end(false) })
	f.after(latency, func() {
		entry.send(root.stream.Op, req, 0, retryUnits, func(result pick.Outcome, _ int) {
			f.after(latency, func() { end(result == pick.Done) })
		})
	})
}

// attemptEnded handles the end of an attempt: the root request succeeds, is
// retried, or fails after the last retry.
func (f *fleet) attemptEnded(root *rootRequest, req *requestContext, succeeded bool) {
	f.result.recordAttemptEnd(f.at, req, succeeded)
	if succeeded {
		f.result.recordSuccess(f.at, root, req)
		return
	}
	if root.retriesLeft == 0 {
		f.result.recordFailure(f.at, root)
		return
	}
	root.retriesLeft--
	f.after(toMicro(callerRetryDelay), func() { f.attempt(root) })
}

// startLongRequests starts the long requests of the scenario.
func (f *fleet) startLongRequests() {
	for i := range f.scenario.LongRequests {
		f.after(toMicro(f.scenario.Begin), func() { f.runLongRequest(i) })
	}
}

// runLongRequest sends the i-th long request, and again after each answer,
// refusals included, until the disturbance ends.
func (f *fleet) runLongRequest(i int) {
	if !f.scenario.isDisturbed(f.now()) {
		return
	}
	op := f.scenario.Deployment.LongOp
	entry := f.daemons[i%len(f.daemons)]
	req := &requestContext{
		importance: rules.Normal,
		rootHash:   f.rand.Uint64(),
		deadline:   f.at + toMicro(clock.Minute),
	}
	entry.send(op, req, 0, retryUnits, func(pick.Outcome, int) {
		f.after(toMicro(callerRetryDelay), func() { f.runLongRequest(i) })
	})
}
