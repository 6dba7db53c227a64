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
` + fleetFlags + `
  Exit code 0 if the record is whole, 1 if it has gaps or contradictions or a
  daemon is missing, 2 for wrong usage.

  Example: siskinctl record --from 8h published.json
`

// spreadWithin is the time within which a version should reach all daemons. The
// text tells the places of one that took longer.
const spreadWithin = 5 * clock.Second

// gapsShown is the number of lines on gaps in the text, and of names in one.
const gapsShown = 20

// defaultSpan is the time that a record covers unless told otherwise.
const defaultSpan = 24 * time.Hour

func recordCommand(env Env) *Command {
	var from source
	var start, end string
	return &Command{
		Keyword: "record",
		Short:   "tell what was in force where and when",
		Help:    recordHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			from.flags(f)
			f.StringVar(&start, "from", defaultSpan.String(), "start of the record")
			f.StringVar(&end, "to", "0s", "end of the record")
		},
		Do: func(ctx context.Context, args []string) error {
			const op = "record"
			span, err := parseSpan(op, time.Now(), start, end)
			if err != nil {
				return err
			}
			f, err := from.open(env, op, args)
			if err != nil {
				return err
			}
			report := record(ctx, f, span)
			if err := env.report(from.asJSON, report, report.text(env)); err != nil {
				return err
			}
			return report.check(op)
		},
	}
}

// span is a stretch of wall-clock time.
type span struct {
	From clock.Milli `json:"from"`
	To   clock.Milli `json:"to"`
}

func parseSpan(op string, now time.Time, start, end string) (span, error) {
	from, err := parseTime(now, start)
	if err != nil {
		return span{}, usageError(op, "--from: %w", err)
	}
	to, err := parseTime(now, end)
	if err != nil {
		return span{}, usageError(op, "--to: %w", err)
	}
	if !from.Before(to) {
		return span{}, usageError(op, "--from must be before --to")
	}
	return span{
		From: milli(from),
		To:   milli(to),
	}, nil
}

// parseTime reads an instant, or a duration before now.
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

// history is the report on what was in force.
type history struct {
	reach
	span
	Versions []inForce `json:"versions"`
	Gaps     []gap     `json:"gaps"`
	// Faults are contradictions, which should never be seen.
	Faults []string `json:"faults"`
}

// inForce tells where and when one configuration was in force.
type inForce struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// First and All are when the first and the last daemon took it, by the
	// clocks of those hosts. FirstAt is the first.
	First   clock.Milli `json:"first"`
	FirstAt string      `json:"firstat"`
	All     clock.Milli `json:"all"`
	// Until is when the last daemon gave it up, 0 while it is in force.
	Until   clock.Milli `json:"until"`
	Daemons int         `json:"daemons"`
	Places  []placeSpan `json:"places"`
}

// placeSpan tells when one configuration was in force at one place.
type placeSpan struct {
	Place   string      `json:"place"`
	First   clock.Milli `json:"first"`
	All     clock.Milli `json:"all"`
	Until   clock.Milli `json:"until"`
	Daemons int         `json:"daemons"`
}

// with adds the span of one daemon at the place.
func (p placeSpan) with(s admin.ConfigPeriod) placeSpan {
	if p.Daemons == 0 {
		p.First = s.Start
		p.Until = s.End
	}
	p.First = min(p.First, s.Start)
	p.All = max(p.All, s.Start)
	p.Until = latest(p.Until, s.End)
	p.Daemons++
	return p
}

// latest returns the later of two ends, of which 0 is the latest.
func latest(a, b clock.Milli) clock.Milli {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// gap is a time for which a daemon's record says nothing.
type gap struct {
	Name  string `json:"name"`
	Place string `json:"place"`
	span
	Cause string `json:"cause"`
}

// record asks all daemons and merges what they tell of the span.
func record(ctx context.Context, f *fleet, s span) history {
	h := history{
		span:     s,
		Versions: make([]inForce, 0),
		Gaps:     make([]gap, 0),
		Faults:   make([]string, 0),
	}
	h.reach = ask(ctx, f, admin.PathRecord, func(t *rules.Target, r admin.ConfigHistory) {
		h.add(t, r)
	})
	for _, missing := range h.Silent {
		h.Gaps = append(h.Gaps, gap{
			Name:  missing.Name,
			Place: missing.Place,
			span:  s,
			Cause: missing.Cause,
		})
	}
	h.finish()
	return h
}

// add merges the record of one daemon.
func (h *history) add(t *rules.Target, r admin.ConfigHistory) {
	cause := "remembers nothing before"
	if r.Started > h.From {
		cause = "started " + stamp(r.Started)
	}
	at := h.From
	last := uint64(0)
	for _, s := range r.Periods {
		if s.Version <= last {
			h.Faults = append(h.Faults, fmt.Sprintf("%s went from version %d to %d", t.Name, last, s.Version))
		}
		last = s.Version
		if s.End != 0 && s.End <= h.From || s.Start >= h.To {
			continue
		}
		h.addGap(t, at, s.Start, cause)
		cause = "nothing in force"
		at = s.End
		h.merge(t, s)
	}
	if at > 0 {
		h.addGap(t, at, h.To, cause)
	}
}

// addGap adds the part of a gap that lies in the span of the record.
func (h *history) addGap(t *rules.Target, from, to clock.Milli, cause string) {
	from, to = max(from, h.From), min(to, h.To)
	if from >= to {
		return
	}
	h.Gaps = append(h.Gaps, gap{
		Name:  t.Name,
		Place: t.Place,
		span: span{
			From: from,
			To:   to,
		},
		Cause: cause,
	})
}

func (h *history) merge(t *rules.Target, s admin.ConfigPeriod) {
	n := slices.IndexFunc(h.Versions, func(v inForce) bool { return v.Version == s.Version && v.Digest == s.Digest })
	if n < 0 {
		n = len(h.Versions)
		h.Versions = append(h.Versions, inForce{
			Version: s.Version,
			Digest:  s.Digest,
			Author:  s.Author,
			Reason:  s.Reason,
			First:   s.Start,
			FirstAt: t.Name,
			Until:   s.End,
		})
	}
	v := &h.Versions[n]
	if s.Start < v.First {
		v.First = s.Start
		v.FirstAt = t.Name
	}
	v.All = max(v.All, s.Start)
	v.Until = latest(v.Until, s.End)
	v.Daemons++
	at := slices.IndexFunc(v.Places, func(p placeSpan) bool { return p.Place == t.Place })
	if at < 0 {
		at = len(v.Places)
		v.Places = append(v.Places, placeSpan{
			Place: t.Place,
		})
	}
	v.Places[at] = v.Places[at].with(s)
}

// finish sorts the report and looks for versions that stand for two documents.
func (h *history) finish() {
	slices.SortFunc(h.Versions, func(a, b inForce) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Digest, b.Digest))
	})
	slices.SortFunc(h.Gaps, func(a, b gap) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.From, b.From))
	})
	for _, v := range h.Versions {
		slices.SortFunc(v.Places, func(a, b placeSpan) int { return strings.Compare(a.Place, b.Place) })
	}
	for n := 1; n < len(h.Versions); n++ {
		a, b := h.Versions[n-1], h.Versions[n]
		if a.Version == b.Version {
			h.Faults = append(h.Faults, fmt.Sprintf("version %d stands for two documents, %s and %s", a.Version, shortDigest(a.Digest), shortDigest(b.Digest)))
		}
	}
	slices.Sort(h.Faults)
}

func (h history) check(op string) error {
	if err := h.reach.check(op); err != nil {
		return err
	}
	if len(h.Gaps)+len(h.Faults) > 0 {
		return findings(op)
	}
	return nil
}

func (h history) text(env Env) string {
	var b strings.Builder
	b.WriteString(h.reach.text(env))
	fmt.Fprintf(&b, "record from %s to %s, by the clocks of the hosts\n\n", stamp(h.From), stamp(h.To))
	for _, v := range h.Versions {
		b.WriteString(v.text())
	}
	for _, fault := range h.Faults {
		fmt.Fprintf(&b, "%s: %s\n", env.red("CONTRADICTION"), fault)
	}
	if len(h.Gaps) == 0 {
		b.WriteString("No gaps.\n")
	}
	lines := h.gapLines()
	for _, line := range lines[:min(len(lines), gapsShown)] {
		fmt.Fprintf(&b, "gap: %s\n", line)
	}
	if len(lines) > gapsShown {
		fmt.Fprintf(&b, "and %s; --json lists them all\n", count(len(lines)-gapsShown, "more gap"))
	}
	return b.String()
}

// gapLines words the gaps, those that read alike in one line.
func (h history) gapLines() []string {
	names := make(map[string][]string)
	var order []string
	for _, g := range h.Gaps {
		words := fmt.Sprintf("%s to %s: %s", stamp(g.From), stamp(g.To), g.Cause)
		if names[words] == nil {
			order = append(order, words)
		}
		names[words] = append(names[words], g.Name)
	}
	for n, words := range order {
		list := names[words]
		if len(list) > gapsShown {
			order[n] = fmt.Sprintf("%s (--json names them all): %s", shortList(list), words)
			continue
		}
		order[n] = fmt.Sprintf("%s: %s", strings.Join(list, ", "), words)
	}
	return order
}

func (v inForce) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d (%s) by %s: %s\n  from %s, first at %s; at %s %s later; %s\n",
		v.Version, shortDigest(v.Digest), v.Author, v.Reason,
		stamp(v.First), v.FirstAt, count(v.Daemons, "daemon"), ago(v.All-v.First), untilWords(v.Until))
	if v.All-v.First <= spreadWithin {
		return b.String()
	}
	for _, p := range v.Places {
		fmt.Fprintf(&b, "    %s: at %s from %s to %s later; %s\n",
			p.Place, count(p.Daemons, "daemon"), ago(p.First-v.First), ago(p.All-v.First), untilWords(p.Until))
	}
	return b.String()
}

func untilWords(end clock.Milli) string {
	if end == 0 {
		return "still in force"
	}
	return "until " + stamp(end)
}

func stamp(at clock.Milli) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05Z")
}
