package demo

import (
	"fmt"
	"io"
	"strings"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// WriteTable writes a text table for each deployment, with one column per
// system.
func (r Result) WriteTable(w io.Writer) error {
	for _, trials := range r.Deployments {
		t := table{
			trials: trials,
		}
		t.write()
		if err := load.Align(w, t.out.String()); err != nil {
			return err
		}
	}
	return nil
}

// table formats the figures of one deployment.
type table struct {
	trials []Trial
	out    strings.Builder
}

func (t *table) write() {
	first := t.trials[0]
	fmt.Fprintf(&t.out, "\n%s, calls %d levels deep\n", first.Deployment.Name, first.depth())
	head := make([]string, 0, 3+len(t.trials))
	head = append(head, "phase", "figure", "offered/s")
	for _, trial := range t.trials {
		head = append(head, trial.System.String())
	}
	t.line(head...)
	for phase := range first.Report.Phases {
		t.phase(phase)
	}
	t.row("run", "useful part of target work", "", Trial.isAnyMachineBound, func(trial Trial) string { return percent(trial.usefulShare()) })
	t.row("run", "cores used", "", neverInvalid, func(trial Trial) string { return fmt.Sprintf("%.1f", trial.Cores) })
	t.row("invariant", "at-most-once double runs", "", neverInvalid, func(trial Trial) string { return fmt.Sprint(trial.Verdict.DoubleRuns) })
	t.row("invariant", "false not-run", "", neverInvalid, func(trial Trial) string { return fmt.Sprint(trial.Verdict.FalseNotRun) })
	t.row("invariant", "crossed answers", "", neverInvalid, func(trial Trial) string { return fmt.Sprint(trial.Verdict.Crossed) })
	t.row("invariant", "partial answers", "", neverInvalid, func(trial Trial) string { return fmt.Sprint(trial.Verdict.Partial) })
	t.examples()
}

func (t *table) line(cells ...string) { fmt.Fprintln(&t.out, strings.Join(cells, "\t")) }

// row writes one figure with a cell per system. Cells for which isInvalid returns
// true are marked instead.
func (t *table) row(phase, name, offered string, isInvalid func(Trial) bool, figure func(Trial) string) {
	cells := []string{phase, name, offered}
	for _, trial := range t.trials {
		if isInvalid(trial) {
			cells = append(cells, "(machine)")
			continue
		}
		cells = append(cells, figure(trial))
	}
	t.line(cells...)
}

// phase writes the figures of the n-th phase.
func (t *table) phase(n int) {
	p := t.trials[0].Report.Phases[n]
	name := p.Phase.Name
	isInvalid := func(trial Trial) bool { return trial.IsMachineBound(n) }
	for level := rules.Vital; ; level-- {
		if p.ByImportance[level].Offered > 0 {
			t.row(name, level.String()+" whole", rate(p.ByImportance[level].Offered, p.Phase.Length), isInvalid, func(trial Trial) string {
				return goodput(trial.Report.Phases[n].ByImportance[level], p.Phase.Length)
			})
		}
		if level == rules.Spare {
			break
		}
	}
	t.row(name, "all whole", rate(p.Total().Offered, p.Phase.Length), isInvalid, func(trial Trial) string {
		return goodput(trial.Report.Phases[n].Total(), p.Phase.Length)
	})
	t.row(name, "latency p50 / p99", "", isInvalid, func(trial Trial) string {
		phase := trial.Report.Phases[n]
		return fmt.Sprintf("%d / %d ms", phase.Percentile(50).Milliseconds(), phase.Percentile(99).Milliseconds())
	})
	t.row(name, "attempts per call", "", isInvalid, func(trial Trial) string { return fmt.Sprintf("%.2f", trial.arrivalsPerCall(n)) })
	t.row(name, "failed tries", "", isInvalid, func(trial Trial) string { return load.TopReasons(trial.Report.Phases[n].Reasons) })
	t.row(name, "generator lag p99", "", neverInvalid, func(trial Trial) string {
		return fmt.Sprintf("%.1f ms", trial.Report.Phases[n].LagP99().Seconds()*1000)
	})
}

// neverInvalid is for rows that do not depend on the speed of the machine.
func neverInvalid(Trial) bool { return false }

func (t *table) examples() {
	for _, trial := range t.trials {
		if trial.System != Siskin {
			continue
		}
		for _, example := range trial.Verdict.Examples {
			t.line("broken", example)
		}
	}
}

func goodput(c load.Counts, length clock.Milli) string {
	if c.Offered == 0 {
		return "-"
	}
	return fmt.Sprintf("%s  %s/s", percent(float64(c.Succeeded)/float64(c.Offered)), rate(c.Succeeded, length))
}

func rate(n int64, length clock.Milli) string {
	return fmt.Sprintf("%.0f", float64(n)*float64(clock.Second)/float64(length))
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
