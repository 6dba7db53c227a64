package diag

import (
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
)

// Cause is why a request ended as it did.
type Cause string

// Causes. An operator's page, docs/OPERATIONS.md, tells what to do about each.
const (
	// Served: the request was served.
	Served Cause = "served"
	// DaemonNotReady: the daemon had no configuration yet or was stopping.
	DaemonNotReady Cause = "daemon not ready"
	// NoRoute: no route matches the request.
	NoRoute Cause = "no route"
	// NoTarget: no target of the service could be chosen.
	NoTarget Cause = "no target to choose"
	// NoCapacity: the gate in front of the target did not let the request in.
	NoCapacity Cause = "no room at the target"
	// TimeTooShort: the time that was left would not have sufficed.
	TimeTooShort Cause = "too little time left"
	// NoCapacityDownstream: a service that the request would call has no room.
	NoCapacityDownstream Cause = "no room at a deeper service"
	// TargetRefused: the target itself refused, though the gate had let it in.
	TargetRefused Cause = "turned away by the target"
	// TargetLeaving: the target was leaving.
	TargetLeaving Cause = "target leaving"
	// TargetUnreached: nothing could be sent to the target or its daemon.
	TargetUnreached Cause = "target not reached"
	// TargetTooSlow: the target had the request and did not answer in time.
	TargetTooSlow Cause = "target too slow"
	// AnswerLost: the target had the request and its answer was lost or spoiled.
	AnswerLost Cause = "answer lost"
	// TargetFailed: the target answered with a failure of its own.
	TargetFailed Cause = "target failed"
	// CallerDisconnected: the caller hung up.
	CallerDisconnected Cause = "caller left"
	// Unknown: the logs do not tell.
	Unknown Cause = "not in these logs"
)

// causeByReason maps the reason of an attempt that did not run to its cause.
var causeByReason = map[string]Cause{
	admit.QueueFull.String():        NoCapacity,
	admit.BelowThreshold.String():   NoCapacity,
	admit.DeadlineTooClose.String(): TimeTooShort,
	admit.Draining.String():         TargetLeaving,
	peer.ReasonCanceled:             CallerDisconnected,
	peer.ReasonLeaving:              TargetLeaving,
	peer.ReasonDownstream:           NoCapacityDownstream,
	peer.ReasonTargetRefused:        TargetRefused,
	peer.ReasonMisdirected:          TargetLeaving,
	peer.ReasonReplaced:             TargetLeaving,
	peer.ReasonUnreached:            TargetUnreached,
	// Of an exchange of which nothing was sent.
	"unsent": TargetUnreached,
}
