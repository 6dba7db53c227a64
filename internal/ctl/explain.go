package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/reqlog"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const explainHelp = `siskinctl explain [--json] [--wait 2s] ID FILE
siskinctl explain [--json] [--wait 2s] --from-daemon IP:PORT ID
  Tells what became of a request: each decision about it, and about the whole
  chain of calls that it belongs to, by every daemon on its path, in order and
  with the reason. ID is the request id that callers find in the answer, or the
  root id of a chain. Daemons remember a bounded number of decisions.
` + fleetHelp + `
  Exit code 0 if it was found and all daemons answered, 1 otherwise, 2 for wrong
  usage.

  Example: siskinctl explain 4f1c9a published.json
`

// maxChains is the number of call chains up to which explain follows the id of
// one request. An id can occur in several chains.
const maxChains = 8

func explainCommand(env Env) *Command {
	var from fleetOptions
	return &Command{
		Keyword: "explain",
		Short:   "tell what became of a request and why",
		Help:    explainHelp,
		Env:     env,
		Flags:   from.flags,
		Do: func(ctx context.Context, args []string) error {
			const op = "explain"
			if len(args) == 0 || args[0] == "" {
				return usageError(op, "no request id is named")
			}
			f, err := from.open(env, op, args[1:])
			if err != nil {
				return err
			}
			report := explain(ctx, f, args[0])
			if err := env.report(from.asJSON, report, report.text(env)); err != nil {
				return err
			}
			return report.check(op)
		},
	}
}

// decision is an entry of a daemon's request log together with the daemon.
type decision struct {
	Daemon string `json:"daemon"`
	Place  string `json:"place"`
	reqlog.Entry
	// Description describes the decision in one sentence.
	Description string `json:"words"`
}

// start returns when the request arrived, by the wall clock of the daemon's
// host.
func (d decision) start() clock.Milli { return d.Time - d.Took }

// explanation is the report on one request.
type explanation struct {
	coverage
	ID        string     `json:"id"`
	Decisions []decision `json:"steps"`
	// MinMemory says how far back the request logs of all daemons that
	// answered are complete. It is [admin.UnknownAge] if no daemon has dropped
	// an entry.
	MinMemory clock.Milli `json:"memory"`
	// MinMemoryDaemon is the daemon whose request log is complete for
	// MinMemory only.
	MinMemoryDaemon string `json:"shortest"`
}

// explain queries all daemons for an id, then for the call chains of the
// entries found.
func explain(ctx context.Context, f *fleet, id string) explanation {
	e := explanation{
		ID:        id,
		Decisions: make([]decision, 0),
		MinMemory: admin.UnknownAge,
	}
	e.coverage = e.collect(ctx, f, id)
	roots := make([]string, 0, maxChains)
	for _, d := range e.Decisions {
		if d.Root != id && d.Root != "" && !slices.Contains(roots, d.Root) && len(roots) < maxChains {
			roots = append(roots, d.Root)
		}
	}
	for _, root := range roots {
		// The chain is collected from all daemons. Daemons that did not answer
		// are in the coverage of the first query already.
		e.collect(ctx, f, root)
	}
	e.sortDecisions()
	return e
}

func (e *explanation) collect(ctx context.Context, f *fleet, id string) coverage {
	return queryAll(ctx, f, admin.PathTrail+"?"+admin.ArgID+"="+url.QueryEscape(id), func(t *rules.Target, report admin.RequestLog) {
		if memory := report.Time - report.CompleteSince; report.CompleteSince > 0 && (e.MinMemory == admin.UnknownAge || memory < e.MinMemory) {
			e.MinMemory = memory
			e.MinMemoryDaemon = t.Name
		}
		for _, entry := range report.Entries {
			e.Decisions = append(e.Decisions, decision{
				Daemon:      t.Name,
				Place:       t.Place,
				Entry:       entry,
				Description: describeEntry(entry),
			})
		}
	})
}

// sortDecisions sorts by the start of the chain, then by the start of the
// call, with the caller's entry before that of the called target. It removes
// decisions that were collected twice.
func (e *explanation) sortDecisions() {
	starts := newStartTimes(e.Decisions)
	slices.SortStableFunc(e.Decisions, func(a, b decision) int {
		return cmp.Or(
			cmp.Compare(starts.byChain[a.Root], starts.byChain[b.Root]),
			strings.Compare(a.Root, b.Root),
			cmp.Compare(starts.startOf(a), starts.startOf(b)),
			cmp.Compare(a.Depth, b.Depth),
			// The path goes through the caller's outbound side first, and
			// "outbound" sorts after "inbound".
			strings.Compare(string(b.Direction), string(a.Direction)),
			cmp.Compare(b.Took, a.Took),
			strings.Compare(a.Daemon, b.Daemon),
			strings.Compare(a.ID, b.ID),
		)
	})
	e.Decisions = slices.Compact(e.Decisions)
}

// startTimes holds the earliest start of each chain and call.
type startTimes struct {
	byChain map[string]clock.Milli
	byCall  map[callKey]clock.Milli
}

// callKey identifies a call within its chain.
type callKey struct {
	root string
	id   string
}

func (d decision) call() callKey {
	return callKey{
		root: d.Root,
		id:   d.ID,
	}
}

func newStartTimes(decisions []decision) startTimes {
	starts := startTimes{
		byChain: make(map[string]clock.Milli),
		byCall:  make(map[callKey]clock.Milli),
	}
	for _, d := range decisions {
		keepEarliest(starts.byChain, d.Root, d.start())
		if d.Direction == reqlog.Outbound {
			keepEarliest(starts.byCall, d.call(), d.start())
		}
	}
	return starts
}

func keepEarliest[K comparable](m map[K]clock.Milli, key K, at clock.Milli) {
	if first, ok := m[key]; !ok || at < first {
		m[key] = at
	}
}

// startOf returns when a decision began, for sorting. An inbound entry never
// sorts before the outbound entry of the same call, even if the clocks of the
// two hosts differ.
func (b startTimes) startOf(d decision) clock.Milli {
	if d.Direction == reqlog.Inbound {
		return max(d.start(), b.byCall[d.call()])
	}
	return d.start()
}

func (e explanation) check(op string) error {
	if err := e.coverage.check(op); err != nil {
		return err
	}
	if len(e.Decisions) == 0 {
		return findingsError(op)
	}
	return nil
}

func (e explanation) text(env Env) string {
	var b strings.Builder
	b.WriteString(e.coverage.text(env))
	if len(e.Decisions) == 0 {
		fmt.Fprintf(&b, "No daemon that answered remembers %s.\n", e.ID)
		if e.MinMemory >= 0 {
			fmt.Fprintf(&b, "Some have forgotten older requests; the shortest memory is that of %s, which reaches back %s.\n", e.MinMemoryDaemon, formatDuration(e.MinMemory))
		}
		return b.String()
	}
	root := ""
	for _, d := range e.Decisions {
		if d.Root != root {
			root = d.Root
			fmt.Fprintf(&b, "\nchain %s%s\n", root, d.callerText())
		}
		b.WriteString(d.line(env, e.ID))
	}
	b.WriteString("\nTimes are by each host's own clock.\n")
	return b.String()
}

// callerText names the caller and the importance of a chain, as the end of a
// heading.
func (d decision) callerText() string {
	if d.Caller == "" {
		return ""
	}
	return fmt.Sprintf(" of %s, importance %s", d.Caller, d.Importance)
}

// line returns the line of the text report on one decision, indented by its
// depth in the chain. It adds the request id if it is not the id asked for.
func (d decision) line(env Env, id string) string {
	idSuffix := ""
	if d.ID != id && d.Root != id {
		idSuffix = " [" + d.ID + "]"
	}
	description := d.Description
	if d.Reason != "" {
		description = env.red(description)
	}
	indent := strings.Repeat("  ", max(d.Depth, 0)+1)
	if d.Direction == reqlog.Inbound {
		indent += "  "
	}
	return fmt.Sprintf("%s%s %s %s %s%s: %s\n", indent, formatTimeOfDay(d.start()), d.Daemon, d.Direction, d.Path, idSuffix, description)
}

func formatTimeOfDay(at clock.Milli) string {
	return time.UnixMilli(int64(at)).UTC().Format("15:04:05.000")
}
