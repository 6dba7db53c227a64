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
	// lastRequestWait is how long after the listeners have closed the servers go on,
	// so that a request on a connection accepted last is read and answered.
	lastRequestWait = 200 * clock.Millisecond
	// leaveNoticeTime is how long a stopping daemon goes on answering, so that
	// everyone hears that it is leaving and turns elsewhere.
	leaveNoticeTime = 2 * clock.Second
	// idlePoll is the interval at which a stop looks whether work is left.
	idlePoll = 20 * clock.Millisecond
	// closeTimeout bounds the closing of servers once no work is left.
	closeTimeout = 2 * clock.Second
	// handoverPartBytes is the size of one part of a hand-over.
	handoverPartBytes = 256 << 10
	// handoverTimeout bounds the sending of one part.
	handoverTimeout = 2 * clock.Second
	takeMethod      = "Control.Take"
)

// errHandedOver is the answer to a hand-over that would be lost with this daemon.
var errHandedOver = errors.New("this daemon has handed over its own outcomes")

// receiver holds the methods that other daemons may call.
type receiver struct {
	d *Daemon
}

// Receive takes in a control message.
func (r *receiver) Receive(e Envelope, reply *Empty) error {
	return r.d.control.Receive(e, reply)
}

// Take takes over one part of the outcomes of a daemon that stops.
func (r *receiver) Take(h Handover, _ *Empty) error {
	if r.d.handedOver.Load() {
		return errHandedOver
	}
	if err := r.d.handovers.Import(r.d.clock.Now(), h.Part); err != nil {
		return err
	}
	event.Info(r.d.log, event.HandoverReceived, zap.String("from", h.From), zap.Int("part", h.Part.Part), zap.Int("parts", h.Part.Parts))
	return nil
}

// Stop ends the daemon gracefully: it takes no new work at once and says so,
// lets work in progress end, hands its outcomes to peers and closes. It
// returns when all of that is done or the grace has passed.
func (d *Daemon) Stop() {
	event.Info(d.log, event.Stopping)
	d.leaving.Store(true)
	d.inbound.Drain()
	select {
	case d.control.leave <- struct{}{}:
	default:
	}
	end := d.clock.Now() + d.set.Grace
	d.waitFor(min(d.clock.Now()+leaveNoticeTime, end), func() bool { return false })
	if !d.waitFor(end, d.isIdle) {
		event.Warn(d.log, event.StopInterrupted, zap.Int64("outbound", d.outbound.Busy()), zap.Int("inbound", d.chains.Len()))
	}
	d.handOver()
	d.close()
	event.Info(d.log, event.Stopped)
}

// waitFor waits until the condition holds or the instant end, and reports
// whether it holds.
func (d *Daemon) waitFor(end clock.Milli, condition func() bool) bool {
	for !condition() {
		if d.clock.Now() >= end {
			return false
		}
		<-d.clock.After(idlePoll)
	}
	return true
}

func (d *Daemon) isIdle() bool { return d.outbound.Busy() == 0 && d.inbound.IsIdle() }

// handOver gives the outcomes of once-only requests to the daemons that others
// will ask about this one's tickets, and passes on what this daemon was given.
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
	d.handOverToSuccessors(set, d.set.Name, own)
	byTarget := make(map[string][]guard.Handover)
	for _, part := range d.handovers.Export(now) {
		byTarget[part.Target] = append(byTarget[part.Target], part)
	}
	for target, parts := range byTarget {
		d.handOverToSuccessors(set, target, parts)
	}
}

// handOverToSuccessors gives the outcomes of a target's daemon to its heirs.
func (d *Daemon) handOverToSuccessors(set *rules.Set, target string, parts []guard.Handover) {
	copies := 0
	// What this daemon was given is of its own service too.
	service, _ := d.control.ownService.Load().(string)
	for _, successor := range succ.SuccessorsIn(set, service, target) {
		if successor.Name == d.set.Name {
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

func (d *Daemon) sendHandover(successor *rules.Target, parts []guard.Handover) bool {
	for _, part := range parts {
		err := d.links.Call(controlAddr(successor), takeMethod, Handover{
			From: d.set.Name,
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

// closeWhenLeaving tells the peers of a stopping daemon not to keep their connections,
// so that nobody sends a request on one that is about to close.
func (d *Daemon) closeWhenLeaving(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if d.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// close ends all servers and goroutines. Who has connected by now is still
// answered.
func (d *Daemon) close() {
	for _, ln := range d.listeners {
		ln.Drain(closeTimeout)
	}
	<-d.clock.After(lastRequestWait)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	for _, s := range d.servers {
		// Connections that are still open when the time is over are cut: no
		// work is left on them.
		_ = s.ShutdownWithContext(ctx)
	}
	d.abort()
}

// abort ends what runs without waiting for work.
func (d *Daemon) abort() {
	// Shutdown passes over a server whose Serve has not begun, and a start that
	// fails shuts down none.
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
	d.cancel()
	d.running.Wait()
	d.links.Close()
	if d.peers != nil {
		_ = d.peers.Close()
	}
	_ = d.metrics.close()
}

// Kill ends the daemon at once, as far as a process can do that to itself:
// work in progress is cut and nothing is handed over. It does nothing after
// Stop.
func (d *Daemon) Kill() {
	for _, ln := range d.listeners {
		ln.CloseAll()
	}
	d.abort()
}
