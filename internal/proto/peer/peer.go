// Package leg is what two daemons tell each other with a request and its
// answer, beside the message itself.
//
// Each is one header field of comma-separated values, because every byte that
// crosses a region is paid for. A value that cannot be read is an error; the
// request is then refused without having run.
package peer

import (
	"fmt"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/internal/state/ticket"
	"siskinswitch.example/siskin/pkg/clock"
)

// Names of the fields.
const (
	HeaderHop      = "Siskin-Hop"
	HeaderFeedback = "Siskin-Word"
)

// Headers are the names of the fields that requests and answers carry on the
// platform.
type Headers struct {
	// ID identifies one attempt of a caller.
	ID string
	// Deadline is the time that the sender waits, in milliseconds.
	Deadline string
	// Signature marks an answer as a target's own.
	Signature string
	// Expected names the only target that may run the request.
	Expected string
	// Load is a target's statement of its load.
	Load string
	// NotRun marks an answer to a request that did not run.
	NotRun string
	// Retry is the time in seconds until a retry is welcome.
	Retry string
	// Caller is the service of the host where the request began.
	Caller string
	// Instance is the id of the target that answers.
	Instance string
}

// Hop accompanies a request from an outbound to an inbound side.
type Hop struct {
	// Target is the id of the target that is meant.
	Target string
	// Path names the operation, the route of the request.
	Path       string
	Importance rules.Importance
	// RootHash is the hash of the id of the request that began the chain of calls,
	// Depth the number of calls above this one.
	RootHash uint64
	Depth    int
	// Key identifies the attempt at its guard, empty if the request may run
	// more than once.
	Key   string
	Stamp ticket.Stamp
	// Repeat says that the request ran before, or is a call of one that did.
	Repeat bool
	// Inherited says that it is a call of a run that is a repeat.
	Inherited bool
	// IsQuery says that only the state of the attempt is asked for.
	IsQuery bool
}

// Reasons of words, beside those of the gate, the guard and the exchange.
const (
	// ReasonCallFailed is given for a request that the target failed after one of its
	// own calls had failed.
	ReasonCallFailed = "call"
	// ReasonUnreached is given for a request of which nothing was sent to the
	// target.
	ReasonUnreached = "unreached"
	// ReasonTargetRefused is given for a request that the target itself turned away.
	ReasonTargetRefused = "target"
	// ReasonReplaced is given for a request to a target whose address another has,
	// ReasonOther for one that the other target has turned away.
	ReasonReplaced    = "moved"
	ReasonMisdirected = "other"
	// ReasonLeaving is given by a target that takes no new work.
	ReasonLeaving = "leaving"
	// ReasonDownstream is given for a request that a deeper service would refuse.
	ReasonDownstream = "deeper"
	// ReasonCanceled is given for a request whose sender left while it waited.
	ReasonCanceled = "canceled"
)

// Outcome is what became of a request at the inbound side.
type Outcome uint8

// Outcomes.
const (
	// Done is an answer that the target made.
	Done Outcome = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that nobody can tell whether it ran.
	Unknown
	// Running means that the attempt asked about is still at work.
	Running
	// OtherIncarnation means that the stamp is not of this run of the daemon.
	OtherIncarnation
)

var outcomeNames = [...]string{"done", "not-run", "unknown", "running", "elsewhere"}

// String returns the outcome's name, as logs and metrics show it.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unnamed"
}

// Feedback is what the inbound side says with its answer.
type Feedback struct {
	Outcome Outcome
	// ReachedTarget says that the request reached the target itself, whether it ran
	// there or not.
	ReachedTarget bool
	// Reason says in one word why the request was not run.
	Reason string
	// Running counts the requests that hold a slot or wait for one, Limit
	// those that may run at once.
	Running int
	Limit   int
	// Leaving says that the daemon or its target takes no new work.
	Leaving   bool
	Threshold admit.Threshold
	// Wait is the time after which a refused request is welcome again.
	Wait  clock.Milli
	Stamp ticket.Stamp
	// Received says that the daemon beside the target said this. It is false for
	// what the sender concludes by itself, and not sent.
	Received bool
}

const (
	hopParts      = 11
	feedbackParts = 10
	base36        = 36
)

// String returns h as header text.
func (h Hop) String() string {
	return strings.Join([]string{
		h.Target,
		h.Path,
		strconv.Itoa(int(h.Importance)),
		strconv.Itoa(h.Depth),
		formatBool(h.IsQuery),
		h.Key,
		strconv.FormatUint(h.Stamp.Incarnation, base36),
		strconv.FormatUint(h.Stamp.Generation, base36),
		strconv.FormatUint(h.RootHash, base36),
		formatBool(h.Repeat),
		formatBool(h.Inherited),
	}, ",")
}

// ParseHop reads the text form of a Hop.
func ParseHop(s string) (Hop, error) {
	parts := strings.Split(s, ",")
	if len(parts) != hopParts {
		return Hop{}, fmt.Errorf("leg: parse hop: %d parts instead of %d", len(parts), hopParts)
	}
	importance, err := strconv.Atoi(parts[2])
	if err != nil || !rules.Importance(importance).IsValid() {
		return Hop{}, fmt.Errorf("leg: parse hop: importance %q", parts[2])
	}
	depth, err := strconv.Atoi(parts[3])
	if err != nil || depth < 0 {
		return Hop{}, fmt.Errorf("leg: parse hop: depth %q", parts[3])
	}
	stamp, err := parseStamp(parts[6], parts[7])
	if err != nil {
		return Hop{}, fmt.Errorf("leg: parse hop: %w", err)
	}
	root, err := strconv.ParseUint(parts[8], base36, 64)
	if err != nil {
		return Hop{}, fmt.Errorf("leg: parse hop: root: %w", err)
	}
	return Hop{
		Target:     parts[0],
		Path:       parts[1],
		Importance: rules.Importance(importance),
		RootHash:   root,
		Depth:      depth,
		IsQuery:    parts[4] == "1",
		Repeat:     parts[9] == "1",
		Inherited:  parts[10] == "1",
		Key:        parts[5],
		Stamp:      stamp,
	}, nil
}

// String returns w as header text.
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

// ParseFeedback reads the text form of a Word.
func ParseFeedback(s string) (Feedback, error) {
	parts := strings.Split(s, ",")
	if len(parts) != feedbackParts {
		return Feedback{}, fmt.Errorf("leg: parse word: %d parts instead of %d", len(parts), feedbackParts)
	}
	var numbers [3]int
	for i, index := range []int{0, 2, 3} {
		n, err := strconv.Atoi(parts[index])
		if err != nil || n < 0 {
			return Feedback{}, fmt.Errorf("leg: parse word: number %q", parts[index])
		}
		numbers[i] = n
	}
	if numbers[0] >= len(outcomeNames) {
		return Feedback{}, fmt.Errorf("leg: parse word: outcome %d", numbers[0])
	}
	threshold, err := admit.ParseThreshold(parts[5])
	if err != nil {
		return Feedback{}, fmt.Errorf("leg: parse word: %w", err)
	}
	wait, err := strconv.ParseInt(parts[6], 10, 64)
	if err != nil {
		return Feedback{}, fmt.Errorf("leg: parse word: wait: %w", err)
	}
	stamp, err := parseStamp(parts[7], parts[8])
	if err != nil {
		return Feedback{}, fmt.Errorf("leg: parse word: %w", err)
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
