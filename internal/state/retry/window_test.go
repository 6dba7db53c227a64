package retry

import (
	"testing"

	"pgregory.net/rapid"

	"siskinswitch.example/siskin/pkg/clock"
)

// TestWindowKeepsItsBound draws phases of varying demand and checks the limit
// in every window, wherever it begins.
func TestWindowKeepsItsBound(t *testing.T) {
	const span = 10 * clock.Second
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{
			Span:       span,
			PerRequest: rapid.Float64Range(0.01, 0.3).Draw(t, "share"),
			Base:       rapid.Float64Range(0, 3).Draw(t, "slack"),
		}
		w := NewWindow(cfg, 0)
		var requests, extras []clock.Milli
		now := clock.Milli(0)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			every := clock.Milli(rapid.IntRange(5, 900).Draw(t, "every"))
			end := now + clock.Milli(rapid.IntRange(100, 8000).Draw(t, "length"))
			for ; now < end; now += every {
				w.RecordRequest(now)
				requests = append(requests, now)
				for range 3 {
					if w.Take(now) {
						extras = append(extras, now)
					}
				}
			}
		}
		// Requests are counted in whole steps, so the window of requests is
		// extended by one step on each side.
		const step = span / stepsPerWindow
		for _, begin := range extras {
			n := within(extras, begin, begin+span-step)
			most := max(within(requests, begin-step, begin+span+step), within(requests, begin-span-step, begin+step))
			if float64(n) > cfg.PerRequest*float64(most)+cfg.Base+1e-9 {
				t.Fatalf("window from %d: %d extra attempts for %d requests, %.2f per request, base %.1f", begin, n, most, cfg.PerRequest, cfg.Base)
			}
		}
	})
}

func within(list []clock.Milli, from, to clock.Milli) int {
	n := 0
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func TestWindowLastsThroughAFallOfDemand(t *testing.T) {
	w := NewWindow(WindowConfig{
		Span:       10 * clock.Second,
		PerRequest: 0.1,
	}, 0)
	now := clock.Milli(0)
	for ; now < 10*clock.Second; now += 10 {
		w.RecordRequest(now)
	}
	got := 0
	for end := now + 5*clock.Second; now < end; now += 10 {
		if w.Take(now) {
			got++
		}
	}
	if got < 40 || got > 100 {
		t.Errorf("%d extra attempts in the 5 s after 1,000 requests, want 40 to 100", got)
	}
	now += 20 * clock.Second
	if w.Take(now) {
		t.Error("an extra attempt was granted 20 s after the last request")
	}
}
