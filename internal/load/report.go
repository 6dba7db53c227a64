package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Bounds of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// ImportanceLevels is the number of importance levels.
const ImportanceLevels = int(rules.Vital) + 1

// Counts counts the calls of one importance in one phase.
type Counts struct {
	Offered int64 `json:"offered"`
	// Succeeded counts calls that got their complete answer in the end.
	Succeeded int64 `json:"whole"`
	// Tries counts exchanges, those for tickets aside.
	Tries int64 `json:"tries"`
}

// PhaseReport is what became of the calls that were meant to start in a phase.
type PhaseReport struct {
	Phase        Phase
	ByImportance [ImportanceLevels]Counts
	// Latency holds microseconds from the intended start to the whole answer.
	Latency *hdrhistogram.Histogram
	// Lag holds microseconds from the intended to the true start of calls.
	Lag *hdrhistogram.Histogram
	// Skipped counts calls that never started because too many were open.
	Skipped int64
	// Reasons counts tries that failed, by cause.
	Reasons map[string]int64
	// LastID holds the request id of the last such try that got an answer, by
	// cause.
	LastID map[string]string
}

// CallResult is what a caller was told about one request.
type CallResult struct {
	Key  string
	Path string
	// Tries counts the tries, and NotRun those that were answered not-run.
	Tries     int
	NotRun    int
	Fault     Fault
	Succeeded bool
}

// IsNotRun reports whether the caller was told for every try that the request
// did not run.
func (c CallResult) IsNotRun() bool { return c.Tries > 0 && c.NotRun == c.Tries }

// Report is the result of a run.
type Report struct {
	Phases  []PhaseReport
	Results []CallResult
}

// Total returns the sum over all importances.
func (r PhaseReport) Total() Counts {
	sum := Counts{}
	for _, c := range r.ByImportance {
		sum.Offered += c.Offered
		sum.Succeeded += c.Succeeded
		sum.Tries += c.Tries
	}
	return sum
}

// Percentile returns a latency of the phase.
func (r PhaseReport) Percentile(p float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(p)) * time.Microsecond
}

// LagP99 returns how late calls started, at the 99th percentile.
func (r PhaseReport) LagP99() time.Duration {
	return time.Duration(r.Lag.ValueAtQuantile(99)) * time.Microsecond
}

// Faults returns the number of calls with an answer that was not whole or not
// the request's own.
func (r Report) Faults() int {
	n := 0
	for _, c := range r.Results {
		if c.Fault != NoFault {
			n++
		}
	}
	return n
}

// recorder builds a report while calls end.
type recorder struct {
	mu     sync.Mutex
	report Report
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newRecorder(p Plan) *recorder {
	r := &recorder{}
	for _, phase := range p.Phases {
		r.report.Phases = append(r.report.Phases, PhaseReport{
			Phase:   phase,
			Latency: newHistogram(),
			Lag:     newHistogram(),
			Reasons: make(map[string]int64),
			LastID:  make(map[string]string),
		})
	}
	return r
}

// started records the start of a call.
func (r *recorder) started(phase int, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordClamped(r.report.Phases[phase].Lag, lag)
}

// skipped records a call that could not be started.
func (r *recorder) skipped(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Phases[phase].Skipped++
}

// ended records a call that is over.
func (r *recorder) ended(c *callState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := &r.report.Phases[c.arrival.Phase]
	cell := &phase.ByImportance[c.call.Importance]
	cell.Offered++
	cell.Tries += int64(c.tries)
	if c.succeeded {
		cell.Succeeded++
		recordClamped(phase.Latency, c.ended.Sub(c.due))
	}
	for _, f := range c.failed {
		phase.Reasons[f.reason]++
		if f.id != "" {
			phase.LastID[f.reason] = f.id
		}
	}
	r.report.Results = append(r.report.Results, CallResult{
		Key:       c.arrival.Key,
		Path:      c.call.Path,
		Tries:     c.tries,
		NotRun:    c.notRun,
		Fault:     c.fault,
		Succeeded: c.succeeded,
	})
}

// progress returns the counts so far of a phase.
func (r *recorder) progress(phase int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.Phases[phase].Total()
}

// recordClamped keeps d within the bounds of the histogram, so that no value is lost.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}
