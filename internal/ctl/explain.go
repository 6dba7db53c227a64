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
` + fleetFlags + `
  Exit code 0 if it was found and all daemons answered, 1 otherwise, 2 for wrong
  usage.

  Example: siskinctl explain 4f1c9a published.json
`

// chainsShown bounds the chains that one id is followed to.
const chainsShown = 8

func explainCommand(env Env) *Command {
	var from source
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

// step is one decision with the daemon that took it.
type step struct {
	Daemon string `json:"daemon"`
	Place  string `json:"place"`
	reqlog.Entry
	// Words tells the decision in a sentence.
	Words string `json:"words"`
}

// start is when the request came in, by the daemon's wall clock.
func (s step) start() clock.Milli { return s.Time - s.Took }

// explanation is the report on one request.
type explanation struct {
	reach
	ID    string `json:"id"`
	Steps []step `json:"steps"`
	// Memory is the shortest time back to which a daemon that answered has
	// forgotten nothing, or [desk.Unknown] if none has forgotten anything.
	Memory clock.Milli `json:"memory"`
	// Shortest is that daemon.
	Shortest string `json:"shortest"`
}

// explain asks all daemons about an id, then about the chains that it is part
// of.
func explain(ctx context.Context, f *fleet, id string) explanation {
	e := explanation{
		ID:     id,
		Steps:  make([]step, 0),
		Memory: admin.UnknownAge,
	}
	e.reach = e.collect(ctx, f, id)
	roots := make([]string, 0, chainsShown)
	for _, s := range e.Steps {
		if s.Root != id && s.Root != "" && !slices.Contains(roots, s.Root) && len(roots) < chainsShown {
			roots = append(roots, s.Root)
		}
	}
	for _, root := range roots {
		// A chain is asked for at all daemons; who was silent before is
		// reported already.
		e.collect(ctx, f, root)
	}
	e.order()
	return e
}

func (e *explanation) collect(ctx context.Context, f *fleet, id string) reach {
	return ask(ctx, f, admin.PathTrail+"?"+admin.ArgID+"="+url.QueryEscape(id), func(t *rules.Target, report admin.RequestLog) {
		if memory := report.Time - report.CompleteSince; report.CompleteSince > 0 && (e.Memory == admin.UnknownAge || memory < e.Memory) {
			e.Memory = memory
			e.Shortest = t.Name
		}
		for _, entry := range report.Entries {
			e.Steps = append(e.Steps, step{
				Daemon: t.Name,
				Place:  t.Place,
				Entry:  entry,
				Words:  sentence(entry),
			})
		}
	})
}

// order sorts chains and their steps by when they began, a caller's side before
// the called one's, and drops steps that were collected twice.
func (e *explanation) order() {
	began := newBeginnings(e.Steps)
	slices.SortStableFunc(e.Steps, func(a, b step) int {
		return cmp.Or(
			cmp.Compare(began.chain[a.Root], began.chain[b.Root]),
			strings.Compare(a.Root, b.Root),
			cmp.Compare(began.of(a), began.of(b)),
			cmp.Compare(a.Depth, b.Depth),
			// "outbound" is before "inbound" on the path.
			strings.Compare(string(b.Direction), string(a.Direction)),
			cmp.Compare(b.Took, a.Took),
			strings.Compare(a.Daemon, b.Daemon),
			strings.Compare(a.ID, b.ID),
		)
	})
	e.Steps = slices.Compact(e.Steps)
}

// beginnings holds when chains and calls began.
type beginnings struct {
	chain map[string]clock.Milli
	call  map[callKey]clock.Milli
}

// callKey names a call in its chain.
type callKey struct {
	root string
	id   string
}

func (s step) call() callKey {
	return callKey{
		root: s.Root,
		id:   s.ID,
	}
}

func newBeginnings(steps []step) beginnings {
	began := beginnings{
		chain: make(map[string]clock.Milli),
		call:  make(map[callKey]clock.Milli),
	}
	for _, s := range steps {
		putFirst(began.chain, s.Root, s.start())
		if s.Direction == reqlog.Outbound {
			putFirst(began.call, s.call(), s.start())
		}
	}
	return began
}

func putFirst[K comparable](m map[K]clock.Milli, key K, at clock.Milli) {
	if first, ok := m[key]; !ok || at < first {
		m[key] = at
	}
}

// of returns when a step began. The called side never begins before the
// caller's, whatever the clocks of the two hosts say.
func (b beginnings) of(s step) clock.Milli {
	if s.Direction == reqlog.Inbound {
		return max(s.start(), b.call[s.call()])
	}
	return s.start()
}

func (e explanation) check(op string) error {
	if err := e.reach.check(op); err != nil {
		return err
	}
	if len(e.Steps) == 0 {
		return findings(op)
	}
	return nil
}

func (e explanation) text(env Env) string {
	var b strings.Builder
	b.WriteString(e.reach.text(env))
	if len(e.Steps) == 0 {
		fmt.Fprintf(&b, "No daemon that answered remembers %s.\n", e.ID)
		if e.Memory >= 0 {
			fmt.Fprintf(&b, "Some have forgotten older requests; the shortest memory is that of %s, which reaches back %s.\n", e.Shortest, ago(e.Memory))
		}
		return b.String()
	}
	root := ""
	for _, s := range e.Steps {
		if s.Root != root {
			root = s.Root
			fmt.Fprintf(&b, "\nchain %s%s\n", root, s.whose())
		}
		b.WriteString(s.line(env, e.ID))
	}
	b.WriteString("\nTimes are by each host's own clock.\n")
	return b.String()
}

// whose names the caller and the importance of a chain.
func (s step) whose() string {
	if s.Caller == "" {
		return ""
	}
	return fmt.Sprintf(" of %s, importance %s", s.Caller, s.Importance)
}

// line tells one step, indented by its depth in the chain.
func (s step) line(env Env, id string) string {
	mark := ""
	if s.ID != id && s.Root != id {
		mark = " [" + s.ID + "]"
	}
	words := s.Words
	if s.Reason != "" {
		words = env.red(words)
	}
	indent := strings.Repeat("  ", max(s.Depth, 0)+1)
	if s.Direction == reqlog.Inbound {
		indent += "  "
	}
	return fmt.Sprintf("%s%s %s %s %s%s: %s\n", indent, wallTime(s.start()), s.Daemon, s.Direction, s.Path, mark, words)
}

func wallTime(at clock.Milli) string {
	return time.UnixMilli(int64(at)).UTC().Format("15:04:05.000")
}
