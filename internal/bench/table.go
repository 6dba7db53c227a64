package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Table simulates the scenarios on both deployments under the systems and writes
// the results side by side.
func Table(w io.Writer, systems []System) error {
	var b strings.Builder
	overloadTable(&b, systems)
	latencyTable(&b, systems)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(tw, b.String()); err != nil {
		return err
	}
	return tw.Flush()
}

// overloadTable writes the results under overload.
func overloadTable(b *strings.Builder, systems []System) {
	b.WriteString("deployment\tscene\tsystem\tgoodput/s\tof optimum\tvital whole\thigh\tnormal\tspare\t" +
		"recovery ms\tp99 ms\tattempts/call\twasted\tviolations\tspills\n")
	for _, deployment := range []Deployment{Xaalis(), Armor()} {
		for _, scenario := range []Scenario{Crest(deployment), Overload(deployment, 200), Overload(deployment, 400), OneRegionSlow(deployment)} {
			for _, system := range systems {
				r := Run(scenario, system)
				atGates, atHops := r.Violations()
				fmt.Fprintf(b, "%s\t%s\t%s\t%.0f\t%.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%.3f\t%.3f\t%d\t%d\n",
					deployment.Name, scenario.Name, system.Name, r.Goodput(), r.OptimumShare(),
					r.SuccessRate(rules.Vital), r.SuccessRate(rules.High), r.SuccessRate(rules.Normal), r.SuccessRate(rules.Spare),
					r.Recovery(), r.Latency(99), r.Amplification(), r.WastedShare(), atGates+atHops, r.Spills())
			}
		}
	}
}

// latencyTable writes the latency with and without long requests, stragglers
// and a cold start.
func latencyTable(b *strings.Builder, systems []System) {
	b.WriteString("\ndeployment\tcause\tsystem\tp99 without\tp99 with\tratio\tp50 with\tgoodput ratio\tspills\n")
	for _, deployment := range []Deployment{Xaalis(), Armor()} {
		for _, system := range systems {
			compare(b, system, LongWork(deployment, 0), LongWork(deployment, FullCount(deployment)))
			compare(b, system, Stragglers(deployment, 0), Stragglers(deployment, 2))
			compare(b, system, MovingStragglers(deployment, 0), MovingStragglers(deployment, 2))
			compare(b, system, ColdStart(deployment, false), ColdStart(deployment, true))
		}
		compare(b, SingleLane(), LongWork(deployment, 0), LongWork(deployment, FullCount(deployment)))
	}
}

// compare writes one line that compares the latency of two scenarios, without
// and with a disturbance.
func compare(b *strings.Builder, system System, without, with Scenario) {
	baseline, disturbed := Run(without, system), Run(with, system)
	fmt.Fprintf(b, "%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%.1f\t%.3f\t%d\n",
		with.Deployment.Name, with.Name, system.Name, baseline.Latency(99), disturbed.Latency(99),
		disturbed.Latency(99)/baseline.Latency(99), disturbed.Latency(50), disturbed.Goodput()/baseline.Goodput(), disturbed.Spills())
}
