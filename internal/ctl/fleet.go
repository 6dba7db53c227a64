package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
)

const (
	// maxQueries is the number of daemons queried at the same time.
	maxQueries = 256
	// defaultWait is the default time that each daemon has to answer.
	defaultWait = 2 * time.Second
	maxWait     = time.Minute
)

// fleetHelp is the common part of the help of subcommands that query daemons.
const fleetHelp = `
  FILE is the document that lists the daemons; - stands for the standard input.
  With --from-daemon IP:PORT, the operator address of any daemon, the document
  in force there is used instead. Every daemon is asked, each for at most --wait.
  The report says which daemons are missing; it is then partial.
`

// fleetOptions holds the flags shared by the subcommands that query daemons.
type fleetOptions struct {
	daemon string
	wait   time.Duration
	asJSON bool
}

func (s *fleetOptions) flags(f *flag.FlagSet) {
	f.StringVar(&s.daemon, "from-daemon", "", "operator address of a daemon to take the document from")
	f.DurationVar(&s.wait, "wait", defaultWait, "time that each daemon is given to answer")
	f.BoolVar(&s.asJSON, "json", false, "report as JSON")
}

// fleet is the set of daemons to query.
type fleet struct {
	set    *rules.Set
	client *client
}

// open returns the fleet listed by a document. The document is either the only
// one of files or the one in force at the daemon given by --from-daemon.
func (s *fleetOptions) open(env Env, op string, files []string) (*fleet, error) {
	if s.wait <= 0 || s.wait > maxWait {
		return nil, usageError(op, "--wait must be more than 0 and at most %s", maxWait)
	}
	if s.daemon != "" && !isOperatorAddr(s.daemon) {
		return nil, usageError(op, "--from-daemon: %q is no address such as 127.0.0.1:22003", s.daemon)
	}
	f := &fleet{
		client: newClient(s.wait),
	}
	var err error
	switch {
	case s.daemon != "" && len(files) == 0:
		f.set, err = f.fetch(op, s.daemon)
	case s.daemon == "" && len(files) == 1:
		f.set, err = env.parseDocument(op, files[0])
	default:
		return nil, usageError(op, "name either one document or --from-daemon")
	}
	return f, err
}

// isOperatorAddr reports whether addr is an IP address with a non-zero port.
func isOperatorAddr(addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	return err == nil && at.Port() > 0
}

func (f *fleet) fetch(op, addr string) (*rules.Set, error) {
	data, err := f.client.get(addr, admin.PathDocument)
	if err != nil {
		return nil, noAnswerError(op, "%s gives no document: %s", addr, causeText(err))
	}
	set, err := config.Parse(data)
	if err != nil {
		return nil, noAnswerError(op, "%s gives no usable document: %w", addr, err)
	}
	return set, nil
}

func (f *fleet) targets() []*rules.Target {
	services := f.set.Services()
	all := make([]*rules.Target, 0, len(services))
	for _, service := range services {
		all = append(all, f.set.Targets(service)...)
	}
	return all
}

// coverage says which daemons answered and so are part of a report.
type coverage struct {
	Asked    int            `json:"asked"`
	Answered int            `json:"answered"`
	Silent   []silentDaemon `json:"silent"`
}

// silentDaemon is a daemon that gave no usable answer.
type silentDaemon struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Place   string `json:"place"`
	Addr    string `json:"addr"`
	Cause   string `json:"cause"`
}

// queryAll reads path from every daemon, up to maxQueries at the same time,
// and calls handle with each report. Calls of handle do not overlap; their
// order is undefined. queryAll returns once every daemon has answered or
// failed.
func queryAll[T daemonReport](ctx context.Context, f *fleet, path string, handle func(*rules.Target, T)) coverage {
	targets := f.targets()
	work := make(chan *rules.Target)
	var mu sync.Mutex
	r := coverage{
		Asked:  len(targets),
		Silent: make([]silentDaemon, 0),
	}
	query := func(t *rules.Target) {
		report := new(T)
		err := ctx.Err()
		if err == nil {
			err = readReport(f.client, t, path, report)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.Silent = append(r.Silent, newSilentDaemon(t, err))
			return
		}
		r.Answered++
		handle(t, *report)
	}
	var running sync.WaitGroup
	for range min(maxQueries, len(targets)) {
		running.Go(func() {
			for t := range work {
				query(t)
			}
		})
	}
	for _, t := range targets {
		work <- t
	}
	close(work)
	running.Wait()
	slices.SortFunc(r.Silent, func(a, b silentDaemon) int { return strings.Compare(a.Name, b.Name) })
	return r
}

func newSilentDaemon(t *rules.Target, err error) silentDaemon {
	return silentDaemon{
		Name:    t.Name,
		Service: t.Service,
		Place:   t.Place,
		Addr:    operatorAddr(t),
		Cause:   causeText(err),
	}
}

// text returns a line with the number of daemons that answered. If daemons are
// missing, it lists them by place and cause.
func (r coverage) text(env Env) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %s answered\n", r.Answered, pluralize(r.Asked, "daemon"))
	if len(r.Silent) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "%s: %s missing from this report:\n", env.red("PARTIAL"), pluralize(len(r.Silent), "daemon"))
	groups := make(map[string][]string)
	for _, s := range r.Silent {
		group := s.Place + ": " + s.Cause
		groups[group] = append(groups[group], s.Name)
	}
	for _, group := range sortedKeys(groups) {
		place, cause, _ := strings.Cut(group, ": ")
		fmt.Fprintf(&b, "  %s: %s (%s)\n", place, shortList(groups[group]), cause)
	}
	return b.String()
}

// check returns an error if a daemon is missing from the report.
func (r coverage) check(op string) error {
	if len(r.Silent) > 0 {
		return partialError(op)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
