package daemon

import (
	"context"
	"errors"
	"strconv"

	"siskinswitch.example/siskin/internal/proto/event"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/succ"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// lastRequestWait is how long the servers continue after the listeners have
	// closed, so that requests on the last accepted connections are answered.
	lastRequestWait = 200 * clock.Millisecond
	// leaveNoticeTime is the minimum time that a stopping daemon keeps answering,
	// so that its peers learn that it is leaving and use other daemons.
	leaveNoticeTime = 2 * clock.Second
	// idlePollInterval is the interval at which Stop checks for in-flight requests.
	idlePollInterval = 20 * clock.Millisecond
	// closeTimeout bounds the closing of listeners and servers after the in-flight
	// requests have ended.
	closeTimeout = 2 * clock.Second
	// handoverPartBytes bounds one part of a handover.
	handoverPartBytes = 256 << 10
	// handoverTimeout bounds the sending of one part.
	handoverTimeout = 2 * clock.Second
	// takeMethod is the RPC method that receives a part of a handover.
	takeMethod = "Control.Take"
)

// errHandedOver refuses a handover that arrives after this daemon has exported its
// outcomes: what it accepted now would be lost when it ends.
var errHandedOver = errors.New("this daemon has handed over its own outcomes")

// errPanicked refuses a handover that met an unexpected error.
var errPanicked = errors.New("the handover met an unexpected error")

// receiver has the methods that other daemons call over net/rpc.
type receiver struct {
	d *Daemon
}

// Receive queues a control message, see [control.Receive].
func (r *receiver) Receive(e Envelope, reply *Empty) error {
	return r.d.control.Receive(e, reply)
}

// Take stores one part of the outcomes of a stopping daemon. It returns an error if
// this daemon has already handed over its own.
func (r *receiver) Take(h Handover, _ *Empty) error {
	if r.d.handedOver.Load() {
		return errHandedOver
	}
	var err error
	if !r.d.run("take a handover", func() { err = r.d.handovers.Import(r.d.clock.Now(), h.Part) }) {
		return errPanicked
	}
	if err != nil {
		return err
	}
	event.Info(r.d.log, event.HandoverReceived, zap.String("from", h.From), zap.Int("part", h.Part.Part), zap.Int("parts", h.Part.Parts))
	return nil
}

// Stop ends the daemon gracefully. It refuses new requests at once and announces
// that the daemon is leaving, waits for in-flight requests, for at most the grace of
// the settings, then hands the outcomes to successors and closes.
func (d *Daemon) Stop() {
	event.Info(d.log, event.Stopping)
	d.leaving.Store(true)
	d.inbound.Drain()
	select {
	case d.control.leave <- struct{}{}:
	default:
	}
	end := d.clock.Now() + d.settings.Grace
	d.waitFor(min(d.clock.Now()+leaveNoticeTime, end), func() bool { return false })
	if !d.waitFor(end, d.isIdle) {
		event.Warn(d.log, event.StopInterrupted, zap.Int64("outbound", d.outbound.Busy()), zap.Int("inbound", d.chains.Len()))
	}
	d.handOver()
	d.close()
	event.Info(d.log, event.Stopped)
}

// waitFor waits until the condition holds, at most until the instant end, and
// reports whether it holds.
func (d *Daemon) waitFor(end clock.Milli, condition func() bool) bool {
	for !condition() {
		if d.clock.Now() >= end {
			return false
		}
		<-d.clock.After(idlePollInterval)
	}
	return true
}

func (d *Daemon) isIdle() bool { return d.outbound.Busy() == 0 && d.inbound.IsIdle() }

// handOver sends the outcomes of non-idempotent requests to the successors, which
// the other daemons will query about this daemon's tickets. It also forwards the
// outcomes that this daemon received in earlier handovers.
func (d *Daemon) handOver() {
	d.handedOver.Store(true)
	set := d.view.Load().Rules
	if set == nil {
		return
	}
	now := d.clock.Now()
	own, err := d.guard.Export(now, handoverPartBytes)
	if err != nil {
		event.Warn(d.log, event.HandoverFailed, zap.Error(err))
		return
	}
	d.handOverToSuccessors(set, d.settings.Name, own)
	byTarget := make(map[string][]guard.Handover)
	for _, part := range d.handovers.Export(now) {
		byTarget[part.Target] = append(byTarget[part.Target], part)
	}
	for target, parts := range byTarget {
		d.handOverToSuccessors(set, target, parts)
	}
}

// handOverToSuccessors sends the outcomes of a target's daemon to the first
// succ.Copies of its successors that accept all parts.
func (d *Daemon) handOverToSuccessors(set *rules.Set, target string, parts []guard.Handover) {
	copies := 0
	// Daemons hand over within their service, so received outcomes belong to this
	// daemon's service too.
	service, _ := d.control.ownService.Load().(string)
	for _, successor := range succ.SuccessorsIn(set, service, target) {
		if successor.Name == d.settings.Name {
			continue
		}
		if d.sendHandover(successor, parts) {
			copies++
		}
		if copies == succ.Copies {
			return
		}
	}
	if copies == 0 {
		event.Warn(d.log, event.HandoverFailed, zap.String("target", target), zap.Int("parts", len(parts)))
	}
}

// sendHandover sends all parts to one successor and reports whether it accepted
// them.
func (d *Daemon) sendHandover(successor *rules.Target, parts []guard.Handover) bool {
	for _, part := range parts {
		err := d.links.Call(controlAddr(successor), takeMethod, Handover{
			From: d.settings.Name,
			Part: part,
		}, &Empty{}, handoverTimeout)
		if err != nil {
			event.Warn(d.log, event.HandoverFailed, zap.String("peer", successor.Name), zap.String("part", strconv.Itoa(part.Part)), zap.Error(err))
			return false
		}
	}
	event.Info(d.log, event.Handover, zap.String("peer", successor.Name), zap.Int("parts", len(parts)))
	return true
}

// closeWhenLeaving adds "Connection: close" to the answers of a stopping daemon, so
// that no client sends a request on a connection that is about to close.
func (d *Daemon) closeWhenLeaving(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if d.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// close stops the listeners, the servers and all goroutines. Requests on
// connections that clients have already opened are still answered.
func (d *Daemon) close() {
	for _, ln := range d.listeners {
		if err := ln.Drain(closeTimeout); err != nil {
			d.log.Warn("connections may be reset while a listener closes", zap.Error(err))
		}
	}
	<-d.clock.After(lastRequestWait)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	for _, s := range d.servers {
		// Connections that are still open after closeTimeout are interrupted: no
		// requests are left on them.
		_ = s.ShutdownWithContext(ctx)
	}
	d.abort()
}

// abort stops everything without waiting for in-flight requests.
func (d *Daemon) abort() {
	// Shutdown skips a server whose Serve has not begun, and a failed Start calls
	// no Shutdown, so the listeners are closed here.
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
	d.cancel()
	d.goroutines.Wait()
	d.links.Close()
	if d.controlListener != nil {
		_ = d.controlListener.Close()
	}
	_ = d.metrics.close()
}

// Kill ends the daemon at once: it closes all connections, which interrupts
// in-flight requests, and hands over no outcomes. It does nothing after Stop.
func (d *Daemon) Kill() {
	for _, ln := range d.listeners {
		ln.CloseAll()
	}
	d.abort()
}
