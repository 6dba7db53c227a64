package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/diag"
)

const dayHelp = `siskinctl day [--json] [--causes N] LOG...
  Sums up the log files of hosts on the users' platform: for each service and
  importance how much was served and why the rest was not, a picture of the
  failures by second, and what the daemons believed. Of served requests the logs
  hold one in 64, so their numbers are estimates. LOG may be - for the standard
  input.
  Exit code 0, or 1 if a file cannot be read, or 2 for wrong usage.

  Example: siskinctl day logs/*.log
`

const (
	// defaultCauses is the default number of causes shown for each group.
	defaultCauses = 4
	// maxBarLength is the length of the longest bar of the chart, in
	// characters.
	maxBarLength = 50
)

func dayCommand(env Env) *Command {
	var asJSON bool
	var causes int
	return &Command{
		Keyword: "day",
		Short:   "sum up a day's logs: who was refused and why",
		Help:    dayHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "report as JSON")
			f.IntVar(&causes, "causes", defaultCauses, "causes to show for each group")
		},
		Do: func(_ context.Context, args []string) error {
			return day(env, args, causes, asJSON)
		},
	}
}

// dayReport is the report of the day subcommand. Omitted counts the log lines
// that daemons left out, Unreadable those that could not be parsed.
type dayReport struct {
	Groups     []diag.Group  `json:"groups"`
	Seconds    []diag.Second `json:"seconds"`
	Events     []diag.Count  `json:"events"`
	Omitted    int           `json:"left_out"`
	Unreadable int           `json:"unread"`
}

func day(env Env, files []string, causes int, asJSON bool) error {
	d := diag.NewSummary()
	unreadable, err := env.readLogs("day", files, d.Add)
	if err != nil {
		return err
	}
	r := dayReport{
		Groups:     d.Groups(),
		Seconds:    d.Seconds(),
		Events:     d.Events(),
		Omitted:    d.Omitted,
		Unreadable: unreadable,
	}
	if err := env.report(asJSON, r, r.text(causes)); err != nil {
		return err
	}
	env.warnMissingLines(r.Omitted, r.Unreadable)
	return nil
}

func (r dayReport) text(causes int) string {
	var b strings.Builder
	for i := range r.Groups {
		g := &r.Groups[i]
		origin := "from callers"
		if g.IsCall {
			origin = "calls of targets"
		}
		fmt.Fprintf(&b, "%s, %s, %s: about %d served, %d not\n", nameOrNone(g.Service), nameOrNone(g.Importance), origin, g.Served, g.Failed)
		for n, c := range g.TopCauses() {
			if n == causes {
				fmt.Fprintf(&b, "  … and %s more\n", pluralize(len(g.Causes)-n, "cause"))
				break
			}
			fmt.Fprintf(&b, "  %7d  %s\n", c.N, c.Name)
		}
	}
	b.WriteString("\nfailures of callers' requests by second\n")
	b.WriteString(failureChart(r.Seconds))
	if len(r.Events) > 0 {
		b.WriteString("\nwhat the daemons noted\n")
	}
	for _, e := range r.Events {
		fmt.Fprintf(&b, "  %7d  %s\n", e.N, e.Name)
	}
	return b.String()
}

func nameOrNone(name string) string {
	if name == "" {
		return "none chosen"
	}
	return name
}

// failureChart draws a bar for each second, in proportion to the second with
// the most failures.
func failureChart(seconds []diag.Second) string {
	maxFailed := 1
	for _, s := range seconds {
		maxFailed = max(maxFailed, s.Failed)
	}
	var b strings.Builder
	for _, s := range seconds {
		fmt.Fprintf(&b, "  %s %6d %s\n", s.At.Format("15:04:05"), s.Failed, strings.Repeat("#", s.Failed*maxBarLength/maxFailed))
	}
	return b.String()
}
