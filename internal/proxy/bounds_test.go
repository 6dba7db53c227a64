package proxy

import (
	"strconv"
	"testing"

	"siskinswitch.example/siskin/internal/coord/watch"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/flow"
	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a time limit that is longer than the promise that rests on it: the
// stages from the store's acknowledgement of a change, or from its return, to the
// last request under the old state must fit in the bounds of the platform (CONFIG,
// DRAIN).
func TestStagesFitInTheBounds(t *testing.T) {
	const (
		// tenth is the share of a bound that is left for the store's answer and for
		// a message between daemons.
		tenth = 10
		// stableWindow is the time after an outage of the store from which on a leave
		// counts as acknowledged.
		stableWindow = 3 * clock.Second
	)
	for _, bound := range []clock.Milli{1000, 2500, 4000} {
		timing := watch.TimingFor(bound).WithStable(stableWindow)
		accepts := bound * flow.LeavingPercent / 100
		tests := map[string]struct {
			stages []clock.Milli
			bound  clock.Milli
		}{
			"the store answers": {
				stages: []clock.Milli{timing.Batch},
			},
			"the store answers, and a target leaves": {
				stages: []clock.Milli{timing.Batch, accepts},
			},
			"a list was lost before the store returned": {
				stages: []clock.Milli{timing.MaxRepeat, tickEvery},
			},
			"the same, and the next one is refused once": {
				stages: []clock.Milli{timing.MaxRepeat, tickEvery, timing.MaxBackoff},
			},
			"the repeat of a late watch was lost before the store returned": {
				stages: []clock.Milli{timing.MinRepeat, timing.MaxRepeat, timing.MinBackoff},
			},
			"the answer to a watch was lost": {
				stages: []clock.Milli{timing.Batch, timing.MinRepeat, tickEvery},
			},
			"the same, and the answer to its repeat": {
				stages: []clock.Milli{timing.Batch, timing.MinRepeat, tickEvery, timing.MaxRepeat, tickEvery},
			},
			"the answer to a watch was lost, and a target leaves": {
				stages: []clock.Milli{timing.Batch, timing.MinRepeat, tickEvery, accepts},
			},
			"the answer to a watch was lost in a quiet hour": {
				stages: []clock.Milli{timing.MaxWatch, timing.Late, tickEvery},
				bound:  bound + stableWindow,
			},
			"the answer to its repeat was lost": {
				stages: []clock.Milli{timing.MinRepeat, timing.MaxRepeat, timing.MaxBackoff},
				bound:  bound + stableWindow,
			},
			"a record is missing after an outage": {
				stages: []clock.Milli{timing.MaxRepeat, tickEvery, timing.MaxBackoff, model.MissingGrace, tickEvery},
				bound:  bound + stableWindow,
			},
		}
		for name, tt := range tests {
			t.Run(strconv.Itoa(int(bound))+" ms, "+name, func(t *testing.T) {
				most := tt.bound
				if most == 0 {
					most = bound
				}
				most -= bound / tenth
				sum := clock.Milli(0)
				for _, stage := range tt.stages {
					sum += stage
				}
				if sum > most {
					t.Errorf("%v together take %d ms, want %d or less", tt.stages, sum, most)
				}
			})
		}
	}
}
