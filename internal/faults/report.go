package faults

import (
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/state/guard"
)

const reasonCount = guard.Partial + 1

// Faults counts the faults that happened. [Report.String] prints the names of
// the fields.
type Faults struct {
	Lost        int
	Doubled     int
	Slow        int
	Late        int
	Partitioned int
	Splits      int
	Pauses      int
	Crashes     int
	Zombies     int
	Stops       int
	Cut         int
	Shed        int
	Changes     int
	Naps        int
}

// Report holds the counts of one schedule or the sums over many.
type Report struct {
	Schedules int
	Messages  int
	// Runs counts the runs of requests at targets.
	Runs int
	// Done, NotRun and Unknown count the final outcomes of callers. Unknown is
	// indexed by reason; NoReason stands for callers that got no answer.
	Done    int
	NotRun  int
	Unknown [reasonCount]int
	// UnknownUnrun counts the requests in Unknown that never ran.
	UnknownUnrun [reasonCount]int
	// Careless counts the requests in Unknown whose callers send tickets that
	// were idle for long.
	Careless [reasonCount]int
	// Verdicts and Reasons count the verdicts of guards by status and by reason.
	Verdicts [guard.Mismatch + 1]int
	Reasons  [reasonCount]int
	// SuccessorVerdicts counts the verdicts that successors gave for a stopped
	// daemon.
	SuccessorVerdicts int
	// Handovers counts the planned stops after which each living successor has
	// the complete table.
	Handovers int
	// RejectedParts counts the handover parts that a successor did not accept.
	RejectedParts int
	Faults        Faults
	Violations    [violationCount]int
	Evidence      string
}

// Options modify the schedule of a seed.
type Options struct {
	// Defect is the deliberate bug to inject.
	Defect Defect
	// Calm leaves out all faults other than Defect.
	Calm bool
}

// Run simulates the schedule of a seed and returns its report.
func Run(seed uint64, opts Options) Report {
	w := newWorld(seed, opts)
	w.play()
	r := w.report
	r.Schedules = 1
	if w.cfg.careless {
		r.Careless = r.Unknown
	}
	r.Violations = w.checker.violations
	if w.checker.evidence != "" {
		r.Evidence = fmt.Sprintf("seed %d: %s", seed, w.checker.evidence)
	}
	return r
}

// countVerdict counts a guard's verdict.
func (w *world) countVerdict(v guard.Verdict) {
	w.report.Verdicts[v.Status]++
	w.report.Reasons[v.Reason]++
}

// Add adds the counts of another report. The first evidence of a violation is
// kept.
func (r *Report) Add(o Report) {
	r.Schedules += o.Schedules
	r.Messages += o.Messages
	r.Runs += o.Runs
	r.Done += o.Done
	r.NotRun += o.NotRun
	r.SuccessorVerdicts += o.SuccessorVerdicts
	r.Handovers += o.Handovers
	r.RejectedParts += o.RejectedParts
	for i := range reasonCount {
		r.Unknown[i] += o.Unknown[i]
		r.Careless[i] += o.Careless[i]
		r.UnknownUnrun[i] += o.UnknownUnrun[i]
		r.Reasons[i] += o.Reasons[i]
	}
	for i := range o.Verdicts {
		r.Verdicts[i] += o.Verdicts[i]
	}
	for i := range o.Violations {
		r.Violations[i] += o.Violations[i]
	}
	r.Faults.add(o.Faults)
	if r.Evidence == "" {
		r.Evidence = o.Evidence
	}
}

func (f *Faults) add(o Faults) {
	f.Lost += o.Lost
	f.Doubled += o.Doubled
	f.Slow += o.Slow
	f.Late += o.Late
	f.Partitioned += o.Partitioned
	f.Splits += o.Splits
	f.Pauses += o.Pauses
	f.Crashes += o.Crashes
	f.Zombies += o.Zombies
	f.Stops += o.Stops
	f.Cut += o.Cut
	f.Shed += o.Shed
	f.Changes += o.Changes
	f.Naps += o.Naps
}

// IsSound reports whether there was no violation.
func (r *Report) IsSound() bool { return r.Violations == [violationCount]int{} }

// String returns the report as a few lines for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d schedules, %d messages, %d runs\n", r.Schedules, r.Messages, r.Runs)
	fmt.Fprintf(&b, "faults: %+v\n", r.Faults)
	fmt.Fprintf(&b, "left with: done %d, not-run %d, unknown", r.Done, r.NotRun)
	for i, n := range r.Unknown {
		if n > 0 {
			fmt.Fprintf(&b, " %s %d (never ran %d, careless callers %d)", guard.Reason(i), n, r.UnknownUnrun[i], r.Careless[i])
		}
	}
	fmt.Fprintf(&b, "\nguards said: done %d, running %d, not-run %d, unknown %d; by reason", r.Verdicts[guard.Done],
		r.Verdicts[guard.Running], r.Verdicts[guard.NotRun], r.Verdicts[guard.Unknown])
	for i, n := range r.Reasons {
		fmt.Fprintf(&b, " %s %d", guard.Reason(i), n)
	}
	fmt.Fprintf(&b, "\nsuccessors answered %d times after %d handovers, %d parts not taken\n", r.SuccessorVerdicts, r.Handovers, r.RejectedParts)
	for i, n := range r.Violations {
		fmt.Fprintf(&b, "%s %d\n", Violation(i), n)
	}
	return b.String()
}
