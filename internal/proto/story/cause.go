package story

import (
	"siskinswitch.example/siskin/internal/proto/leg"
	"siskinswitch.example/siskin/internal/state/admit"
)

// Cause is why a request ended as it did.
type Cause string

// Causes. An operator's page, docs/OPERATIONS.md, tells what to do about each.
const (
	// Whole: the request was served.
	Whole Cause = "served"
	// Unready: the daemon had no configuration yet or was stopping.
	Unready Cause = "daemon not ready"
	// Unrouted: no route matches the request.
	Unrouted Cause = "no route"
	// NoTarget: no target of the service could be chosen.
	NoTarget Cause = "no target to choose"
	// NoRoom: the gate in front of the target did not let the request in.
	NoRoom Cause = "no room at the target"
	// NoTime: the time that was left would not have sufficed.
	NoTime Cause = "too little time left"
	// Deeper: a service that the request would call has no room.
	Deeper Cause = "no room at a deeper service"
	// TurnedAway: the target itself refused, though the gate had let it in.
	TurnedAway Cause = "turned away by the target"
	// Leaving: the target was leaving.
	Leaving Cause = "target leaving"
	// Unreached: nothing could be sent to the target or its daemon.
	Unreached Cause = "target not reached"
	// Slow: the target had the request and did not answer in time.
	Slow Cause = "target too slow"
	// Lost: the target had the request and its answer was lost or spoiled.
	Lost Cause = "answer lost"
	// Failed: the target answered with a failure of its own.
	Failed Cause = "target failed"
	// Left: the caller hung up.
	Left Cause = "caller left"
	// Unknown: the logs do not tell.
	Unknown Cause = "not in these logs"
)

// reasons maps the reason of an attempt that did not run to its cause.
var reasons = map[string]Cause{
	admit.QueueFull.String():        NoRoom,
	admit.BelowThreshold.String():   NoRoom,
	admit.DeadlineTooClose.String(): NoTime,
	admit.Draining.String():         Leaving,
	leg.ReasonCanceled:              Left,
	leg.ReasonLeaving:               Leaving,
	leg.ReasonDeeper:                Deeper,
	leg.ReasonTarget:                TurnedAway,
	leg.ReasonOther:                 Leaving,
	leg.ReasonMoved:                 Leaving,
	leg.ReasonUnreached:             Unreached,
	// Of an exchange of which nothing was sent.
	"unsent": Unreached,
}
