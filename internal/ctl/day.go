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
	// causesUsual is the number of causes shown for each group.
	causesUsual = 4
	// barMost is the length of the longest bar of the picture.
	barMost = 50
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
			f.IntVar(&causes, "causes", causesUsual, "causes to show for each group")
		},
		Do: func(_ context.Context, args []string) error {
			return day(env, args, causes, asJSON)
		},
	}
}

// dayReport is the report on a day.
type dayReport struct {
	Groups  []diag.Group  `json:"groups"`
	Seconds []diag.Second `json:"seconds"`
	Events  []diag.Count  `json:"events"`
	LeftOut int           `json:"left_out"`
	Unread  int           `json:"unread"`
}

func day(env Env, files []string, causes int, asJSON bool) error {
	d := diag.NewSummary()
	unread, err := env.readLogs("day", files, d.Add)
	if err != nil {
		return err
	}
	r := dayReport{
		Groups:  d.Groups(),
		Seconds: d.Seconds(),
		Events:  d.Events(),
		LeftOut: d.Omitted,
		Unread:  unread,
	}
	if err := env.report(asJSON, r, r.text(causes)); err != nil {
		return err
	}
	env.noteMissing(r.LeftOut, r.Unread)
	return nil
}

func (r dayReport) text(causes int) string {
	var b strings.Builder
	for i := range r.Groups {
		g := &r.Groups[i]
		who := "from callers"
		if g.IsCall {
			who = "calls of targets"
		}
		fmt.Fprintf(&b, "%s, %s, %s: about %d served, %d not\n", named(g.Service), named(g.Importance), who, g.Served, g.Failed)
		for n, c := range g.TopCauses() {
			if n == causes {
				fmt.Fprintf(&b, "  … and %s more\n", count(len(g.Causes)-n, "cause"))
				break
			}
			fmt.Fprintf(&b, "  %7d  %s\n", c.N, c.Name)
		}
	}
	b.WriteString("\nfailures of callers' requests by second\n")
	b.WriteString(picture(r.Seconds))
	if len(r.Events) > 0 {
		b.WriteString("\nwhat the daemons noted\n")
	}
	for _, e := range r.Events {
		fmt.Fprintf(&b, "  %7d  %s\n", e.N, e.Name)
	}
	return b.String()
}

func named(what string) string {
	if what == "" {
		return "none chosen"
	}
	return what
}

// picture draws a bar for each second.
func picture(seconds []diag.Second) string {
	most := 1
	for _, s := range seconds {
		most = max(most, s.Failed)
	}
	var b strings.Builder
	for _, s := range seconds {
		fmt.Fprintf(&b, "  %s %6d %s\n", s.At.Format("15:04:05"), s.Failed, strings.Repeat("#", s.Failed*barMost/most))
	}
	return b.String()
}
