package proxy

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// stopShare is the part of the grace, in percent, in which a stopping
	// daemon still takes requests.
	stopShare = 70
	// stopStep is the time between two looks at what is left.
	stopStep = 20 * clock.Millisecond
	// stopMargin is the time before the kill at which the process ends.
	stopMargin = 300 * clock.Millisecond
	// stopAnswer is the time before that by which the last answers are due.
	stopAnswer = 100 * clock.Millisecond
	// stopDrain is the time for taking in who waits at one listener.
	stopDrain = 20 * clock.Millisecond
	// stopLinger is the time for which connections that were taken are still
	// served when no more are taken: their requests may be on the way.
	stopLinger = 150 * clock.Millisecond
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
	d.outbound.StopAt(began + grace - stopMargin - stopAnswer)
	event.Info(d.log, event.Stopping)
	last := began + grace - stopMargin
	d.awaitIdle(began+grace*stopShare/100, last-stopLinger-clock.Milli(len(d.listens))*stopDrain)
	for _, l := range d.listens {
		l.Drain(stopDrain)
	}
	served := d.clock.Now() + stopLinger
	d.awaitIdle(served, max(served, last))
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
	for _, l := range d.listens {
		_ = l.Close()
	}
	d.callers.CloseAll()
	d.peers.CloseAll()
	d.cancel()
}

// awaitIdle waits until no request is left, at least until one instant and at
// most until another.
func (d *Daemon) awaitIdle(least, most clock.Milli) {
	for {
		now := d.clock.Now()
		if now >= most || now >= least && d.callers.IsIdle() && d.peers.IsIdle() {
			return
		}
		<-d.clock.After(stopStep)
	}
}
