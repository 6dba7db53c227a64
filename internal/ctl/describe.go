package ctl

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/refuse"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/pkg/header"
)

// describeEntry describes a log entry in one sentence.
func describeEntry(e reqlog.Entry) string {
	var b strings.Builder
	switch e.Direction {
	case reqlog.Inbound:
		b.WriteString(describeInbound(e))
	default:
		b.WriteString(describeOutbound(e))
	}
	if e.Reason != "" {
		b.WriteString(": " + describeReason(refuse.Reason(e.Reason)))
	}
	fmt.Fprintf(&b, "; %d ms", e.Took)
	if e.Queued > 0 {
		fmt.Fprintf(&b, ", %d of them in the queue", e.Queued)
	}
	return b.String()
}

// describeInbound describes how a request ended at the daemon of its target.
func describeInbound(e reqlog.Entry) string {
	switch {
	case e.Replayed:
		return "ran earlier and was given the kept answer again"
	case e.Outcome == header.Done:
		return "ran on the target and was answered"
	case e.Outcome == header.NotRun:
		return "did not run here"
	}
	return "may have run here"
}

// describeOutbound describes how a call ended at the daemon of its caller.
func describeOutbound(e reqlog.Entry) string {
	var words string
	switch e.Outcome {
	case header.Done:
		words = fmt.Sprintf("done with status %d by %s", e.Status, e.Target)
	case header.NotRun:
		words = "refused as not run"
	default:
		words = "ended with an unknown outcome"
	}
	switch {
	case e.AttemptTargets != "":
		words += fmt.Sprintf(" after %d attempts at %s", e.Attempts, strings.ReplaceAll(e.AttemptTargets, " ", ", "))
	case e.Attempts > 0 && e.Target != "" && e.Outcome != header.Done:
		words += " after an attempt at " + e.Target
	case e.Attempts == 0:
		words += " before any attempt"
	}
	return words
}

// describeReason describes why a request was refused or failed. For a reason
// that it does not know it returns the reason itself.
func describeReason(reason refuse.Reason) string {
	switch reason {
	case refuse.Malformed:
		return "the request was malformed"
	case refuse.Absent:
		return "the rules list no such operation"
	case refuse.Denied:
		return "the caller or the daemon that sent it was not allowed to"
	case refuse.Ticket:
		return "the operation may run only once and the request had no ticket; a ticket went back with the refusal"
	case refuse.Expired:
		return "the deadline passed, or the work could not have finished before it"
	case refuse.Shed:
		return "overload: requests of its rank are shed to keep more important ones"
	case refuse.Full:
		return "no room to remember another non-idempotent request"
	case refuse.Leaving:
		return "the target is leaving and takes no new work"
	case refuse.Starting:
		return "the daemon had no configuration in force yet"
	case refuse.Duplicate:
		return "the same request had arrived before and was still in progress"
	case refuse.Canceled:
		return "whoever waited for it gave it up"
	case refuse.Retries:
		return "no extra attempts were left for its chain"
	case refuse.Targets:
		return "no target could be used: all tried, leaving, or marked dead"
	case refuse.Lost:
		return "the other side could not be reached or its answer was lost"
	case refuse.Partial:
		return "the message was not whole or was another's"
	case refuse.Large:
		return "the message was too large"
	}
	return string(reason)
}
