package ctl

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const statusHelp = `siskinctl status [--json] [--wait 2s] FILE
siskinctl status [--json] [--wait 2s] --from-daemon IP:PORT
  Shows the fleet at a glance, by service and place: running and queued work,
  and which targets are overloaded, shedding, leaving, silent, stale, or on
  another version than the newest in force.
` + fleetHelp + `
  Exit code 0 if all is well, 1 if there is something to look at or a daemon is
  missing, 2 for wrong usage.

  Example: siskinctl status published.json
`

func statusCommand(env Env) *Command {
	var from fleetOptions
	return &Command{
		Keyword: "status",
		Short:   "show the fleet at a glance",
		Help:    statusHelp,
		Env:     env,
		Flags:   from.flags,
		Do: func(ctx context.Context, args []string) error {
			const op = "status"
			f, err := from.open(env, op, args)
			if err != nil {
				return err
			}
			report := collectStatus(ctx, f)
			if err := env.report(from.asJSON, report, report.text(env)); err != nil {
				return err
			}
			return report.check(op)
		},
	}
}

// Values of the field Kind of a [note].
const (
	noteOverload      = "overload"
	noteLeaving       = "leaving"
	noteStarting      = "starting"
	noteStale         = "stale"
	noteVersion       = "version"
	noteRefused       = "refused"
	noteGuardFull     = "full"
	noteMemberView    = "belief"
	noteRestart       = "restart"
	noteSilentHere    = "unheard"
	noteConfigService = "service"
	noteDocument      = "file"
)

// maxConfirmedAge is the time within which at least one daemon should have
// confirmed with the configuration service that its configuration is the
// newest.
const maxConfirmedAge = 5 * clock.Minute

// recentRestart is how long after its start a daemon is listed as restarted.
const recentRestart = 10 * clock.Minute

// note is a remark on a daemon or on the fleet as a whole.
type note struct {
	// Name is the instance, empty for the fleet as a whole.
	Name  string `json:"name"`
	Place string `json:"place"`
	Kind  string `json:"kind"`
	Text  string `json:"text"`
	// Warn marks a problem. Other notes are on normal operation, such as a
	// planned shutdown.
	Warn bool `json:"warn"`
}

// status is the report on the fleet.
type status struct {
	coverage
	// Version and Digest identify the newest configuration in force at any
	// daemon.
	Version  uint64       `json:"version"`
	Digest   string       `json:"digest"`
	Versions []versionRow `json:"versions"`
	Groups   []groupRow   `json:"groups"`
	Notes    []note       `json:"notes"`
}

// versionRow counts the daemons that have a configuration in force.
type versionRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Daemons int    `json:"daemons"`
}

// groupRow sums up the targets of one service at one place.
type groupRow struct {
	Service  string `json:"service"`
	Place    string `json:"place"`
	Daemons  int    `json:"daemons"`
	Answered int    `json:"answered"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Overload int    `json:"overload"`
	Leaving  int    `json:"leaving"`
	// Attempts and Retries count since the start of each daemon.
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
}

// collectStatus queries all daemons and builds the report.
func collectStatus(ctx context.Context, f *fleet) status {
	reports := make(map[string]admin.Status)
	s := status{
		coverage: queryAll(ctx, f, admin.PathStatus, func(t *rules.Target, report admin.Status) {
			reports[t.Name] = report
		}),
		Versions: make([]versionRow, 0),
		Notes:    make([]note, 0),
	}
	s.addVersions(reports)
	views := memberViewsOf(reports)
	for _, t := range f.targets() {
		report, ok := reports[t.Name]
		s.addGroup(t, report, ok)
		if ok {
			s.addDaemonNotes(t, report)
		}
		s.addMemberView(t, ok, views[t.Name])
	}
	s.addSilentHere(views)
	s.addRestarts(f.targets(), reports)
	s.addConfigService(reports)
	s.addDocument(f.set)
	slices.SortStableFunc(s.Groups, func(a, b groupRow) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Place, b.Place))
	})
	return s
}

// addVersions counts the daemons by configuration in force, the newest first.
func (s *status) addVersions(reports map[string]admin.Status) {
	rows := make(map[versionRow]int)
	for _, report := range reports {
		rows[versionRow{
			Version: report.ActiveConfig.Version,
			Digest:  report.ActiveConfig.Digest,
		}]++
	}
	for row, n := range rows {
		row.Daemons = n
		s.Versions = append(s.Versions, row)
	}
	slices.SortFunc(s.Versions, func(a, b versionRow) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), strings.Compare(a.Digest, b.Digest))
	})
	if len(s.Versions) > 0 {
		s.Version = s.Versions[0].Version
		s.Digest = s.Versions[0].Digest
	}
}

// addGroup adds a daemon to the group of its service and place.
func (s *status) addGroup(t *rules.Target, report admin.Status, answered bool) {
	n := slices.IndexFunc(s.Groups, func(g groupRow) bool { return g.Service == t.Service && g.Place == t.Place })
	if n < 0 {
		n = len(s.Groups)
		s.Groups = append(s.Groups, groupRow{
			Service: t.Service,
			Place:   t.Place,
		})
	}
	g := &s.Groups[n]
	g.Daemons++
	if !answered {
		return
	}
	g.Answered++
	g.Running += report.Gate.Short.Running + report.Gate.Long.Running
	g.Queued += report.Gate.Short.Queued + report.Gate.Long.Queued
	g.Limit += report.Gate.Short.Limit
	g.Attempts += report.Totals.Attempts
	g.Retries += report.Totals.Retries
	if isShedding(report.Gate) {
		g.Overload++
	}
	if report.Leaving {
		g.Leaving++
	}
}

func isShedding(g admin.Gate) bool { return g.Overload || g.Floor != "" }

// check returns an error if a daemon is missing or a note warns.
func (s status) check(op string) error {
	if err := s.coverage.check(op); err != nil {
		return err
	}
	if slices.ContainsFunc(s.Notes, func(n note) bool { return n.Warn }) {
		return findingsError(op)
	}
	return nil
}
