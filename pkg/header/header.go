// Package header defines the names and values of the HTTP header fields that
// callers, daemons and targets exchange.
//
// Callers send IdempotencyKey, Ticket, Traceparent, Deadline and Importance, and
// read Outcome, Ticket, ID and RetryAfter. Targets receive Context, Deadline and
// Attempt, and must copy Context to each downstream call that they make through
// the daemon beside them. The other fields are used between daemons only: a daemon
// drops them if they come from a caller or a target.
package header

// Fields shared with callers.
const (
	// IdempotencyKey is the caller's id of a request. Retries repeat it.
	IdempotencyKey = "Idempotency-Key"
	// Traceparent is the W3C trace context. Its trace id is used as the root id.
	Traceparent = "Traceparent"
	// Ticket names the only target on which a request of a non-idempotent operation
	// may run.
	Ticket = "Siskin-Ticket"
	// Outcome states whether a request ran: see [Done], [NotRun], [Unknown].
	Outcome = "Siskin-Outcome"
	// ID is the id of the request that an answer belongs to.
	ID = "Siskin-Id"
	// Deadline is the time remaining for the request, in milliseconds.
	Deadline = "Siskin-Deadline"
	// Importance sets a lower importance for a request than that of its operation.
	Importance = "Siskin-Importance"
	// RetryAfter is the minimum wait before a retry, in seconds.
	RetryAfter = "Retry-After"
)

// Fields shared with targets.
const (
	// Context identifies the request to which a target's downstream calls belong.
	Context = "Siskin-Context"
	// Attempt is the id of an attempt. The target's answer must repeat it.
	Attempt = "Siskin-Attempt"
)

// CancelPath is the prefix of the path at which a target accepts the cancellation of
// an attempt: a DELETE request to this prefix followed by the id of the attempt.
const CancelPath = "/attempts/"

// Fields between daemons.
const (
	// Hop is the sealed description of an attempt for the receiving daemon.
	Hop = "Siskin-Hop"
	// Reply is the part that the receiving daemon adds to an answer.
	Reply = "Siskin-Reply"
)

// Values of [Outcome].
const (
	// Done: the request ran and the answer is complete.
	Done = "done"
	// NotRun: the request did not run and never will.
	NotRun = "not-run"
	// Unknown: the daemons that were queried do not know whether the request ran.
	Unknown = "unknown"
)
