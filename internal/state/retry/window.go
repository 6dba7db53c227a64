package retry

import "siskinswitch.example/siskin/pkg/clock"

const (
	// stepsPerWindow is the resolution at which a window counts its requests
	// and extra attempts.
	stepsPerWindow = 10
	// paceDivisor limits one step to a fifth of a window's extra attempts, so
	// that they last for most of the window.
	paceDivisor = 5
)

// WindowConfig configures a [Window].
type WindowConfig struct {
	// Span is the length of a window.
	Span clock.Milli
	// PerRequest is the number of extra attempts allowed for each request.
	PerRequest float64
	// Base is the number of extra attempts allowed in a window in addition to
	// those earned by requests. It may be a fraction below one.
	Base float64
}

// Window limits the extra attempts in every time window of a fixed length in
// proportion to the requests of that window or of the window before it,
// whichever are more. A burst of failures that lowers the demand therefore
// does not at once lower the number of extra attempts that the callers need to
// recover. It is not safe for concurrent use.
type Window struct {
	cfg   WindowConfig
	steps [2 * stepsPerWindow]step
	// newest is the number of the newest step.
	newest int64
}

// step counts the requests and extra attempts of one part of a window.
type step struct {
	requests int
	extras   int
}

// NewWindow returns a window without requests.
func NewWindow(cfg WindowConfig, now clock.Milli) *Window {
	w := &Window{
		cfg: cfg,
	}
	w.newest = w.stepNumber(now)
	return w
}

// RecordRequest records one request.
func (w *Window) RecordRequest(now clock.Milli) { w.currentStep(now).requests++ }

// RecordExtra records an extra attempt that was made without asking this
// window. It counts against the limit.
func (w *Window) RecordExtra(now clock.Milli) { w.currentStep(now).extras++ }

// Take takes one extra attempt and reports whether one was available.
func (w *Window) Take(now clock.Milli) bool {
	current := w.currentStep(now)
	if !w.permits() {
		return false
	}
	current.extras++
	return true
}

func (w *Window) stepNumber(now clock.Milli) int64 { return int64(now * stepsPerWindow / w.cfg.Span) }

// currentStep returns the step that contains now. It clears the steps that
// began since the last call.
func (w *Window) currentStep(now clock.Milli) *step {
	n := w.stepNumber(now)
	for i := max(w.newest+1, n-int64(len(w.steps))+1); i <= n; i++ {
		w.steps[i%int64(len(w.steps))] = step{}
	}
	w.newest = max(w.newest, n)
	return w.stepBefore(0)
}

// stepBefore returns the step that lies i steps before the newest one.
func (w *Window) stepBefore(i int) *step {
	size := int64(len(w.steps))
	return &w.steps[((w.newest-int64(i))%size+size)%size]
}

// permits reports whether one more attempt keeps the limit in every window
// that contains the present. Such a window begins at one of the last
// stepsPerWindow steps. It is still open, so only its requests up to now
// count; the window before it is complete.
func (w *Window) permits() bool {
	extras, requests := 0, 0
	for begin := range stepsPerWindow {
		extras += w.stepBefore(begin).extras
		requests += w.stepBefore(begin).requests
		earlier := 0
		for i := begin + 1; i <= begin+stepsPerWindow && i < len(w.steps); i++ {
			earlier += w.stepBefore(i).requests
		}
		allowed := w.cfg.PerRequest*float64(max(requests, earlier)) + w.cfg.Base
		if float64(extras+1) > allowed {
			return false
		}
		if begin == 0 && float64(extras) > allowed/paceDivisor {
			return false
		}
	}
	return true
}
