package flow

import (
	"siskinswitch.example/siskin/internal/state/allow"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// commonShare and vitalShare are the parts of the fleet's ratio of repeats
	// that all requests may use, and those of the highest importance beside it.
	// The rest is a margin for what daemons do not see of each other.
	commonShare = 0.3
	vitalShare  = 0.4
	// slackShare is the part of the fleet's slack that its daemons divide.
	slackShare = 0.4
	// budgetWindow is the time over which the fleet's slack counts.
	budgetWindow = 10 * clock.Second
)

// budget bounds the attempts beyond the first of each request that this daemon
// sends to one service. The daemons do not talk about it: each earns by its own
// requests and has its part of the slack. A call of a run that is itself a
// repeat is charged like a repeat, so that repeats above leave less below.
type budget struct {
	common *allow.Ratio
	vital  *allow.Ratio
}

func newBudget(ratio float64, slack, daemons int, now clock.Milli) *budget {
	part := func(share float64) *allow.Ratio {
		return allow.NewRatio(allow.RatioConfig{
			Share: int(ratio * share * 1000),
			Burst: burstOf(slack, daemons),
			Floor: floorOf(slack, daemons),
		}, now)
	}
	return &budget{
		common: part(commonShare),
		vital:  part(vitalShare),
	}
}

// earn records the first attempt of a request.
func (b *budget) earn() {
	b.common.Success()
	b.vital.Success()
}

// charge records an attempt that is a repeat because of one above.
func (b *budget) charge(now clock.Milli) { b.common.Charge(now) }

// take takes one attempt and reports whether there was one.
func (b *budget) take(now clock.Milli, importance rules.Importance) bool {
	if importance == rules.Vital && b.vital.Take(now) {
		return true
	}
	return b.common.Take(now)
}

// burstOf returns the attempts that one part of one of n daemons may save up.
func burstOf(slack, n int) int {
	return max(1, int(float64(slack)*slackShare/2)/max(n, 1))
}

// floorOf returns the time in which one part of one of n daemons gains an
// attempt without any request: together they gain their part of the slack in a
// window.
func floorOf(slack, n int) clock.Milli {
	return clock.Milli(2 * float64(budgetWindow) * float64(n) / max(float64(slack)*slackShare, 1))
}
