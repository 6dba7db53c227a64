package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// text returns the report as text.
func (s status) text(env Env) string {
	var b strings.Builder
	b.WriteString(s.coverage.text(env))
	if s.Answered == 0 {
		b.WriteString("Nothing is known about the fleet. Check that this host reaches the operators' addresses.\n")
		return b.String()
	}
	s.writeVersions(&b, env)
	s.writeGroups(&b)
	s.writeNotes(&b, env)
	return b.String()
}

func (s status) writeVersions(b *strings.Builder, env Env) {
	for n, row := range s.Versions {
		line := fmt.Sprintf("version %d (%s) in force at %s", row.Version, shortDigest(row.Digest), pluralize(row.Daemons, "daemon"))
		if n > 0 {
			line = env.red(line)
		}
		b.WriteString(line + "\n")
	}
}

// Limits of the text report; the JSON report is complete.
const (
	// maxGroupsShown is the number of groups above which groups without a
	// problem are counted instead of listed.
	maxGroupsShown = 40
	// maxNotesShown is the number of notes listed of each kind.
	maxNotesShown = 8
)

func (s status) writeGroups(b *strings.Builder) {
	b.WriteString("\n")
	w := newTable(b)
	writeRow(w, "SERVICE", "PLACE", "DAEMONS", "RUNNING", "QUEUED", "LIMIT", "RETRIES", "STATE")
	hidden := 0
	for _, g := range s.Groups {
		if len(s.Groups) > maxGroupsShown && g.state() == stateOK {
			hidden++
			continue
		}
		writeRow(w, g.Service, g.Place, fmt.Sprintf("%d/%d", g.Answered, g.Daemons),
			fmt.Sprint(g.Running), fmt.Sprint(g.Queued), fmt.Sprint(g.Limit), retryShare(g), g.state())
	}
	_ = w.Flush()
	if hidden > 0 {
		fmt.Fprintf(b, "%s more are ok.\n", pluralize(hidden, "group"))
	}
}

// stateOK is the state of a group without a problem.
const stateOK = "ok"

// retryShare returns the retries as a percentage of all attempts.
func retryShare(g groupRow) string {
	if g.Attempts == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(g.Retries)/float64(g.Attempts))
}

// state lists the problems of a group. It has no colour, since a tabwriter
// would count the escape sequences as text.
func (g groupRow) state() string {
	var words []string
	add := func(n int, word string) {
		if n > 0 {
			words = append(words, fmt.Sprintf("%d %s", n, word))
		}
	}
	add(g.Overload, "overloaded")
	add(g.Leaving, "leaving")
	add(g.Daemons-g.Answered, "silent")
	if len(words) == 0 {
		return stateOK
	}
	return strings.Join(words, ", ")
}

func (s status) writeNotes(b *strings.Builder, env Env) {
	b.WriteString("\n")
	for _, warn := range []bool{true, false} {
		seen := make(map[string]int)
		for _, n := range s.Notes {
			if n.Warn != warn {
				continue
			}
			seen[n.Kind]++
			if seen[n.Kind] <= maxNotesShown {
				b.WriteString(n.line(env))
			}
		}
		for _, kind := range sortedKeys(seen) {
			if more := seen[kind] - maxNotesShown; more > 0 {
				fmt.Fprintf(b, "and %d more of the kind %q; --json lists them all\n", more, kind)
			}
		}
	}
	if len(s.Notes) == 0 && len(s.Silent) == 0 {
		b.WriteString("Nothing to look at.\n")
	}
}

func (n note) line(env Env) string {
	label := "note"
	if n.Warn {
		label = env.red("LOOK")
	}
	if n.Name == "" {
		return fmt.Sprintf("%s: %s\n", label, n.Text)
	}
	return fmt.Sprintf("%s: %s (%s): %s\n", label, n.Name, n.Place, n.Text)
}

func newTable(b *strings.Builder) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(b, 0, 0, padding, ' ', 0)
}

// writeRow writes one line of a table.
func writeRow(w *tabwriter.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}
