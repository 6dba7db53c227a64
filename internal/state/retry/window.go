package retry

import "siskinswitch.example/siskin/pkg/clock"

const (
	// windowSteps is the number of steps that a window is counted in.
	windowSteps = 10
	// paceShare is the part of a window's attempts, as a divisor, that one step
	// may take, so that they last for most of a window.
	paceShare = 5
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Span is the length of the windows.
	Span clock.Milli
	// PerRequest is the extra attempts for each request.
	PerRequest float64
	// Base is the extra attempts in a window beside them; it may be below one.
	Base float64
}

// Window bounds the extra attempts in any window of a length by the requests of
// that window or of the one before, whichever are more. So a burst of failures
// that lowers the demand does not lower the attempts that it needs for a while.
// It is not safe for concurrent use.
type Window struct {
	cfg   WindowConfig
	steps [2 * windowSteps]step
	// last is the number of the newest step.
	last int64
}

// step counts what happened in a part of a window.
type step struct {
	asked int
	taken int
}

// NewWindow returns an empty window.
func NewWindow(cfg WindowConfig, now clock.Milli) *Window {
	w := &Window{
		cfg: cfg,
	}
	w.last = w.number(now)
	return w
}

// RecordRequest records one request.
func (w *Window) RecordRequest(now clock.Milli) { w.at(now).asked++ }

// RecordExtra records an extra attempt that others have made already.
func (w *Window) RecordExtra(now clock.Milli) { w.at(now).taken++ }

// Take takes one extra attempt and reports whether there was one.
func (w *Window) Take(now clock.Milli) bool {
	present := w.at(now)
	if !w.permits() {
		return false
	}
	present.taken++
	return true
}

func (w *Window) number(now clock.Milli) int64 { return int64(now * windowSteps / w.cfg.Span) }

// at returns the step of the present and empties those that have passed
// without a call.
func (w *Window) at(now clock.Milli) *step {
	n := w.number(now)
	for i := max(w.last+1, n-int64(len(w.steps))+1); i <= n; i++ {
		w.steps[i%int64(len(w.steps))] = step{}
	}
	w.last = max(w.last, n)
	return w.back(0)
}

// back returns the step that lies i steps before the newest one.
func (w *Window) back(i int) *step {
	size := int64(len(w.steps))
	return &w.steps[((w.last-int64(i))%size+size)%size]
}

// permits reports whether one more attempt keeps the bound in each window that
// holds the present. Such a window begins at one of the last steps; its own
// requests are those known so far, and those of the window before it are whole.
func (w *Window) permits() bool {
	taken, asked := 0, 0
	for begin := range windowSteps {
		taken += w.back(begin).taken
		asked += w.back(begin).asked
		before := 0
		for i := begin + 1; i <= begin+windowSteps && i < len(w.steps); i++ {
			before += w.back(i).asked
		}
		most := w.cfg.PerRequest*float64(max(asked, before)) + w.cfg.Base
		if float64(taken+1) > most {
			return false
		}
		if begin == 0 && float64(taken) > most/paceShare {
			return false
		}
	}
	return true
}
