package guard

import "siskinswitch.example/siskin/internal/state/ticket"

// Status is what a guard knows about a request.
type Status uint8

// Statuses of verdicts.
const (
	// Fresh: the request has not been seen before and is now held; the caller
	// of Begin alone may start it. Only Begin returns this, once for each
	// request.
	Fresh Status = iota + 1
	// Running: an earlier arrival of the request is held or has been started.
	Running
	// Done: the request ran to its end.
	Done
	// NotRun: the request never ran, and the guard will never start it.
	NotRun
	// Unknown: the guard cannot tell whether the request ran.
	Unknown
	// Mismatch: the id belongs to a request with other content. The verdict
	// says nothing about that request, and the present one is not run.
	Mismatch
)

// Reason says why a guard reached its verdict.
type Reason uint8

// Reasons of verdicts.
const (
	// NoReason: the verdict follows from the state of the request's entry.
	NoReason Reason = iota
	// Full: the table has no room for another request (NotRun).
	Full
	// Stale: the ticket's generation is closed (NotRun).
	Stale
	// Closed: the guard starts nothing more because its daemon is stopping
	// (NotRun).
	Closed
	// Fenced: a query found no entry and fenced the id (NotRun).
	Fenced
	// AnswerTooLarge: the answer was too long to keep (Done).
	AnswerTooLarge
	// Interrupted: the exchange with the target broke off (Unknown).
	Interrupted
	// Forgotten: the window of the outcome has passed (Unknown).
	Forgotten
	// OtherIncarnation: the ticket names another incarnation (Unknown).
	OtherIncarnation
	// Ahead: the ticket names a generation that has not begun (Unknown).
	Ahead
	// Partial: some parts of a handover have not arrived (Unknown).
	Partial
)

var reasonNames = [...]string{
	NoReason:         "plain",
	Full:             "full",
	Stale:            "stale",
	Closed:           "closed",
	Fenced:           "fenced",
	AnswerTooLarge:   "large",
	Interrupted:      "cut",
	Forgotten:        "forgotten",
	OtherIncarnation: "elsewhere",
	Ahead:            "ahead",
	Partial:          "partial",
}

// String returns the reason's name, as metrics and logs show it.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unnamed"
}

// Verdict is a guard's decision about one request.
type Verdict struct {
	Status Status
	Reason Reason
	// Answer is the whole answer that the request got when it ran. Only Done
	// verdicts have one, except those with reason AnswerTooLarge. Its slices
	// must not be modified.
	Answer Answer
	// Stamp is the guard's present stamp, for minting the next ticket. Verdicts
	// of a [HandoverStore] have none.
	Stamp ticket.Stamp
}

// Field is one header field of an answer.
type Field struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// Answer is a target's answer. A table keeps it whole or not at all.
type Answer struct {
	Status int     `cbor:"status"`
	Fields []Field `cbor:"fields,omitempty"`
	Body   []byte  `cbor:"body,omitempty"`
}

// answerOverheadBytes is the memory that an answer takes apart from its fields
// and body.
const answerOverheadBytes = 96

// Size returns the memory that a takes, in bytes.
func (a Answer) Size() int {
	n := answerOverheadBytes + len(a.Body)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
