package proxy

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// acceptPercent is the part of the grace, in percent, in which a stopping
	// daemon still takes requests.
	acceptPercent = 70
	// idlePollEvery is the time between two looks at what is left.
	idlePollEvery = 20 * clock.Millisecond
	// exitMargin is the time before the kill at which the process ends.
	exitMargin = 300 * clock.Millisecond
	// lastAnswerMargin is the time before that by which the last answers are due.
	lastAnswerMargin = 100 * clock.Millisecond
	// listenerDrainTime is the time for taking in who waits at one listener.
	listenerDrainTime = 20 * clock.Millisecond
	// acceptedLinger is the time for which connections that were taken are still
	// served when no more are taken: their requests may be on the way.
	acceptedLinger = 150 * clock.Millisecond
)

// Stop ends the daemon. It says at once that it is not ready and takes no new
// work for its target, but answers its callers for most of the grace, because
// they learn only after some seconds that they must go elsewhere.
func (d *Daemon) Stop() {
	began := d.clock.Now()
	grace := clock.Milli(d.set.Grace) * clock.Second
	d.stopping.Store(true)
	d.inbound.Drain()
	d.callers.Stop()
	d.outbound.StopAt(began + grace - exitMargin - lastAnswerMargin)
	event.Info(d.log, event.Stopping)
	exitAt := began + grace - exitMargin
	d.awaitIdle(began+grace*acceptPercent/100, exitAt-acceptedLinger-clock.Milli(len(d.listeners))*listenerDrainTime)
	for _, l := range d.listeners {
		l.Drain(listenerDrainTime)
	}
	lingerEnd := d.clock.Now() + acceptedLinger
	d.awaitIdle(lingerEnd, max(lingerEnd, exitAt))
	d.callers.CloseIdle()
	d.cancel()
	if d.callers.InFlight()+d.peers.InFlight() > 0 {
		event.Warn(d.log, event.StopInterrupted, zap.Int64("outbound", d.callers.InFlight()), zap.Int64("inbound", d.peers.InFlight()))
	}
	event.Info(d.log, event.Stopped)
}

// Kill ends the daemon at once, as when its process is killed.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	for _, l := range d.listeners {
		_ = l.Close()
	}
	d.callers.CloseAll()
	d.peers.CloseAll()
	d.cancel()
}

// awaitIdle waits until no request is left, at least until one instant and at
// most until another.
func (d *Daemon) awaitIdle(earliest, latest clock.Milli) {
	for {
		now := d.clock.Now()
		if now >= latest || now >= earliest && d.callers.IsIdle() && d.peers.IsIdle() {
			return
		}
		<-d.clock.After(idlePollEvery)
	}
}
