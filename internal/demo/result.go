package demo

import (
	"fmt"
	"time"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/pkg/clock"
)

// Totals holds the sums of the counters of a deployment's targets over a period.
type Totals struct {
	Arrivals  int64 `json:"arrivals"`
	Completed int64 `json:"completed"`
	Refused   int64 `json:"refused"`
	Cancelled int64 `json:"cancelled"`
	Failed    int64 `json:"failed"`
	Crossed   int64 `json:"crossed"`
}

func (t Totals) sub(before Totals) Totals {
	return Totals{
		Arrivals:  t.Arrivals - before.Arrivals,
		Completed: t.Completed - before.Completed,
		Refused:   t.Refused - before.Refused,
		Cancelled: t.Cancelled - before.Cancelled,
		Failed:    t.Failed - before.Failed,
		Crossed:   t.Crossed - before.Crossed,
	}
}

// Trial is the result of one deployment under one system.
type Trial struct {
	Deployment Deployment
	System     System
	Calls      []load.Call
	Report     load.Report
	// TargetWork holds the work of the targets by phase.
	TargetWork []Totals
	Verdict    Verdict
	// Cores is the mean number of processor cores that the process used under
	// load.
	Cores float64
}

// lagDivisor divides the shortest deadline of the calls to give the maximum lag
// of the generator at the 99th percentile. With more lag the machine counts as
// too slow.
const lagDivisor = 10

func (t Trial) maxLag() time.Duration {
	shortest := clock.Hour
	for _, c := range t.Calls {
		shortest = min(shortest, c.Deadline)
	}
	return (shortest / lagDivisor).Duration()
}

// IsMachineBound reports whether a lack of machine capacity determined the
// figures of a phase: the generator lagged, skipped calls, or could not connect.
// On loopback, failed connections mean that file descriptors ran out.
func (t Trial) IsMachineBound(phase int) bool {
	p := t.Report.Phases[phase]
	return p.Skipped > 0 || p.LagP99() > t.maxLag() || p.Reasons[load.ReasonDial] > 0
}

// isAnyMachineBound reports whether [Trial.IsMachineBound] holds for any phase.
func (t Trial) isAnyMachineBound() bool {
	for i := range t.Report.Phases {
		if t.IsMachineBound(i) {
			return true
		}
	}
	return false
}

// arrivalsPerCall returns the number of requests that arrived at targets per
// call of a caller.
func (t Trial) arrivalsPerCall(phase int) float64 {
	offered := t.Report.Phases[phase].Total().Offered
	if offered == 0 || phase >= len(t.TargetWork) {
		return 0
	}
	return float64(t.TargetWork[phase].Arrivals) / float64(offered)
}

// usefulShare returns the fraction of the targets' work in the whole run that
// contributed to complete answers for callers.
func (t Trial) usefulShare() float64 {
	done := int64(0)
	for _, w := range t.TargetWork {
		done += w.Completed + w.Cancelled + w.Failed
	}
	sizes := make(map[string]int)
	for _, c := range t.Calls {
		sizes[c.Path] = c.Tree.Size()
	}
	needed := 0
	for _, c := range t.Report.Results {
		if c.Succeeded {
			needed += sizes[c.Path]
		}
	}
	if done == 0 {
		return 0
	}
	return float64(needed) / float64(done)
}

// depth returns the number of levels of the deepest call tree.
func (t Trial) depth() int {
	deepest := 0
	for _, c := range t.Calls {
		deepest = max(deepest, c.Tree.Depth())
	}
	return deepest
}

// Result is the result of a run.
type Result struct {
	Length clock.Milli
	Scale  float64
	Seed   uint64
	// Deployments holds, for each deployment, its trials by system.
	Deployments [][]Trial
}

// InvariantsHold reports whether siskinswitch kept all invariants. The baselines
// do not promise any.
func (r Result) InvariantsHold() bool {
	for _, trials := range r.Deployments {
		for _, t := range trials {
			if t.System == Siskin && !t.Verdict.InvariantsHold() {
				return false
			}
		}
	}
	return true
}

// Warnings describes the phases whose figures are invalid because the machine,
// which has the given number of cores, was too slow.
func (r Result) Warnings(cores int) []string {
	var lines []string
	for _, trials := range r.Deployments {
		for _, t := range trials {
			lines = append(lines, t.warnings(cores)...)
		}
	}
	return lines
}

func (t Trial) warnings(cores int) []string {
	var lines []string
	for i, p := range t.Report.Phases {
		if !t.IsMachineBound(i) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s under %s, %s: the machine is the bottleneck (calls started up to %v late at p99, %d not at all, %d failed dials, %.1f of %d cores used); the figures are left out",
			t.Deployment.Name, t.System, p.Phase.Name, p.LagP99(), p.Skipped, p.Reasons[load.ReasonDial], t.Cores, cores))
	}
	return lines
}
