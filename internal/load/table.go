package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"siskinswitch.example/siskin/internal/state/rules"
)

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintln(&b, "phase\timportance\toffered\twhole\tshare\ttries per call")
	for _, p := range r.Phases {
		for level := ImportanceLevels - 1; level >= 0; level-- {
			writeCounts(&b, p.Phase.Name, rules.Importance(level).String(), p.ByImportance[level])
		}
		writeCounts(&b, p.Phase.Name, "all", p.Total())
		fmt.Fprintf(&b, "%s\tlatency p50 / p99 / p99.9\t%v / %v / %v\n", p.Phase.Name, p.Percentile(50), p.Percentile(99), p.Percentile(99.9))
		fmt.Fprintf(&b, "%s\tfailed tries\t%s\n", p.Phase.Name, TopReasons(p.Reasons))
		for _, reason := range slices.Sorted(maps.Keys(p.LastID)) {
			fmt.Fprintf(&b, "%s\tlast id of %s\t%s\n", p.Phase.Name, reason, p.LastID[reason])
		}
		fmt.Fprintf(&b, "%s\tgenerator lag p99\t%v\n", p.Phase.Name, p.LagP99())
		fmt.Fprintf(&b, "%s\tcalls not started\t%d\n", p.Phase.Name, p.Skipped)
	}
	return Align(w, b.String())
}

// Align writes lines of tab-separated cells as aligned columns.
func Align(w io.Writer, lines string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(tw, lines); err != nil {
		return err
	}
	return tw.Flush()
}

func writeCounts(w *strings.Builder, phase, name string, c Counts) {
	if c.Offered == 0 {
		return
	}
	offered := float64(c.Offered)
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f%%\t%.2f\n", phase, name, c.Offered, c.Succeeded, 100*float64(c.Succeeded)/offered, float64(c.Tries)/offered)
}

// maxReasons bounds the reasons in one cell.
const maxReasons = 4

// TopReasons formats the most frequent reasons of failed tries with their
// counts, most frequent first.
func TopReasons(counts map[string]int64) string {
	if len(counts) == 0 {
		return "-"
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return int(counts[b] - counts[a])
		}
		return strings.Compare(a, b)
	})
	parts := make([]string, 0, maxReasons)
	for _, name := range names[:min(len(names), maxReasons)] {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
