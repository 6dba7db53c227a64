package daemon

import (
	"strings"
	"sync/atomic"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/trans/outbnd"
	"siskinswitch.example/siskin/pkg/header"
)

// totals counts the calls and attempts of the outbound server for the status
// report. The metrics count the same in more detail, but cannot be read back.
type totals struct {
	done     atomic.Uint64
	refused  atomic.Uint64
	unknown  atomic.Uint64
	attempts atomic.Uint64
	retries  atomic.Uint64
	hedges   atomic.Uint64
	resolved atomic.Uint64
}

func (t *totals) report() admin.OutboundTotals {
	return admin.OutboundTotals{
		Done:     t.done.Load(),
		Refused:  t.refused.Load(),
		Unknown:  t.unknown.Load(),
		Attempts: t.attempts.Load(),
		Retries:  t.retries.Load(),
		Hedges:   t.hedges.Load(),
		Resolved: t.resolved.Load(),
	}
}

// outboundMetrics returns the callbacks by which the outbound server reports its counts.
func (d *Daemon) outboundMetrics() outbnd.Metrics {
	return outbnd.Metrics{
		Answered: d.onAnswered,
		Attempts: func() {
			d.totals.attempts.Add(1)
			d.metrics.attempts.Inc(1)
		},
		Retries: func() {
			d.totals.retries.Add(1)
			d.metrics.retries.Inc(1)
		},
		Hedges: func() {
			d.totals.hedges.Add(1)
			d.metrics.hedges.Inc(1)
		},
		Resolved: func(state string) {
			d.totals.resolved.Add(1)
			d.metrics.onResolved(state)
		},
	}
}

// onAnswered counts a finished call.
func (d *Daemon) onAnswered(a outbnd.Answered) {
	d.metrics.onAnswered(a)
	switch a.Outcome {
	case header.Done:
		d.totals.done.Add(1)
	case header.NotRun:
		d.totals.refused.Add(1)
	default:
		d.totals.unknown.Add(1)
	}
	d.recordBurn(a)
}

// recordBurn counts a call against the objective of its service. It ignores calls
// made on behalf of other calls, and those that failed through the caller's fault.
func (d *Daemon) recordBurn(a outbnd.Answered) {
	if !a.Root || isCallersFault(a.Reason) {
		return
	}
	service, _, _ := strings.Cut(a.Path, "/")
	objective, ok := objectiveOf(d.view.Load().Rules, service)
	if !ok {
		return
	}
	d.burn.Add(d.clock.Now(), burn.Key{
		Service:    service,
		Importance: a.Importance,
		Caller:     a.Caller,
	}, isGood(a, objective))
}

// isGood reports whether a call met its objective: the complete answer of the
// target arrived within the objective's latency and is no server error.
func isGood(a outbnd.Answered, o rules.Objective) bool {
	const serverError = 500
	return a.Outcome == header.Done && a.Reason == "" && a.Status < serverError && a.Took <= o.Latency
}

// isCallersFault reports whether a call was refused because of what its caller
// sent, or ended because the caller cancelled it. A refusal that offers a ticket is
// the first step of a non-idempotent call; only the step with the ticket counts.
func isCallersFault(reason refuse.Reason) bool {
	switch reason {
	case refuse.Malformed, refuse.Absent, refuse.Denied, refuse.Ticket, refuse.Large, refuse.Duplicate, refuse.Canceled:
		return true
	}
	return false
}

// objectiveOf returns the objective of a service, and false if it has none.
func objectiveOf(set *rules.Set, service string) (rules.Objective, bool) {
	if set == nil {
		return rules.Objective{}, false
	}
	for _, o := range set.Objectives() {
		if o.Service == service {
			return o, true
		}
	}
	return rules.Objective{}, false
}
