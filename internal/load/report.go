package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Range of the histograms in microseconds, and their precision.
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
	// Succeeded counts calls that got a complete answer, after any number of
	// tries.
	Succeeded int64 `json:"whole"`
	// Tries counts exchanges except those that only fetched a ticket.
	Tries int64 `json:"tries"`
}

// PhaseReport holds the results of the calls that were due in a phase.
type PhaseReport struct {
	Phase        Phase
	ByImportance [ImportanceLevels]Counts
	// Latency holds microseconds from the intended start to the complete answer.
	Latency *hdrhistogram.Histogram
	// Lag holds microseconds from the intended to the actual start of calls.
	Lag *hdrhistogram.Histogram
	// Skipped counts calls that never started because too many were in flight.
	Skipped int64
	// Reasons counts failed tries by reason.
	Reasons map[string]int64
	// LastID holds, by reason, the request id of the last failed try that got
	// an answer.
	LastID map[string]string
}

// CallResult is the result of one call as its caller saw it.
type CallResult struct {
	Key  string
	Path string
	// Tries counts the tries, and NotRun those answered with the outcome
	// not-run.
	Tries     int
	NotRun    int
	Fault     Fault
	Succeeded bool
}

// IsNotRun reports whether there was a try and every try was answered with the
// outcome not-run.
func (c CallResult) IsNotRun() bool { return c.Tries > 0 && c.NotRun == c.Tries }

// Report is the result of a run.
type Report struct {
	Phases  []PhaseReport
	Results []CallResult
}

// Total returns the sum over all importance levels.
func (r PhaseReport) Total() Counts {
	sum := Counts{}
	for _, c := range r.ByImportance {
		sum.Offered += c.Offered
		sum.Succeeded += c.Succeeded
		sum.Tries += c.Tries
	}
	return sum
}

// Percentile returns the p-th percentile of the latency, for p from 0 to 100.
func (r PhaseReport) Percentile(p float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(p)) * time.Microsecond
}

// LagP99 returns the 99th percentile of the lag.
func (r PhaseReport) LagP99() time.Duration {
	return time.Duration(r.Lag.ValueAtQuantile(99)) * time.Microsecond
}

// Faults returns the number of calls that got an answer that was incomplete or
// belonged to another request.
func (r Report) Faults() int {
	n := 0
	for _, c := range r.Results {
		if c.Fault != NoFault {
			n++
		}
	}
	return n
}

// recorder builds a report as calls end.
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

// started records the lag of a call that starts.
func (r *recorder) started(phase int, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordClamped(r.report.Phases[phase].Lag, lag)
}

// skipped records a call that could not start.
func (r *recorder) skipped(phase int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Phases[phase].Skipped++
}

// ended records the result of a call.
func (r *recorder) ended(c *callState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := &r.report.Phases[c.arrival.Phase]
	counts := &phase.ByImportance[c.call.Importance]
	counts.Offered++
	counts.Tries += int64(c.tries)
	if c.succeeded {
		counts.Succeeded++
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

// progress returns the counts of a phase so far.
func (r *recorder) progress(phase int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.Phases[phase].Total()
}

// recordClamped records d. Values outside the histogram's range are recorded at
// its ends because the histogram would reject them.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}
