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

// maxChains bounds the chains that one id is followed to.
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

// decision is one decision with the daemon that took it.
type decision struct {
	Daemon string `json:"daemon"`
	Place  string `json:"place"`
	reqlog.Entry
	// Description tells the decision in a sentence.
	Description string `json:"words"`
}

// start is when the request came in, by the daemon's wall clock.
func (d decision) start() clock.Milli { return d.Time - d.Took }

// explanation is the report on one request.
type explanation struct {
	coverage
	ID        string     `json:"id"`
	Decisions []decision `json:"steps"`
	// MinMemory is the shortest time back to which a daemon that answered has
	// forgotten nothing, or [desk.Unknown] if none has forgotten anything.
	MinMemory clock.Milli `json:"memory"`
	// MinMemoryDaemon is that daemon.
	MinMemoryDaemon string `json:"shortest"`
}

// explain asks all daemons about an id, then about the chains that it is part
// of.
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
		// A chain is asked for at all daemons; who was silent before is
		// reported already.
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

// sortDecisions sorts chains and their steps by when they began, a caller's side before
// the called one's, and drops steps that were collected twice.
func (e *explanation) sortDecisions() {
	starts := newStartTimes(e.Decisions)
	slices.SortStableFunc(e.Decisions, func(a, b decision) int {
		return cmp.Or(
			cmp.Compare(starts.byChain[a.Root], starts.byChain[b.Root]),
			strings.Compare(a.Root, b.Root),
			cmp.Compare(starts.startOf(a), starts.startOf(b)),
			cmp.Compare(a.Depth, b.Depth),
			// "outbound" is before "inbound" on the path.
			strings.Compare(string(b.Direction), string(a.Direction)),
			cmp.Compare(b.Took, a.Took),
			strings.Compare(a.Daemon, b.Daemon),
			strings.Compare(a.ID, b.ID),
		)
	})
	e.Decisions = slices.Compact(e.Decisions)
}

// startTimes holds when chains and calls began.
type startTimes struct {
	byChain map[string]clock.Milli
	byCall  map[callKey]clock.Milli
}

// callKey names a call in its chain.
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

// startOf returns when a step began. The called side never begins before the
// caller's, whatever the clocks startOf the two hosts say.
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

// callerText names the caller and the importance of a chain.
func (d decision) callerText() string {
	if d.Caller == "" {
		return ""
	}
	return fmt.Sprintf(" of %s, importance %s", d.Caller, d.Importance)
}

// line tells one step, indented by its depth in the chain.
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
