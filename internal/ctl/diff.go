package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

const diffHelp = `siskinctl diff [--json] A B
  Says in words what document B changes over document A, which targets and
  operations each change touches, and warns of what may refuse or slow requests.
  Either may be - for the standard input.
  Exit code 0 without a warning, 1 with one or if a document is refused, 2 for
  wrong usage.

  Example: siskinctl diff published.json draft.json
`

// comparison is the report on the changes between two documents.
type comparison struct {
	From     uint64          `json:"from"`
	To       uint64          `json:"to"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	Changes  []config.Change `json:"changes"`
	Warnings int             `json:"warnings"`
}

func diffCommand(env Env) *Command {
	var asJSON bool
	return &Command{
		Keyword: "diff",
		Short:   "say in words what one document changes over another",
		Help:    diffHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "report as JSON")
		},
		Do: func(_ context.Context, args []string) error {
			return diff(env, args, asJSON)
		},
	}
}

func diff(env Env, files []string, asJSON bool) error {
	const op = "diff"
	if len(files) != 2 {
		return usageError(op, "two documents are needed, not %d", len(files))
	}
	a, err := env.parseDocument(op, files[0])
	if err != nil {
		return err
	}
	b, err := env.parseDocument(op, files[1])
	if err != nil {
		return err
	}
	report := compare(a, b)
	if err := env.report(asJSON, report, report.text(env)); err != nil {
		return err
	}
	if report.Warnings > 0 {
		return findingsError(op)
	}
	return nil
}

// compare reports what changes from a to b.
func compare(a, b *rules.Set) comparison {
	doc := b.Document()
	report := comparison{
		From:    a.Version(),
		To:      b.Version(),
		Author:  doc.Author,
		Reason:  doc.Reason,
		Changes: []config.Change{},
	}
	report.Changes = append(report.Changes, compareVersions(a, b)...)
	report.Changes = append(report.Changes, config.Changes(a, b)...)
	for _, change := range report.Changes {
		if change.Warn {
			report.Warnings++
		}
	}
	return report
}

// compareVersions reports why b, by its version and parent, is not the
// successor of a. It returns nil if b is the successor or the same document.
func compareVersions(a, b *rules.Set) []config.Change {
	change := config.Change{
		Path: "version",
	}
	switch {
	case a.Digest() == b.Digest():
		return nil
	case b.Version() == a.Version():
		change.Text = fmt.Sprintf("both have version %d, so the second must be sealed before it is published", a.Version())
	case b.Version() < a.Version():
		change.Text = fmt.Sprintf("daemons that hold version %d will not accept version %d", a.Version(), b.Version())
		change.Warn = true
	case b.Document().Parent != a.Digest():
		change.Text = "the second was not sealed as the successor of the first"
		change.Warn = true
	default:
		return nil
	}
	return []config.Change{change}
}

func (c comparison) text(env Env) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d to %d, by %s: %s\n", c.From, c.To, c.Author, c.Reason)
	for _, change := range c.Changes {
		if !change.Warn {
			writeChange(&b, "", change)
		}
	}
	for _, change := range c.Changes {
		if change.Warn {
			writeChange(&b, env.red("WARNING")+": ", change)
		}
	}
	fmt.Fprintf(&b, "%s, %s\n", pluralize(len(c.Changes)-c.Warnings, "change"), pluralize(c.Warnings, "warning"))
	return b.String()
}

func writeChange(b *strings.Builder, prefix string, change config.Change) {
	fmt.Fprintf(b, "  %s%s\n", prefix, change.Text)
	if len(change.Targets) > 1 {
		fmt.Fprintf(b, "    targets: %s\n", shortList(change.Targets))
	}
	if len(change.Operations) > 0 {
		fmt.Fprintf(b, "    operations: %s\n", shortList(change.Operations))
	}
}

// maxNamesShown is the number of names that a line of a report lists.
const maxNamesShown = 8

// shortList joins the first names and says how many more there are.
func shortList(names []string) string {
	if len(names) <= maxNamesShown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesShown], ", "), len(names)-maxNamesShown)
}

// pluralize returns n and the noun, in the plural unless n is 1.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
