package rules

import "siskinswitch.example/siskin/pkg/clock"

// Limits of a document. Each bound is inclusive.
const (
	// MaxDepth is the number of operations on the longest chain of calls,
	// counting the first.
	MaxDepth = 7
	// MaxProblems is the number of problems after which a check stops listing.
	MaxProblems = 1000
	// MaxRetryBudget is the highest number of extra attempts for a root request.
	MaxRetryBudget = 100
	// MaxNameBytes is the length of the longest name, in bytes.
	MaxNameBytes = 63
	// MaxAuthorBytes is the length of the longest author, in bytes.
	MaxAuthorBytes = 200
	// MaxReasonBytes is the length of the longest reason, in bytes.
	MaxReasonBytes = 1000
	// MaxDeadline is the longest deadline of an operation.
	MaxDeadline = clock.Hour
	// MaxSlots is the highest number of requests that a target serves at once.
	MaxSlots = 10_000
	// MaxConns is the highest number of connections that a target accepts.
	MaxConns = 100_000
	// MaxPort is the highest TCP port.
	MaxPort = 65_535
	// Million is the number of parts in which an objective counts.
	Million = 1_000_000
)
