// Package event is the catalogue of the events that daemons log. Each log line
// carries the number of its event, and the meaning of a number never changes.
// docs/EVENTS.md describes the events for operators; a test checks that page
// against this list.
package event

import (
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/state/rescue"
)

// Event is one kind of log line.
type Event struct {
	Number int
	// Text is the message of the log line.
	Text string
}

// The events of a daemon, by number.
var (
	Started          = Event{Number: 100, Text: "daemon started"}
	Ready            = Event{Number: 101, Text: "daemon serves traffic"}
	Stopping         = Event{Number: 102, Text: "daemon stops taking new work"}
	Stopped          = Event{Number: 103, Text: "daemon stopped"}
	StopInterrupted  = Event{Number: 104, Text: "work was still in progress when the grace ended"}
	Handover         = Event{Number: 105, Text: "outcomes handed to a peer"}
	HandoverFailed   = Event{Number: 106, Text: "outcomes could not be handed to any peer"}
	HandoverReceived = Event{Number: 107, Text: "outcomes taken over from a stopped daemon"}
	Reloaded         = Event{Number: 110, Text: "settings read again"}
	ReloadFailed     = Event{Number: 111, Text: "changed settings could not be read"}
	Panicked         = Event{Number: 112, Text: "unexpected error was contained"}
	HangupIgnored    = Event{Number: 113, Text: "SIGHUP was ignored"}
	ConfigApplied    = Event{Number: 200, Text: "configuration in force"}
	ConfigRefused    = Event{Number: 201, Text: "configuration refused"}
	ServiceDown      = Event{Number: 202, Text: "configuration service could not be read"}
	HostsDown        = Event{Number: 203, Text: "list of hosts could not be read"}
	ServiceUp        = Event{Number: 204, Text: "configuration service can be read again"}
	StoreDown        = Event{Number: 205, Text: "store could not be read"}
	StoreUp          = Event{Number: 206, Text: "store can be read again"}
	ReadUnanswered   = Event{Number: 208, Text: "read of the store went unanswered"}
	ReadRepeated     = Event{Number: 209, Text: "unanswered read of the store is sent again"}
	KeysRefused      = Event{Number: 210, Text: "keys are refused because the configuration may be outdated"}
	KeysAccepted     = Event{Number: 211, Text: "keys are accepted again"}
	LendersUnreached = Event{Number: 212, Text: "no lender of rate limits can be reached"}
	LendersReached   = Event{Number: 213, Text: "a lender of rate limits can be reached again"}
	MemberChanged    = Event{Number: 300, Text: "member changed state"}
	TargetLeaving    = Event{Number: 301, Text: "target is leaving"}
	Resumed          = Event{Number: 302, Text: "daemon was paused"}
	Refuted          = Event{Number: 303, Text: "daemon refuted a report of its death"}
	PeerRefused      = Event{Number: 304, Text: "control connection refused"}
	OddHost          = Event{Number: 305, Text: "entry of the list of hosts was left out"}
	TargetsListed    = Event{Number: 310, Text: "targets listed"}
	TargetSeen       = Event{Number: 311, Text: "target seen or changed"}
	TargetGone       = Event{Number: 312, Text: "target gone"}
	RecordUnreadable = Event{Number: 313, Text: "record of a target could not be read"}
	TargetEjected    = Event{Number: 314, Text: "target left out for a while"}
	Overload         = Event{Number: 400, Text: "target is overloaded and sheds work"}
	Recovered        = Event{Number: 401, Text: "target is no longer overloaded"}
	GuardFull        = Event{Number: 402, Text: "table of once-only requests was full"}
	LimitLearned     = Event{Number: 403, Text: "concurrency limit of the target was learned"}
	TargetSlow       = Event{Number: 404, Text: "target is far slower than usual"}
	TargetUsual      = Event{Number: 405, Text: "target is about as fast as usual again"}
	HoldsBack        = Event{Number: 410, Text: "callers' requests are refused, because their chains of calls have no room"}
	LetsIn           = Event{Number: 411, Text: "callers' requests are no longer refused for their chains of calls"}
	Answered         = Event{Number: 500, Text: "request answered"}
	Attempt          = Event{Number: 501, Text: "attempt at the target ended"}
	LinesOmitted     = Event{Number: 502, Text: "log lines left out"}
	Malformed        = Event{Number: 503, Text: "input was refused unread"}
	ConnBroken       = Event{Number: 504, Text: "connection broke under an answer"}
)

// Results of requests, as they appear in lines of [Answered] and in metrics.
const (
	// EndDone means that the caller got the target's answer.
	EndDone = "done"
	// EndRefused means that the request did not run.
	EndRefused = "refused"
	// EndLost means that the answer was lost, so the request may have run.
	EndLost = "lost"
	// EndTimeout means that the deadline passed.
	EndTimeout = "late"
	// EndDisconnected means that the caller closed its connection.
	EndDisconnected = "gone"
	// EndNotReady and EndNoRoute end requests before a target is chosen: either
	// the daemon has no configuration yet or is stopping, or no route matches.
	EndNotReady = "unready"
	EndNoRoute  = "unrouted"
	// EndDenied means that the request has no key of a client account.
	EndDenied = "denied"
	// EndStale means that the key of the request could not be judged, because the
	// configuration may be outdated.
	EndStale = "stale"
	// EndLimited means that the client account of the request is over its rate limit.
	EndLimited = "limited"
	// EndUnmetered means that no lender of rate limits could be reached and that the
	// daemon's own share of the limit was used up.
	EndUnmetered = "unmetered"
)

// All returns the catalogue in the order of numbers.
func All() []Event {
	return []Event{
		Started,
		Ready,
		Stopping,
		Stopped,
		StopInterrupted,
		Handover,
		HandoverFailed,
		HandoverReceived,
		Reloaded,
		ReloadFailed,
		Panicked,
		HangupIgnored,
		ConfigApplied,
		ConfigRefused,
		ServiceDown,
		HostsDown,
		ServiceUp,
		StoreDown,
		StoreUp,
		ReadUnanswered,
		ReadRepeated,
		KeysRefused,
		KeysAccepted,
		LendersUnreached,
		LendersReached,
		MemberChanged,
		TargetLeaving,
		Resumed,
		Refuted,
		PeerRefused,
		OddHost,
		TargetsListed,
		TargetSeen,
		TargetGone,
		RecordUnreadable,
		TargetEjected,
		Overload,
		Recovered,
		GuardFull,
		LimitLearned,
		TargetSlow,
		TargetUsual,
		HoldsBack,
		LetsIn,
		Answered,
		Attempt,
		LinesOmitted,
		Malformed,
		ConnBroken,
	}
}

// Contained logs a panic that was contained.
func Contained(log *zap.Logger, err *rescue.Error) {
	Warn(log, Panicked, zap.String("op", err.Op), zap.Error(err), zap.String("stack", err.Stack))
}

// Info logs an event at level info.
func Info(log *zap.Logger, e Event, fields ...zap.Field) {
	log.Info(e.Text, append(fields, zap.Int("event", e.Number))...)
}

// Warn logs an event at level warn, for events that an operator should look at.
func Warn(log *zap.Logger, e Event, fields ...zap.Field) {
	log.Warn(e.Text, append(fields, zap.Int("event", e.Number))...)
}
