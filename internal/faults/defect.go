package faults

// Defect is a deliberate bug in the models that the checker must detect.
type Defect uint8

// Defects.
const (
	// NoDefect leaves the models as they are.
	NoDefect Defect = iota
	// NoFence lets a guard answer a query of an unseen id with not-run without
	// setting a fence, so that the request may still arrive and run.
	NoFence
	// ForgetRefusals lets a guard drop its table, and so the tombstone, when it
	// refuses a held request.
	ForgetRefusals
	// ForgetWhenFull lets a guard drop its table when the table is full.
	ForgetWhenFull
	// SendUnchecked lets a guard send a held request without asking its table
	// whether it may still start.
	SendUnchecked
	// ResendInterrupted lets a guard send a request again after the exchange
	// with the target was interrupted.
	ResendInterrupted
	// RefuseStarted lets a guard report not-run for a request that it has sent.
	RefuseStarted
	// AnyIncarnation lets a guard accept tickets of other incarnations.
	AnyIncarnation
	// AnyGeneration lets a guard accept tickets of any generation, however old.
	AnyGeneration
	// IgnoreUnmarked lets a guard ignore tickets while the rules do not mark the
	// operation as non-idempotent.
	IgnoreUnmarked
	// EmptyHandover lets a stopping daemon hand over a table without its
	// records.
	EmptyHandover
	// OpenHandover lets a stopping daemon hand over its table without closing
	// it, and so go on starting requests after the handover.
	OpenHandover
	// PartialHandover lets a successor take the first part of a handover for
	// the complete table.
	PartialHandover
	// GuessNotRun lets an outbound daemon report not-run when no daemon answers.
	GuessNotRun
	// RetryUnknown lets a caller retry with a new ticket after an unknown
	// outcome.
	RetryUnknown
	// TruncateAnswers lets an outbound daemon relay only the first half of an
	// answer.
	TruncateAnswers
	// SwapAnswers lets an outbound daemon relay the answer of another request.
	SwapAnswers
	// ForgetAnswers lets a guard report an unknown outcome where it should
	// replay the stored answer.
	ForgetAnswers
)
