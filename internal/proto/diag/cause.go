package diag

import (
	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/proto/peer"
	"siskinswitch.example/siskin/internal/state/admit"
)

// Cause is the reason for the result of a request. The values appear in reports.
type Cause string

// Causes. docs/OPERATIONS.md tells operators what to do about each.
const (
	// Served means that the request was answered without a failure.
	Served Cause = "served"
	// DaemonNotReady means that the daemon had no configuration yet or was
	// stopping.
	DaemonNotReady Cause = "daemon not ready"
	// NoRoute means that no route matches the request.
	NoRoute Cause = "no route"
	// KeyUnknown means that the configuration in force has no such key, or that the
	// request was a call whose parent had ended.
	KeyUnknown Cause = "key not known"
	// KeyUnjudged means that the key could not be judged, because the configuration
	// may have been outdated.
	KeyUnjudged Cause = "keys not up to date"
	// AccountLimited means that the client account was over its rate limit.
	AccountLimited Cause = "account over its limit"
	// NoLender means that no daemon that lends tokens of rate limits answered.
	NoLender Cause = "no lender of rate limits"
	// NoTarget means that no target of the service could be chosen.
	NoTarget Cause = "no target to choose"
	// NoCapacity means that admission control in front of the target refused
	// the request.
	NoCapacity Cause = "no room at the target"
	// TimeTooShort means that the request would not have ended before its
	// deadline.
	TimeTooShort Cause = "too little time left"
	// NoCapacityDownstream means that a service which the request would call
	// has no capacity.
	NoCapacityDownstream Cause = "no room at a deeper service"
	// NoRoomForChain means that the entry let the request in nowhere, because a
	// service of its chain of calls is overloaded.
	NoRoomForChain Cause = "no room for the chain of calls"
	// TargetRefused means that the target itself refused the request after
	// admission control had let it pass.
	TargetRefused Cause = "turned away by the target"
	// TargetLeaving means that the target takes no new work.
	TargetLeaving Cause = "target leaving"
	// BodyNotRead means that the daemon beside the target gave up the body of the
	// request: it took too long, or there was no memory for it.
	BodyNotRead Cause = "body not read"
	// TargetUnreached means that nothing could be sent to the target or its
	// daemon.
	TargetUnreached Cause = "target not reached"
	// TargetTooSlow means that the target got the request and did not answer
	// in time.
	TargetTooSlow Cause = "target too slow"
	// AnswerLost means that the target got the request and its answer was lost
	// or damaged.
	AnswerLost Cause = "answer lost"
	// TargetFailed means that the target answered with a failure of its own.
	TargetFailed Cause = "target failed"
	// CallerDisconnected means that the caller closed its connection.
	CallerDisconnected Cause = "caller left"
	// Unknown means that the logs do not show the cause.
	Unknown Cause = "not in these logs"
)

// causeByEnd maps the end of a request that its client account kept from running to
// its cause.
var causeByEnd = map[string]Cause{
	event.EndDenied:    KeyUnknown,
	event.EndStale:     KeyUnjudged,
	event.EndLimited:   AccountLimited,
	event.EndUnmetered: NoLender,
}

// causeByReason maps the reason of an attempt that did not run to its cause.
var causeByReason = map[string]Cause{
	admit.QueueFull.String():        NoCapacity,
	admit.BelowThreshold.String():   NoCapacity,
	admit.DeadlineTooClose.String(): TimeTooShort,
	admit.Draining.String():         TargetLeaving,
	peer.ReasonCanceled:             CallerDisconnected,
	peer.ReasonLeaving:              TargetLeaving,
	peer.ReasonDownstream:           NoCapacityDownstream,
	peer.ReasonNoRoom:               NoRoomForChain,
	peer.ReasonTargetRefused:        TargetRefused,
	peer.ReasonMisdirected:          TargetLeaving,
	peer.ReasonReplaced:             TargetLeaving,
	peer.ReasonUnreached:            TargetUnreached,
	peer.ReasonUnread:               BodyNotRead,
	// An exchange with the target that failed before anything was sent.
	"unsent": TargetUnreached,
}
