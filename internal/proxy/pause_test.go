package proxy

import (
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"

	"siskinswitch.example/siskin/pkg/clock"
)

// Guards against a stalled process that can't be told from one that lost a request.
func TestPauseIsLogged(t *testing.T) {
	tests := map[string]struct {
		gap  clock.Milli
		want bool
	}{
		"the usual interval": {
			gap: tickEvery,
		},
		"a busy host": {
			gap: pausedAfter - 1,
		},
		"a pause": {
			gap:  pausedAfter,
			want: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log syncBuffer
			d, err := New(testSettings(), clock.System(), NewLogger(zapcore.AddSync(&log)))
			if err != nil {
				t.Fatal(err)
			}
			d.logPause(tt.gap)
			if got := strings.Contains(log.String(), `"event":302`); got != tt.want {
				t.Errorf("logged %t, want %t: %s", got, tt.want, log.String())
			}
		})
	}
}
