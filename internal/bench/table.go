package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Table plays the scenes of both deployments under the systems and writes the
// figures side by side.
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

// overloadTable writes what completes whole under overload.
func overloadTable(b *strings.Builder, systems []System) {
	b.WriteString("deployment\tscene\tsystem\tgoodput/s\tof optimum\tvital whole\thigh\tnormal\tspare\t" +
		"recovery ms\tp99 ms\tattempts/call\twasted\tviolations\tspills\n")
	for _, plant := range []Deployment{Xaalis(), Armor()} {
		for _, scene := range []Scenario{Crest(plant), Overload(plant, 200), Overload(plant, 400), OneRegionSlow(plant)} {
			for _, system := range systems {
				r := Run(scene, system)
				atGates, atHops := r.Violations()
				fmt.Fprintf(b, "%s\t%s\t%s\t%.0f\t%.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%.3f\t%.3f\t%d\t%d\n",
					plant.Name, scene.Name, system.Name, r.Goodput(), r.OptimumShare(),
					r.SuccessRate(rules.Vital), r.SuccessRate(rules.High), r.SuccessRate(rules.Normal), r.SuccessRate(rules.Spare),
					r.Recovery(), r.Latency(99), r.Amplification(), r.WastedShare(), atGates+atHops, r.Spills())
			}
		}
	}
}

// latencyTable writes the latency beside long work and with stragglers.
func latencyTable(b *strings.Builder, systems []System) {
	b.WriteString("\ndeployment\tcause\tsystem\tp99 without\tp99 with\tratio\tp50 with\tgoodput ratio\tspills\n")
	for _, plant := range []Deployment{Xaalis(), Armor()} {
		for _, system := range systems {
			compare(b, system, LongWork(plant, 0), LongWork(plant, FullCount(plant)))
			compare(b, system, Stragglers(plant, 0), Stragglers(plant, 2))
			compare(b, system, MovingStragglers(plant, 0), MovingStragglers(plant, 2))
			compare(b, system, ColdStart(plant, false), ColdStart(plant, true))
		}
		compare(b, SingleLane(), LongWork(plant, 0), LongWork(plant, FullCount(plant)))
	}
}

// compare writes a line on the latency under a cause against that without it.
func compare(b *strings.Builder, system System, without, with Scenario) {
	calm, hit := Run(without, system), Run(with, system)
	fmt.Fprintf(b, "%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%.1f\t%.3f\t%d\n",
		with.Deployment.Name, with.Name, system.Name, calm.Latency(99), hit.Latency(99),
		hit.Latency(99)/calm.Latency(99), hit.Latency(50), hit.Goodput()/calm.Goodput(), hit.Spills())
}
