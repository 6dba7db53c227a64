package watch

import (
	"strconv"
	"testing"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a busy loop of reads where settings give a bound of a few
// milliseconds.
func TestTimingMakesNoBusyLoop(t *testing.T) {
	const least = 10 * clock.Millisecond
	for _, bound := range []clock.Milli{-1, 0, 1, 49, 500, 2500} {
		t.Run(strconv.Itoa(int(bound)), func(t *testing.T) {
			timing := TimingFor(bound)
			for _, d := range []clock.Milli{timing.Batch, timing.MinBackoff, timing.MaxBackoff, timing.MinRepeat, timing.MaxRepeat, timing.Late} {
				if d < least {
					t.Errorf("%+v has a time below %d ms", timing, least)
				}
			}
		})
	}
}
