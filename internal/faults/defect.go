package faults

// Defect is a fault in the models, put there to show that the checker notices.
type Defect uint8

// Plants.
const (
	// NoDefect leaves the models as they are.
	NoDefect Defect = iota
	// NoFence lets a guard answer a query of an unseen id with not-run
	// without a fence.
	NoFence
	// ForgetRefusals lets a guard drop an entry when it refuses a held request.
	ForgetRefusals
	// ForgetWhenFull lets a guard drop its table when it is full.
	ForgetWhenFull
	// SendUnchecked lets a guard send a held request without asking its table
	// whether it may still start.
	SendUnchecked
	// ResendInterrupted lets a guard send a request again when the exchange with
	// the target broke off.
	ResendInterrupted
	// RefuseStarted lets a guard say not-run of a request that it has sent.
	RefuseStarted
	// AnyIncarnation lets a guard take tickets of other incarnations.
	AnyIncarnation
	// AnyGeneration lets a guard take tickets of any age.
	AnyGeneration
	// IgnoreUnmarked lets a guard ignore tickets once the rules no longer mark the
	// operation.
	IgnoreUnmarked
	// EmptyHandover lets a stopping daemon hand over a table without its
	// records.
	EmptyHandover
	// OpenHandover lets a stopping daemon go on starting requests after it has
	// handed its table over.
	OpenHandover
	// PartialHandover lets an heir take the first part of a hand-over for the
	// whole.
	PartialHandover
	// GuessNotRun lets an outbound daemon say not-run when nobody answers.
	GuessNotRun
	// RetryUnknown lets a caller take a new ticket after an unknown outcome.
	RetryUnknown
	// TruncateAnswers lets an outbound daemon relay the first half of an answer.
	TruncateAnswers
	// SwapAnswers lets an outbound daemon relay another request's answer.
	SwapAnswers
	// ForgetAnswers lets a guard say unknown of every request that it replays.
	ForgetAnswers
)
