package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/burn"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const burnHelp = `siskinctl burn [--html PAGE] [--json] [--wait 2s] FILE
siskinctl burn [--html PAGE] [--json] [--wait 2s] --from-daemon IP:PORT
  Tells how fast calls from outside use up the error budgets of the objectives,
  by service and by importance and caller, in several windows. A rate of 1 uses
  the budget up exactly at the end of its period. The burn is fast if the last
  hour and the last 5 minutes both reach a rate of 14.4, and slow if the last 6
  hours and the last 30 minutes both reach 6.
  With --html, a page with plots is written too, which needs no network.
` + fleetHelp + `
  Exit code 0 if no budget burns, 1 if one does or a daemon is missing, 2 for
  wrong usage.

  Example: siskinctl burn --html burn.html published.json
`

func burnCommand(env Env) *Command {
	var from fleetOptions
	var page string
	return &Command{
		Keyword: "burn",
		Short:   "tell how fast error budgets are used up",
		Help:    burnHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			from.flags(f)
			f.StringVar(&page, "html", "", "file to write a page with plots to")
		},
		Do: func(ctx context.Context, args []string) error {
			const op = "burn"
			f, err := from.open(env, op, args)
			if err != nil {
				return err
			}
			report := collectBurn(ctx, f, page != "")
			if page != "" {
				if err := report.writePage(env, op, page, time.Now()); err != nil {
					return err
				}
			}
			if err := env.report(from.asJSON, report, report.text(env)); err != nil {
				return err
			}
			return report.check(op)
		},
	}
}

// allValues is shown in a row that sums over all importances or callers.
const allValues = "all"

// burnReport is the report of the burn subcommand on the error budgets of all
// objectives.
type burnReport struct {
	coverage
	Windows []burnWindow `json:"windows"`
	// Services has one row per objective; Rows has one per service, importance
	// and caller.
	Services []burnRow `json:"services"`
	Rows     []burnRow `json:"rows"`
	// Warnings lists the reasons why the figures may be wrong.
	Warnings []string `json:"faults"`
	// Width is the width of a bucket.
	Width clock.Milli `json:"width"`
}

// burnWindow is one window of the burn rates.
type burnWindow struct {
	Length clock.Milli `json:"length"`
	// ObservedShare is the part of the window that the counts cover: the sum
	// over the daemons that answered of how long each has run, at most the
	// window, divided by the window times the number of daemons asked.
	ObservedShare float64 `json:"seen"`
}

// burnRow holds the counts and burn rates of one service, importance and
// caller.
type burnRow struct {
	Service    string        `json:"service"`
	Importance string        `json:"importance"`
	Caller     string        `json:"caller"`
	Good       int64         `json:"good"`
	Latency    clock.Milli   `json:"latency"`
	Level      burn.Level    `json:"level"`
	Rates      []float64     `json:"rates"`
	Sums       []admin.Count `json:"sums"`
	Buckets    []admin.Count `json:"buckets,omitempty"`
}

// collectBurn queries all daemons and adds up their counts. With buckets it
// also asks for the counts by bucket, which the plots need.
func collectBurn(ctx context.Context, f *fleet, buckets bool) burnReport {
	windows := burn.Windows()
	observed := make([]clock.Milli, len(windows))
	objectives := make(map[string]admin.Objective)
	rows := make(map[burn.Key]*burnRow)
	r := burnReport{
		Warnings: make([]string, 0),
		Width:    burn.CoarseWidth,
	}
	path := admin.PathBurn
	if buckets {
		path += "?" + admin.ArgBuckets + "=1"
	}
	r.coverage = queryAll(ctx, f, path, func(t *rules.Target, b admin.Burn) {
		if !slices.Equal(b.Windows, windows) || b.Width != burn.CoarseWidth {
			r.Warnings = append(r.Warnings, t.Name+" counts in other windows and is left out")
			return
		}
		for n, window := range windows {
			observed[n] += min(b.Age, window)
		}
		r.addObjectives(t, objectives, b.Objectives)
		for _, row := range b.Rows {
			addRow(rows, row)
		}
	})
	for n, window := range windows {
		r.Windows = append(r.Windows, burnWindow{
			Length:        window,
			ObservedShare: float64(observed[n]) / float64(window) / float64(max(r.Asked, 1)),
		})
	}
	r.finish(objectives, rows)
	return r
}

// addObjectives adds the objectives of one daemon to known and warns if the
// daemon uses another objective for a service than the daemons before it.
func (r *burnReport) addObjectives(t *rules.Target, known map[string]admin.Objective, objectives []admin.Objective) {
	for _, objective := range objectives {
		old, ok := known[objective.Service]
		if ok && old != objective {
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s has another objective for %s than others; see status for its version", t.Name, objective.Service))
		}
		if !ok {
			known[objective.Service] = objective
		}
	}
}

// addRow adds a daemon's counts to the row of the service and to the row of
// the service, importance and caller. It ignores a row with another number of
// windows.
func addRow(rows map[burn.Key]*burnRow, row admin.Row) {
	if len(row.Sums) != len(burn.Windows()) {
		return
	}
	for _, key := range []burn.Key{
		{
			Service:    row.Service,
			Importance: allValues,
			Caller:     allValues,
		},
		{
			Service:    row.Service,
			Importance: row.Importance,
			Caller:     row.Caller,
		},
	} {
		sum, ok := rows[key]
		if !ok {
			sum = &burnRow{
				Service:    key.Service,
				Importance: key.Importance,
				Caller:     key.Caller,
			}
			rows[key] = sum
		}
		sum.Sums = addCounts(sum.Sums, row.Sums)
		sum.Buckets = addCounts(sum.Buckets, row.Buckets)
	}
}

func addCounts(a, b []admin.Count) []admin.Count {
	for len(a) < len(b) {
		a = append(a, admin.Count{})
	}
	for n, c := range b {
		a[n].Good += c.Good
		a[n].Bad += c.Bad
	}
	return a
}

// finish computes the burn rates and sorts the rows.
func (r *burnReport) finish(objectives map[string]admin.Objective, rows map[burn.Key]*burnRow) {
	r.Services = make([]burnRow, 0)
	r.Rows = make([]burnRow, 0)
	for _, row := range rows {
		objective, ok := objectives[row.Service]
		if !ok {
			// The rules no longer hold an objective for this service.
			continue
		}
		row.Good = objective.Good
		row.Latency = objective.Latency
		counts := burnCounts(row.Sums)
		row.Level = burn.LevelOf(counts, objective.Good)
		for _, c := range counts {
			row.Rates = append(row.Rates, burn.Rate(c, objective.Good))
		}
		if row.Importance == allValues {
			r.Services = append(r.Services, *row)
		} else {
			r.Rows = append(r.Rows, *row)
		}
	}
	order := func(a, b burnRow) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Importance, b.Importance), strings.Compare(a.Caller, b.Caller))
	}
	slices.SortFunc(r.Services, order)
	slices.SortFunc(r.Rows, order)
	slices.Sort(r.Warnings)
}

func burnCounts(counts []admin.Count) []burn.Count {
	list := make([]burn.Count, 0, len(counts))
	for _, c := range counts {
		list = append(list, burn.Count{
			Good: c.Good,
			Bad:  c.Bad,
		})
	}
	return list
}

func (r burnReport) check(op string) error {
	if err := r.coverage.check(op); err != nil {
		return err
	}
	burns := func(row burnRow) bool { return row.Level != burn.Calm }
	if len(r.Warnings) > 0 || slices.ContainsFunc(r.Services, burns) || slices.ContainsFunc(r.Rows, burns) {
		return findingsError(op)
	}
	return nil
}

func (r burnReport) text(env Env) string {
	var b strings.Builder
	b.WriteString(r.coverage.text(env))
	for _, warning := range r.Warnings {
		fmt.Fprintf(&b, "%s: %s\n", env.red("DOUBTFUL"), warning)
	}
	if len(r.Services) == 0 {
		b.WriteString("No calls from outside to a service with an objective were counted.\n")
		return b.String()
	}
	b.WriteString("\n")
	w := newTable(&b)
	head := []string{"SERVICE", "IMPORTANCE", "CALLER", "GOAL", "WITHIN", "CALLS", "BAD"}
	for _, window := range r.Windows {
		head = append(head, shortDuration(window.Length))
	}
	writeRow(w, append(head, "BURN")...)
	for _, rows := range [][]burnRow{r.Services, r.Rows} {
		for _, line := range rows {
			writeRow(w, line.cells()...)
		}
	}
	writeRow(w, r.observedCells()...)
	_ = w.Flush()
	b.WriteString("\nCALLS and BAD are over the longest window. Counts end with the daemon that kept them.\n")
	return b.String()
}

func (r burnRow) cells() []string {
	total := r.Sums[len(r.Sums)-1]
	cells := []string{
		r.Service, r.Importance, r.Caller, percent(r.Good), fmt.Sprintf("%d ms", r.Latency),
		strconv.FormatUint(total.Good+total.Bad, 10), strconv.FormatUint(total.Bad, 10),
	}
	for n, rate := range r.Rates {
		if r.Sums[n] == (admin.Count{}) {
			cells = append(cells, "-")
			continue
		}
		cells = append(cells, strconv.FormatFloat(rate, 'f', 1, 64))
	}
	return append(cells, string(r.Level))
}

// observedCells returns the last line of the table: how much of each window
// was observed.
func (r burnReport) observedCells() []string {
	cells := []string{"seen", "", "", "", "", "", ""}
	for _, window := range r.Windows {
		cells = append(cells, fmt.Sprintf("%.0f%%", 100*window.ObservedShare))
	}
	return append(cells, "")
}

// percent formats parts per million as a percentage without trailing zeros.
func percent(parts int64) string {
	const perPercent = 10_000
	return strconv.FormatFloat(float64(parts)/perPercent, 'f', -1, 64) + "%"
}

func shortDuration(d clock.Milli) string {
	const day = 24 * clock.Hour
	switch {
	case d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d%clock.Hour == 0:
		return fmt.Sprintf("%dh", d/clock.Hour)
	}
	return fmt.Sprintf("%dm", d/clock.Minute)
}
