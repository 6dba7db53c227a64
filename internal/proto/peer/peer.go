// Package peer defines the two header fields that daemons on the users'
// platform exchange: a [Hop] travels with a request from the outbound side of
// one daemon to the inbound side of another, and a [Feedback] returns with the
// answer.
//
// Each is a single header field of comma-separated values, because every byte
// sent between regions costs money. Names from outside are escaped where they have
// bytes that a value can't hold. A field that cannot be parsed is an error,
// and the receiver refuses the request without running it.
package peer

import (
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/room"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Names of the header fields that carry a [Hop] and a [Feedback].
const (
	HeaderHop      = "Siskin-Hop"
	HeaderFeedback = "Siskin-Word"
)

// Headers holds the names that the platform gives to the header fields of
// requests and answers.
type Headers struct {
	// ID identifies one attempt of a caller.
	ID string
	// Deadline is the time that the sender still waits, in milliseconds.
	Deadline string
	// Signature marks an answer as made by a target.
	Signature string
	// Expected names the only target that may run the request.
	Expected string
	// Load is the load that a target reports.
	Load string
	// NotRun marks the answer to a request that did not run.
	NotRun string
	// Retry is the time in seconds after which the sender may retry.
	Retry string
	// Caller is the service of the host where the request began.
	Caller string
	// Instance is the id of the target that answered.
	Instance string
	// Key is the caller's key, which names its client account.
	Key string
	// Account is the name of the client account that a request belongs to.
	Account string
}

// Hop describes a request to the inbound side of the target's daemon.
type Hop struct {
	// Target is the id of the target that should run the request.
	Target string
	// Path is the operation, which is the route of the request.
	Path       string
	Importance rules.Importance
	// RootHash is the hash of the id of the request that began the chain of
	// calls, or its order among the client accounts, see package fair. Depth is the
	// number of calls above this one.
	RootHash uint64
	Depth    int
	// Key identifies the attempt in the guard, which runs it at most once. It
	// is empty for an idempotent request.
	Key   string
	Stamp ticket.Stamp
	// Repeat says that the request ran before, or that it is a call made by a
	// request that ran before.
	Repeat bool
	// Inherited says that Repeat holds because the calling request is itself a
	// repeat.
	Inherited bool
	// IsQuery says that the sender only asks for the state of the attempt.
	IsQuery bool
}

// Reasons in a [Feedback]. The gate, the guard and the exchange with the target
// have further ones.
const (
	// ReasonCallFailed means that the target answered with a failure after one
	// of its own calls had failed.
	ReasonCallFailed = "call"
	// ReasonUnreached means that no byte of the request was sent to the target.
	ReasonUnreached = "unreached"
	// ReasonTargetRefused means that the target itself refused the request.
	ReasonTargetRefused = "target"
	// ReasonReplaced means that another target now has the address of the
	// intended one.
	ReasonReplaced = "moved"
	// ReasonMisdirected means that the target which got the request refused it
	// because it was meant for another target.
	ReasonMisdirected = "other"
	// ReasonLeaving means that the target takes no new work.
	ReasonLeaving = "leaving"
	// ReasonEnding means that the daemon ends before the deadline of the request.
	ReasonEnding = "ending"
	// ReasonUnread means that the body of the request was not read: it took too long,
	// or there was no memory for it.
	ReasonUnread = "unread"
	// ReasonDownstream means that a service further downstream would refuse the
	// request.
	ReasonDownstream = "deeper"
	// ReasonNoRoom means that the entry let the request in nowhere, because a service
	// of its chain of calls has no room for it.
	ReasonNoRoom = "chain"
	// ReasonCanceled means that the sender left while the request waited.
	ReasonCanceled = "canceled"
)

// Outcome says what the inbound side knows about the execution of a request.
type Outcome uint8

// Outcomes.
const (
	// Done means that the target has answered.
	Done Outcome = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
	// Running means that the attempt that a query asks about still runs.
	Running
	// OtherIncarnation means that the stamp belongs to another incarnation of
	// the daemon.
	OtherIncarnation
)

var outcomeNames = [...]string{"done", "not-run", "unknown", "running", "elsewhere"}

// String returns the name of o in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unnamed"
}

// Feedback is the state that the inbound side attaches to its answer.
type Feedback struct {
	Outcome Outcome
	// ReachedTarget says that the request reached the target, whether it ran
	// there or not.
	ReachedTarget bool
	// Reason is why the request did not run, as a short keyword.
	Reason string
	// Running counts the requests that hold a slot or wait for one, Limit
	// is the concurrency limit.
	Running int
	Limit   int
	// Leaving says that the daemon or its target takes no new work.
	Leaving   bool
	Threshold admit.Threshold
	// Wait is the time after which a refused request may be retried.
	Wait  clock.Milli
	Stamp ticket.Stamp
	// Ends is the time until the daemon ends, 0 if it does not stop. It travels in
	// [HeaderEnds].
	Ends clock.Milli
	// Room is what was learned of the target. It travels in [HeaderRoom].
	Room Room
	// Needs are the calls to overloaded services that the request needed. They travel
	// in [HeaderLoad].
	Needs []room.Need
	// Received says that the feedback came from the daemon beside the target.
	// It is false for feedback that the sender infers, for example from a
	// failed exchange, and it is not sent.
	Received bool
}

const (
	hopParts      = 11
	feedbackParts = 10
	base36        = 36
)

// String returns h as the value of [HeaderHop].
func (h Hop) String() string {
	return strings.Join([]string{
		escape(h.Target),
		escape(h.Path),
		strconv.Itoa(int(h.Importance)),
		strconv.Itoa(h.Depth),
		formatBool(h.IsQuery),
		escape(h.Key),
		strconv.FormatUint(h.Stamp.Incarnation, base36),
		strconv.FormatUint(h.Stamp.Generation, base36),
		strconv.FormatUint(h.RootHash, base36),
		formatBool(h.Repeat),
		formatBool(h.Inherited),
	}, ",")
}

// ParseHop parses the value of [HeaderHop].
func ParseHop(s string) (Hop, error) {
	parts := strings.Split(s, ",")
	if len(parts) != hopParts {
		return Hop{}, fmt.Errorf("peer: parse hop: %d fields, want %d", len(parts), hopParts)
	}
	importance, err := strconv.Atoi(parts[2])
	if err != nil || !rules.Importance(importance).IsValid() {
		return Hop{}, fmt.Errorf("peer: parse hop: invalid importance %q", parts[2])
	}
	depth, err := strconv.Atoi(parts[3])
	if err != nil || depth < 0 {
		return Hop{}, fmt.Errorf("peer: parse hop: invalid depth %q", parts[3])
	}
	stamp, err := parseStamp(parts[6], parts[7])
	if err != nil {
		return Hop{}, fmt.Errorf("peer: parse hop: %w", err)
	}
	root, err := strconv.ParseUint(parts[8], base36, 64)
	if err != nil {
		return Hop{}, fmt.Errorf("peer: parse hop: root: %w", err)
	}
	var texts [3]string
	for i, index := range []int{0, 1, 5} {
		if texts[i], err = unescape(parts[index]); err != nil {
			return Hop{}, fmt.Errorf("peer: parse hop: %w", err)
		}
	}
	return Hop{
		Target:     texts[0],
		Path:       texts[1],
		Importance: rules.Importance(importance),
		RootHash:   root,
		Depth:      depth,
		IsQuery:    parts[4] == "1",
		Repeat:     parts[9] == "1",
		Inherited:  parts[10] == "1",
		Key:        texts[2],
		Stamp:      stamp,
	}, nil
}

// String returns f as the value of [HeaderFeedback]. Ends, Room, Needs and Received
// are left out.
func (f Feedback) String() string {
	return strings.Join([]string{
		strconv.Itoa(int(f.Outcome)),
		f.Reason,
		strconv.Itoa(f.Running),
		strconv.Itoa(f.Limit),
		formatBool(f.Leaving),
		f.Threshold.String(),
		strconv.FormatInt(int64(f.Wait), 10),
		strconv.FormatUint(f.Stamp.Incarnation, base36),
		strconv.FormatUint(f.Stamp.Generation, base36),
		formatBool(f.ReachedTarget),
	}, ",")
}

// ParseFeedback parses the value of [HeaderFeedback] and sets Received.
func ParseFeedback(s string) (Feedback, error) {
	parts := strings.Split(s, ",")
	if len(parts) != feedbackParts {
		return Feedback{}, fmt.Errorf("peer: parse feedback: %d fields, want %d", len(parts), feedbackParts)
	}
	var numbers [3]int
	for i, index := range []int{0, 2, 3} {
		n, err := strconv.Atoi(parts[index])
		if err != nil || n < 0 {
			return Feedback{}, fmt.Errorf("peer: parse feedback: invalid number %q", parts[index])
		}
		numbers[i] = n
	}
	if numbers[0] >= len(outcomeNames) {
		return Feedback{}, fmt.Errorf("peer: parse feedback: unknown outcome %d", numbers[0])
	}
	threshold, err := admit.ParseThreshold(parts[5])
	if err != nil {
		return Feedback{}, fmt.Errorf("peer: parse feedback: %w", err)
	}
	wait, err := strconv.ParseInt(parts[6], 10, 64)
	if err != nil {
		return Feedback{}, fmt.Errorf("peer: parse feedback: wait: %w", err)
	}
	stamp, err := parseStamp(parts[7], parts[8])
	if err != nil {
		return Feedback{}, fmt.Errorf("peer: parse feedback: %w", err)
	}
	return Feedback{
		Outcome:       Outcome(numbers[0]),
		ReachedTarget: parts[9] == "1",
		Received:      true,
		Reason:        parts[1],
		Running:       numbers[1],
		Limit:         numbers[2],
		Leaving:       parts[4] == "1",
		Threshold:     threshold,
		Wait:          clock.Milli(wait),
		Stamp:         stamp,
	}, nil
}

func parseStamp(incarnation, generation string) (ticket.Stamp, error) {
	i, err := strconv.ParseUint(incarnation, base36, 64)
	if err != nil {
		return ticket.Stamp{}, fmt.Errorf("incarnation: %w", err)
	}
	g, err := strconv.ParseUint(generation, base36, 64)
	if err != nil {
		return ticket.Stamp{}, fmt.Errorf("generation: %w", err)
	}
	return ticket.Stamp{
		Incarnation: i,
		Generation:  g,
	}, nil
}

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}
