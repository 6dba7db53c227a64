package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/diag"
)

const traceHelp = `siskinctl trace [--json] ID LOG...
  Tells from the log files of hosts on the users' platform what became of a
  request: why it failed and where, then each line about it, about the requests
  that it was made for and about its calls, in the order in which they began.
  ID is the request's id as the caller sent it. LOG may be - for the standard
  input; name the logs of all hosts, since any may have run a part.
  Exit code 0 if it was served, 1 if it failed or no line tells of it, 2 for
  wrong usage.

  Example: siskinctl trace be2db6afbd672083 logs/*.log
`

func traceCommand(env Env) *Command {
	var asJSON bool
	return &Command{
		Keyword: "trace",
		Short:   "tell from logs why a request failed",
		Help:    traceHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "report as JSON")
		},
		Do: func(_ context.Context, args []string) error {
			return trace(env, args, asJSON)
		},
	}
}

func trace(env Env, args []string, asJSON bool) error {
	const op = "trace"
	if len(args) == 0 || args[0] == "" {
		return usageError(op, "no request id is named")
	}
	c := diag.NewCollector(args[0])
	omitted := 0
	unreadable, err := env.readLogs(op, args[1:], func(l diag.Line) {
		omitted += l.Omitted
		c.Add(l)
	})
	if err != nil {
		return err
	}
	e := c.Explain()
	if err := env.report(asJSON, e, traceText(env, e)); err != nil {
		return err
	}
	env.warnMissingLines(omitted, unreadable)
	if e.Verdict.Cause != diag.Served {
		return findingsError(op)
	}
	return nil
}

// warnMissingLines warns of log lines that daemons omitted and of lines that
// could not be parsed.
func (e Env) warnMissingLines(omitted, unreadable int) {
	if omitted > 0 {
		e.messagef("The daemons left out %s for want of room.\n", pluralize(omitted, "line"))
	}
	if unreadable > 0 {
		e.messagef("%s could not be read.\n", pluralize(unreadable, "line"))
	}
}

func traceText(env Env, e diag.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", e.ID, env.red(string(e.Verdict.Cause)))
	fmt.Fprintf(&b, "  %s\n", e.Verdict.Text)
	if e.Verdict.ID != e.ID {
		fmt.Fprintf(&b, "  in its call %s\n", e.Verdict.ID)
	}
	if e.Verdict.Host != "" {
		fmt.Fprintf(&b, "  on host %s\n", e.Verdict.Host)
	}
	if len(e.Lines) > 0 {
		b.WriteString("\n")
	}
	for i := range e.Lines {
		l := &e.Lines[i]
		fmt.Fprintf(&b, "%s  %s%s  %s\n", l.Began().Format("15:04:05.000"), strings.Repeat("  ", l.Depth), describeLine(l), shortID(e.ID, l.ID))
	}
	return b.String()
}

// describeLine describes a log line in one sentence.
func describeLine(l *diag.Line) string {
	if l.IsAnswer() {
		return fmt.Sprintf("%s answered %d after %d ms: %s, %s; route %s of version %d, %s of %s, tried %s, %d ms left",
			l.Host, l.Status, l.Took, l.End, l.Reason, l.Route, l.Version, l.Importance, l.Service,
			strings.Join(l.Tried, " "), l.Left)
	}
	subject := "attempt at"
	if l.IsQuery {
		subject = "question about"
	}
	return fmt.Sprintf("%s %s %s: %s, %s, status %d after %d ms; %d running of %d, threshold %s",
		l.Host, subject, l.Target, l.Outcome, l.Reason, l.Status, l.Took, l.Running, l.Limit, l.Threshold)
}

// shortID removes the request's id from the start of a line's id, which for a
// call continues the id of the request that made it.
func shortID(request, id string) string {
	if suffix, ok := strings.CutPrefix(id, request); ok && suffix != "" {
		return suffix
	}
	return id
}
