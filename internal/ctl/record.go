package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const recordHelp = `siskinctl record [--from T] [--to T] [--json] [--wait 2s] FILE
siskinctl record [--from T] [--to T] [--json] [--wait 2s] --from-daemon IP:PORT
  Tells which configuration was in force where and when, by whom and why, merged
  from all daemons, and names what is not known: daemons that are missing and
  times before a daemon started. T is an instant such as 2026-12-04T07:00:00Z,
  or a time before the present such as 8h. The default is the last 24h.
` + fleetHelp + `
  Exit code 0 if the record is whole, 1 if it has gaps or contradictions or a
  daemon is missing, 2 for wrong usage.

  Example: siskinctl record --from 8h published.json
`

// maxSpreadTime is the time within which a version should reach all daemons.
// For a version that took longer, the text report lists each place.
const maxSpreadTime = 5 * clock.Second

// maxGapsShown is the number of lines on gaps in the text report, and of names
// in such a line.
const maxGapsShown = 20

// defaultRange is how far back a record goes by default.
const defaultRange = 24 * time.Hour

func recordCommand(env Env) *Command {
	var from fleetOptions
	var start, end string
	return &Command{
		Keyword: "record",
		Short:   "tell what was in force where and when",
		Help:    recordHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			from.flags(f)
			f.StringVar(&start, "from", defaultRange.String(), "start of the record")
			f.StringVar(&end, "to", "0s", "end of the record")
		},
		Do: func(ctx context.Context, args []string) error {
			const op = "record"
			period, err := parseTimeRange(op, time.Now(), start, end)
			if err != nil {
				return err
			}
			f, err := from.open(env, op, args)
			if err != nil {
				return err
			}
			report := collectHistory(ctx, f, period)
			if err := env.report(from.asJSON, report, report.text(env)); err != nil {
				return err
			}
			return report.check(op)
		},
	}
}

// timeRange is a range of wall-clock time. It includes From and excludes To.
type timeRange struct {
	From clock.Milli `json:"from"`
	To   clock.Milli `json:"to"`
}

// parseTimeRange parses the flags --from and --to.
func parseTimeRange(op string, now time.Time, start, end string) (timeRange, error) {
	from, err := parseTime(now, start)
	if err != nil {
		return timeRange{}, usageError(op, "--from: %w", err)
	}
	to, err := parseTime(now, end)
	if err != nil {
		return timeRange{}, usageError(op, "--to: %w", err)
	}
	if !from.Before(to) {
		return timeRange{}, usageError(op, "--from must be before --to")
	}
	return timeRange{
		From: milli(from),
		To:   milli(to),
	}, nil
}

// parseTime parses an RFC 3339 time, or a duration before now.
func parseTime(now time.Time, text string) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fmt.Errorf("%.40q is neither like 2026-12-04T07:00:00Z nor like 8h", text)
	}
	return at, nil
}

// history is the report on the configurations in force over a time range.
type history struct {
	coverage
	timeRange
	Versions []versionHistory `json:"versions"`
	Gaps     []gap            `json:"gaps"`
	// Contradictions lists facts that cannot both be true, such as a daemon
	// that went back to an older version. They should never occur.
	Contradictions []string `json:"faults"`
}

// versionHistory says where and when one configuration was in force.
type versionHistory struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// FirstStart and LastStart are when the first and the last daemon applied
	// the configuration, by the clocks of their hosts. FirstDaemon is the
	// first daemon.
	FirstStart  clock.Milli `json:"first"`
	FirstDaemon string      `json:"firstat"`
	LastStart   clock.Milli `json:"all"`
	// End is when the last daemon replaced the configuration, 0 while some
	// daemon still has it in force.
	End     clock.Milli    `json:"until"`
	Daemons int            `json:"daemons"`
	Places  []placeHistory `json:"places"`
}

// placeHistory says when one configuration was in force at one place.
type placeHistory struct {
	Place      string      `json:"place"`
	FirstStart clock.Milli `json:"first"`
	LastStart  clock.Milli `json:"all"`
	End        clock.Milli `json:"until"`
	Daemons    int         `json:"daemons"`
}

// withPeriod returns p with the period of one more daemon at the place.
func (p placeHistory) withPeriod(period admin.ConfigPeriod) placeHistory {
	if p.Daemons == 0 {
		p.FirstStart = period.Start
		p.End = period.End
	}
	p.FirstStart = min(p.FirstStart, period.Start)
	p.LastStart = max(p.LastStart, period.Start)
	p.End = laterEnd(p.End, period.End)
	p.Daemons++
	return p
}

// laterEnd returns the later of two ends, where 0 means that the configuration
// is still in force.
func laterEnd(a, b clock.Milli) clock.Milli {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// gap is a time range that a daemon's record does not cover.
type gap struct {
	Name  string `json:"name"`
	Place string `json:"place"`
	timeRange
	Cause string `json:"cause"`
}

// collectHistory queries all daemons and merges their records of the period.
func collectHistory(ctx context.Context, f *fleet, period timeRange) history {
	h := history{
		timeRange:      period,
		Versions:       make([]versionHistory, 0),
		Gaps:           make([]gap, 0),
		Contradictions: make([]string, 0),
	}
	h.coverage = queryAll(ctx, f, admin.PathRecord, func(t *rules.Target, r admin.ConfigHistory) {
		h.addDaemon(t, r)
	})
	for _, missing := range h.Silent {
		h.Gaps = append(h.Gaps, gap{
			Name:      missing.Name,
			Place:     missing.Place,
			timeRange: period,
			Cause:     missing.Cause,
		})
	}
	h.finish()
	return h
}

// addDaemon merges the record of one daemon. It expects the periods of a
// record in the order of time.
func (h *history) addDaemon(t *rules.Target, r admin.ConfigHistory) {
	cause := "remembers nothing before"
	if r.Started > h.From {
		cause = "started " + formatTimestamp(r.Started)
	}
	coveredUntil := h.From
	last := uint64(0)
	for _, period := range r.Periods {
		if period.Version <= last {
			h.Contradictions = append(h.Contradictions, fmt.Sprintf("%s went from version %d to %d", t.Name, last, period.Version))
		}
		last = period.Version
		if period.End != 0 && period.End <= h.From || period.Start >= h.To {
			continue
		}
		h.addGap(t, coveredUntil, period.Start, cause)
		cause = "nothing in force"
		coveredUntil = period.End
		h.addPeriod(t, period)
	}
	if coveredUntil > 0 {
		h.addGap(t, coveredUntil, h.To, cause)
	}
}

// addGap adds the part of a gap that lies within the time range of the report.
func (h *history) addGap(t *rules.Target, from, to clock.Milli, cause string) {
	from, to = max(from, h.From), min(to, h.To)
	if from >= to {
		return
	}
	h.Gaps = append(h.Gaps, gap{
		Name:  t.Name,
		Place: t.Place,
		timeRange: timeRange{
			From: from,
			To:   to,
		},
		Cause: cause,
	})
}

// addPeriod adds one period of one daemon to the configuration in force then.
func (h *history) addPeriod(t *rules.Target, period admin.ConfigPeriod) {
	index := slices.IndexFunc(h.Versions, func(v versionHistory) bool { return v.Version == period.Version && v.Digest == period.Digest })
	if index < 0 {
		index = len(h.Versions)
		h.Versions = append(h.Versions, versionHistory{
			Version:     period.Version,
			Digest:      period.Digest,
			Author:      period.Author,
			Reason:      period.Reason,
			FirstStart:  period.Start,
			FirstDaemon: t.Name,
			End:         period.End,
		})
	}
	v := &h.Versions[index]
	if period.Start < v.FirstStart {
		v.FirstStart = period.Start
		v.FirstDaemon = t.Name
	}
	v.LastStart = max(v.LastStart, period.Start)
	v.End = laterEnd(v.End, period.End)
	v.Daemons++
	placeIndex := slices.IndexFunc(v.Places, func(p placeHistory) bool { return p.Place == t.Place })
	if placeIndex < 0 {
		placeIndex = len(v.Places)
		v.Places = append(v.Places, placeHistory{
			Place: t.Place,
		})
	}
	v.Places[placeIndex] = v.Places[placeIndex].withPeriod(period)
}

// finish sorts the report and looks for version numbers that two documents
// share.
func (h *history) finish() {
	slices.SortFunc(h.Versions, func(a, b versionHistory) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Digest, b.Digest))
	})
	slices.SortFunc(h.Gaps, func(a, b gap) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.From, b.From))
	})
	for _, v := range h.Versions {
		slices.SortFunc(v.Places, func(a, b placeHistory) int { return strings.Compare(a.Place, b.Place) })
	}
	for n := 1; n < len(h.Versions); n++ {
		a, b := h.Versions[n-1], h.Versions[n]
		if a.Version == b.Version {
			h.Contradictions = append(h.Contradictions, fmt.Sprintf("version %d stands for two documents, %s and %s", a.Version, shortDigest(a.Digest), shortDigest(b.Digest)))
		}
	}
	slices.Sort(h.Contradictions)
}

func (h history) check(op string) error {
	if err := h.coverage.check(op); err != nil {
		return err
	}
	if len(h.Gaps)+len(h.Contradictions) > 0 {
		return findingsError(op)
	}
	return nil
}

func (h history) text(env Env) string {
	var b strings.Builder
	b.WriteString(h.coverage.text(env))
	fmt.Fprintf(&b, "record from %s to %s, by the clocks of the hosts\n\n", formatTimestamp(h.From), formatTimestamp(h.To))
	for _, v := range h.Versions {
		b.WriteString(v.text())
	}
	for _, contradiction := range h.Contradictions {
		fmt.Fprintf(&b, "%s: %s\n", env.red("CONTRADICTION"), contradiction)
	}
	if len(h.Gaps) == 0 {
		b.WriteString("No gaps.\n")
	}
	lines := h.gapLines()
	for _, line := range lines[:min(len(lines), maxGapsShown)] {
		fmt.Fprintf(&b, "gap: %s\n", line)
	}
	if len(lines) > maxGapsShown {
		fmt.Fprintf(&b, "and %s; --json lists them all\n", pluralize(len(lines)-maxGapsShown, "more gap"))
	}
	return b.String()
}

// gapLines returns the lines of the text report on gaps. Gaps with the same
// times and cause share a line.
func (h history) gapLines() []string {
	names := make(map[string][]string)
	var order []string
	for _, g := range h.Gaps {
		words := fmt.Sprintf("%s to %s: %s", formatTimestamp(g.From), formatTimestamp(g.To), g.Cause)
		if names[words] == nil {
			order = append(order, words)
		}
		names[words] = append(names[words], g.Name)
	}
	for n, words := range order {
		list := names[words]
		if len(list) > maxGapsShown {
			order[n] = fmt.Sprintf("%s (--json names them all): %s", shortList(list), words)
			continue
		}
		order[n] = fmt.Sprintf("%s: %s", strings.Join(list, ", "), words)
	}
	return order
}

func (v versionHistory) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d (%s) by %s: %s\n  from %s, first at %s; at %s %s later; %s\n",
		v.Version, shortDigest(v.Digest), v.Author, v.Reason,
		formatTimestamp(v.FirstStart), v.FirstDaemon, pluralize(v.Daemons, "daemon"), formatDuration(v.LastStart-v.FirstStart), formatEnd(v.End))
	if v.LastStart-v.FirstStart <= maxSpreadTime {
		return b.String()
	}
	for _, p := range v.Places {
		fmt.Fprintf(&b, "    %s: at %s from %s to %s later; %s\n",
			p.Place, pluralize(p.Daemons, "daemon"), formatDuration(p.FirstStart-v.FirstStart), formatDuration(p.LastStart-v.FirstStart), formatEnd(p.End))
	}
	return b.String()
}

func formatEnd(end clock.Milli) string {
	if end == 0 {
		return "still in force"
	}
	return "until " + formatTimestamp(end)
}

func formatTimestamp(at clock.Milli) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05Z")
}
