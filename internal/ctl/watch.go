package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"
)

const watchHelp = `siskinctl watch [--every 2s] [--count N] [--json] [--wait 2s] FILE
siskinctl watch [--every 2s] [--count N] [--json] [--wait 2s] --from-daemon IP:PORT
  Repeats the status report until it is interrupted or was made --count times.
  On a terminal each report takes the place of the one before.
` + fleetHelp + `
  Exit code as for status, from the last report.

  Example: siskinctl watch --every 5s --count 12 published.json
`

// Bounds of the time between two reports.
const (
	defaultInterval = 2 * time.Second
	minInterval     = 500 * time.Millisecond
)

// escapeClear moves the cursor of a terminal to the top and clears the screen.
const escapeClear = "\x1b[H\x1b[2J"

// watchOptions holds the flags of the subcommand.
type watchOptions struct {
	fleetOptions
	interval time.Duration
	count    int
}

func (w *watchOptions) flags(f *flag.FlagSet) {
	w.fleetOptions.flags(f)
	f.DurationVar(&w.interval, "every", defaultInterval, "time between two reports")
	f.IntVar(&w.count, "count", 0, "number of reports, 0 until interrupted")
}

func watchCommand(env Env) *Command {
	var w watchOptions
	return &Command{
		Keyword: "watch",
		Short:   "repeat the status report",
		Help:    watchHelp,
		Env:     env,
		Flags:   w.flags,
		Do: func(ctx context.Context, args []string) error {
			return w.run(ctx, env, args)
		},
	}
}

func (w *watchOptions) run(ctx context.Context, env Env, args []string) error {
	const op = "watch"
	if w.interval < minInterval {
		return usageError(op, "--every must be at least %s", minInterval)
	}
	if w.count < 0 {
		return usageError(op, "--count must not be negative")
	}
	f, err := w.open(env, op, args)
	if err != nil {
		return err
	}
	for n := 1; ; n++ {
		report := collectStatus(ctx, f)
		if ctx.Err() != nil {
			return nil
		}
		if err := w.show(env, report); err != nil {
			return err
		}
		if n == w.count {
			return report.check(op)
		}
		select {
		case <-ctx.Done():
			return report.check(op)
		case <-time.After(w.interval):
		}
	}
}

// show writes a report. The text form has the current time above it.
func (w *watchOptions) show(env Env, report status) error {
	if w.asJSON {
		return env.report(true, report, "")
	}
	start := ""
	if env.OutTerm {
		start = escapeClear
	}
	_, err := io.WriteString(env.Out, start+fmt.Sprintf("%s\n%s\n", time.Now().Format(time.DateTime), report.text(env)))
	return err
}
