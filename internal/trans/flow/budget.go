package flow

import (
	"siskinswitch.example/siskin/internal/state/retry"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// commonShare and vitalShare are the parts of the fleet's ratio of repeats
	// that all requests of an outbound side may use, and those of the highest
	// importance beside it. againShare is that of an inbound side, which sees
	// the requests of all callers. The rest is a margin for what daemons do not
	// see of each other.
	commonShare  = 0.15
	vitalShare   = 0.2
	inboundShare = 0.45
	// slackShare is the part of the fleet's slack that its daemons divide.
	slackShare = 0.7
	// floorInterval is the time between two changes of a lot's floor.
	floorInterval = 100 * clock.Millisecond
	// floorRise and floorFall are those changes, in ranks.
	floorRise = 0.08
	floorFall = 0.02
)

// retryBudget bounds the attempts beyond the first of each request that this daemon
// sends to one service. The daemons do not talk about it: each earns by its own
// requests and has its part of the slack. A call of a run that is itself a
// repeat is charged like a repeat, so that repeats above leave less below.
type retryBudget struct {
	common rankedBudget
	vital  rankedBudget
}

// rank orders requests: by importance, then by the hash of their root, from 0
// to one above the highest importance.
type rank float64

// maxRank is above every rank.
const maxRank = rank(rules.Vital) + 1

func rankOf(importance rules.Importance, root uint64) rank {
	return rank(importance) + rank(root>>11)/(1<<53)
}

// rankedBudget is one part of the budget. While it does not suffice it goes to the
// requests of the highest rank. A chain of calls that meets many refusals needs
// many repeats to succeed at all; given out evenly they would save none. All
// daemons rank by the same root, so they help the same whole requests.
type rankedBudget struct {
	window *retry.Window
	// floor is the least rank that may take.
	floor rank
	// lowestAsked is the lowest rank above the floor that asked since the floor
	// changed last, at changed; short says that one was denied since then.
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

// newRankedBudget returns a lot with a share of the fleet's ratio, and with slack
// attempts in a window.
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

// charge records an attempt that is a repeat because of one above.
func (b *retryBudget) charge(now clock.Milli) { b.common.window.RecordExtra(now) }

// take takes one attempt and reports whether there was one.
func (b *retryBudget) take(now clock.Milli, importance rules.Importance, root uint64) bool {
	r := rankOf(importance, root)
	if importance == rules.Vital && b.vital.take(now, r) {
		return true
	}
	return b.common.take(now, r)
}

// take takes one attempt for a request of rank r.
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

// adjust raises the floor while the lot runs short and lowers it, more slowly,
// while it does not.
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
