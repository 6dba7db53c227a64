package rules

import "siskinswitch.example/siskin/pkg/clock"

// Limits of a document. All are inclusive.
const (
	// MaxDepth is the number of operations on the longest allowed chain of
	// calls, counting the first.
	MaxDepth = 7
	// MaxProblems is the number of problems that a check lists at most.
	MaxProblems = 1000
	// MaxRetryBudget bounds the extra attempts of a root request.
	MaxRetryBudget = 100
	// MaxNameBytes bounds the length of a name.
	MaxNameBytes = 63
	// MaxAuthorBytes bounds the length of an author, and of the owner of a
	// service.
	MaxAuthorBytes = 200
	// MaxReasonBytes bounds the length of a reason.
	MaxReasonBytes = 1000
	// MaxDeadline bounds the deadline of an operation.
	MaxDeadline = clock.Hour
	// MaxSlots bounds the requests that a target serves at the same time.
	MaxSlots = 10_000
	// MaxConns bounds the connections that a target accepts.
	MaxConns = 100_000
	// MaxPort is the highest TCP port.
	MaxPort = 65_535
	// Million is the denominator of Objective.Good, which counts parts per
	// million.
	Million = 1_000_000
)
