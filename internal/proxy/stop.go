package proxy

import (
	"sync"

	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// noticeTime is the least time for which a stopping daemon serves as before,
	// in which callers miss the readiness check often enough to leave. leftAfter
	// is the time without a request of theirs after which they count as gone.
	noticeTime = 2300 * clock.Millisecond
	leftAfter  = 400 * clock.Millisecond
	// acceptPercent is the share of the grace for which a stopping daemon waits
	// for callers that do not leave.
	acceptPercent = 70
	// refusalTime is the least time for which a stopping daemon refuses the
	// requests of other daemons, so that they learn that it leaves.
	refusalTime = 400 * clock.Millisecond
	// idlePollEvery is the interval at which a stopping daemon checks for
	// requests in flight.
	idlePollEvery = 20 * clock.Millisecond
	// closePollEvery is the interval at which a stopping daemon checks for
	// connections that are not closed yet.
	closePollEvery = 2 * clock.Millisecond
	// exitMargin is the time between the end of the process and the kill.
	exitMargin = 300 * clock.Millisecond
	// lastAnswerMargin is the time between the last answers and the end of the
	// process.
	lastAnswerMargin = 100 * clock.Millisecond
	// listenerDrainTime limits the time for accepting the connections that wait
	// at the listeners. A connection that still waits then is reset.
	listenerDrainTime = 250 * clock.Millisecond
	// acceptedLinger is how long accepted connections are served after the
	// listeners are closed, because their requests may still be on the way.
	acceptedLinger = 150 * clock.Millisecond
	// idleCloseTime limits the time for closing idle connections.
	idleCloseTime = 50 * clock.Millisecond
)

// Stop ends the daemon gracefully within the grace. It takes the target away
// for as short a time as it can:
//
//   - The readiness check fails at once. Callers and other daemons are served as
//     before until the callers have left, because callers need some seconds to
//     learn that they must go elsewhere, and the target lives on.
//   - Then other daemons are refused, which tells them to use other targets, and
//     the requests in progress end. A request whose deadline lies beyond the end of
//     the process is refused from the start.
//   - The listeners close, what was accepted is answered, and the connections
//     close as they become idle.
//
// Requests still in flight at the end of the grace are interrupted, and their
// number is logged.
func (d *Daemon) Stop() {
	began := d.clock.Now()
	grace := d.settings.graceTime()
	exitAt := began + grace - exitMargin
	lastAccept := exitAt - acceptedLinger - listenerDrainTime
	d.stopping.Store(true)
	d.callers.Stop()
	d.outbound.StopAt(exitAt - lastAnswerMargin)
	d.inbound.StopAt(exitAt - lastAnswerMargin)
	event.Info(d.log, event.Stopping)
	d.awaitCallers(began, min(began+grace*acceptPercent/100, lastAccept))
	d.inbound.Drain()
	d.awaitIdle(d.clock.Now()+refusalTime, lastAccept)
	d.drainListeners()
	lingerEnd := d.clock.Now() + acceptedLinger
	d.awaitIdle(lingerEnd, max(lingerEnd, exitAt))
	d.closeConnections(max(lingerEnd, exitAt) + idleCloseTime)
	d.cancel()
	if d.callers.InFlight()+d.peers.InFlight() > 0 {
		event.Warn(d.log, event.StopInterrupted, zap.Int64("outbound", d.callers.InFlight()), zap.Int64("inbound", d.peers.InFlight()))
	}
	event.Info(d.log, event.Stopped)
}

// drainListeners closes the listeners once they have accepted what waits.
func (d *Daemon) drainListeners() {
	var wg sync.WaitGroup
	for _, l := range d.listeners {
		wg.Go(func() {
			if err := l.Drain(listenerDrainTime); err != nil {
				d.log.Warn("connections may be reset while a listener closes", zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// awaitCallers waits until the callers have left: no request of theirs was in
// progress or came for leftAfter. It waits at least for noticeTime from began on, and
// at most until latest.
func (d *Daemon) awaitCallers(began, latest clock.Milli) {
	for {
		now := d.clock.Now()
		isQuiet := now >= max(began, d.outbound.QuietSince(now))+leftAfter
		if now >= latest || now >= began+noticeTime && isQuiet {
			return
		}
		<-d.clock.After(idlePollEvery)
	}
}

// closeConnections closes the connections as they become idle, until latest. A
// request that arrives in the last moment is answered first.
func (d *Daemon) closeConnections(latest clock.Milli) {
	d.callers.CloseIdle()
	d.peers.CloseIdle()
	for d.clock.Now() < latest && (mayAnswer(d.callers) || mayAnswer(d.peers)) {
		<-d.clock.After(closePollEvery)
	}
}

// mayAnswer reports whether a server has, or may get, requests to answer.
func mayAnswer(s *http1.Server) bool { return s.InFlight() > 0 || s.Reading() > 0 }

// Kill ends the daemon at once and resets its connections, as if its process
// were killed.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	for _, l := range d.listeners {
		_ = l.Close()
	}
	d.callers.CloseAll()
	d.peers.CloseAll()
	d.cancel()
}

// awaitIdle waits until no request is in flight, at least until earliest and at
// most until latest.
func (d *Daemon) awaitIdle(earliest, latest clock.Milli) {
	for {
		now := d.clock.Now()
		if now >= latest || now >= earliest && d.callers.IsIdle() && d.peers.IsIdle() {
			return
		}
		<-d.clock.After(idlePollEvery)
	}
}
