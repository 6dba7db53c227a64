package guard

import "siskinswitch.example/siskin/internal/state/ticket"

// Status is what a guard says about a request.
type Status uint8

// Statuses of verdicts.
const (
	// Fresh: the request is held for the asker, who alone may start it. Only
	// Begin says so, and once for each request.
	Fresh Status = iota + 1
	// Running: another arrival of the request is held or has been started.
	Running
	// Done: the request ran to its end.
	Done
	// NotRun: the request never ran, and the guard will never start it.
	NotRun
	// Unknown: the guard cannot tell whether the request ran.
	Unknown
	// Mismatch: the id belongs to a request with other content. Nothing is
	// said about that request, and this one is not run.
	Mismatch
)

// Reason says why a guard gave its verdict.
type Reason uint8

// Reasons of verdicts.
const (
	// NoReason: the verdict follows from the request's own entry.
	NoReason Reason = iota
	// Full: there is no room for another entry (NotRun).
	Full
	// Stale: the ticket's generation is no longer started (NotRun).
	Stale
	// Closed: the guard starts nothing more because it is stopping (NotRun).
	Closed
	// Fenced: a query found no entry and fenced the id (NotRun).
	Fenced
	// AnswerTooLarge: the answer was longer than the guard keeps (Done).
	AnswerTooLarge
	// Interrupted: the exchange with the target broke off (Unknown).
	Interrupted
	// Forgotten: the window has passed (Unknown).
	Forgotten
	// OtherIncarnation: the ticket names another incarnation (Unknown).
	OtherIncarnation
	// Ahead: the ticket names a generation that has not begun (Unknown).
	Ahead
	// Partial: only part of a hand-over has arrived (Unknown).
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

// Verdict is a guard's word about one request.
type Verdict struct {
	Status Status
	Reason Reason
	// Answer is the whole first answer. Only Done verdicts have one, and those
	// with reason Large do not. Its slices must not be changed.
	Answer Answer
	// Stamp is the guard's present stamp, for the next ticket.
	Stamp ticket.Stamp
}

// Field is one header field of an answer.
type Field struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// Answer is a target's answer. It is kept whole or not at all.
type Answer struct {
	Status int     `cbor:"status"`
	Fields []Field `cbor:"fields,omitempty"`
	Body   []byte  `cbor:"body,omitempty"`
}

// answerOverheadBytes is the memory that an answer takes beside its text, in bytes.
const answerOverheadBytes = 96

// Size returns the memory that a takes, in bytes.
func (a Answer) Size() int {
	n := answerOverheadBytes + len(a.Body)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
