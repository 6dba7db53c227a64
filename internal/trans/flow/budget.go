package flow

import (
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// commonShare is the part of the fleet's retry ratio that all requests of
	// an outbound side may use. vitalShare is a further part for requests of the
	// highest importance only. inboundShare is the part of an inbound side,
	// which sees the requests of all callers. The rest is a safety margin,
	// because the daemons do not see each other's retries.
	commonShare  = 0.15
	vitalShare   = 0.2
	inboundShare = 0.45
	// slackShare is the part of the fleet's slack that is divided evenly among
	// its daemons.
	slackShare = 0.7
	// floorInterval is the time between two adjustments of the rank floor.
	floorInterval = 100 * clock.Millisecond
	// floorRise and floorFall are the steps of an adjustment, in ranks.
	floorRise = 0.08
	floorFall = 0.02
)

// retryBudget bounds the retries that this daemon sends to one service. The
// daemons do not coordinate: each earns retries by its own requests and has a
// fixed part of the slack. The call of a retried request is charged like a
// retry, so that retries at an upstream hop reduce those downstream.
type retryBudget struct {
	common rankedBudget
	vital  rankedBudget
}

// rank orders requests by importance, and within one importance by the hash of
// their root. It ranges from 0 to maxRank.
type rank float64

// maxRank is above the rank of every request.
const maxRank = rank(rules.Vital) + 1

func rankOf(importance rules.Importance, root uint64) rank {
	return rank(importance) + rank(root>>11)/(1<<53)
}

// rankedBudget is one part of a retry budget. While it is short it grants
// retries only to the requests of the highest rank. A chain of calls that meets
// many refusals needs many retries to succeed at all; spread evenly, too few
// retries would save no chain. All daemons rank by the same root, so they
// favour the same chains.
type rankedBudget struct {
	window *retry.Window
	// floor is the lowest rank that may take a retry.
	floor rank
	// lowestAsked is the lowest rank, not below the floor, that asked for a
	// retry since adjustedAt, the last adjustment of the floor. denied is set if
	// the window refused a retry since then.
	lowestAsked rank
	denied      bool
	adjustedAt  clock.Milli
}

func newRetryBudget(cfg *Config, daemons int, now clock.Milli) *retryBudget {
	base := float64(cfg.RetrySlack) * slackShare / 2 / float64(max(daemons, 1))
	return &retryBudget{
		common: newRankedBudget(cfg, commonShare, base, now),
		vital:  newRankedBudget(cfg, vitalShare, base, now),
	}
}

// newRankedBudget returns a budget of the share of the fleet's retry ratio plus
// base retries per window.
func newRankedBudget(cfg *Config, share, base float64, now clock.Milli) rankedBudget {
	return rankedBudget{
		window: retry.NewWindow(retry.WindowConfig{
			Span:       cfg.RetryWindow,
			PerRequest: cfg.RetryRatio * share,
			Base:       base,
		}, now),
		lowestAsked: maxRank,
		adjustedAt:  now,
	}
}

// earn records the first attempt of a request.
func (b *retryBudget) earn(now clock.Milli) {
	b.common.window.RecordRequest(now)
	b.vital.window.RecordRequest(now)
}

// charge records a first attempt that counts as a retry because the request was
// made by a retried one.
func (b *retryBudget) charge(now clock.Milli) { b.common.window.RecordExtra(now) }

// take takes one retry for a request and reports whether the budget allowed it.
func (b *retryBudget) take(now clock.Milli, importance rules.Importance, root uint64) bool {
	r := rankOf(importance, root)
	if importance == rules.Vital && b.vital.take(now, r) {
		return true
	}
	return b.common.take(now, r)
}

// take takes one retry for a request of rank r and reports whether the budget
// allowed it.
func (l *rankedBudget) take(now clock.Milli, r rank) bool {
	l.adjust(now)
	if r < l.floor {
		return false
	}
	l.lowestAsked = min(l.lowestAsked, r)
	if !l.window.Take(now) {
		l.denied = true
		return false
	}
	return true
}

// adjust raises the floor while the budget is short, and lowers it, in smaller
// steps, while it is not.
func (l *rankedBudget) adjust(now clock.Milli) {
	steps := (now - l.adjustedAt) / floorInterval
	if steps <= 0 {
		return
	}
	l.adjustedAt += steps * floorInterval
	if l.denied {
		l.floor = min(l.lowestAsked+floorRise, maxRank-floorRise)
	} else {
		l.floor = max(l.floor-floorFall*rank(steps), 0)
	}
	l.denied = false
	l.lowestAsked = maxRank
}
