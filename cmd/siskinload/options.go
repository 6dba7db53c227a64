package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Upper bounds of the flags.
const (
	maxSeconds = 3600
	maxCalls   = 1_000_000
	maxRate    = 50_000
	maxTries   = 100
)

const help = `siskinload -document FILE -token TOKEN -paths PATH,... [flags]
  Sends calls to a running fleet at a steady rate and prints what became of them.
  Exit code 0 if every answer was whole and the request's own, 1 if one was not or
  the run failed, 2 for wrong usage.

  Example: siskinload -document published.json -token demo-planner-desk -paths workshop/plan,catalogue/find=3 -rate 50

`

// options are the flags of the program.
type options struct {
	document    string
	entries     []string
	paths       []string
	token       string
	rate        float64
	seconds     int
	calls       int
	tries       int
	seed        uint64
	name        string
	checkBodies bool
}

func parse(args []string) (options, error) {
	var o options
	var entries, paths string
	flags := flag.NewFlagSet("siskinload", flag.ContinueOnError)
	usage := func() {
		flags.SetOutput(os.Stderr)
		fmt.Fprint(os.Stderr, help)
		flags.PrintDefaults()
	}
	// main prints the error; the flags are printed only on request.
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	flags.StringVar(&o.document, "document", "", "`file` with the document in force")
	flags.StringVar(&entries, "entries", "", "outbound `addresses` ip:port, divided by commas; those of all daemons in the document if left out")
	flags.StringVar(&paths, "paths", "", "`operations` to call, as service/operation or service/operation=weight, divided by commas")
	flags.StringVar(&o.token, "token", "", "the caller's bearer `token`")
	flags.Float64Var(&o.rate, "rate", 10, "`calls` to start in a second")
	flags.IntVar(&o.seconds, "seconds", 10, "`length` of the run")
	flags.IntVar(&o.calls, "calls", maxCalls, "most `calls` to make")
	flags.IntVar(&o.tries, "tries", load.DefaultMaxTries, "most `tries` at one call")
	flags.Uint64Var(&o.seed, "seed", 1, "`number` that the load is drawn from")
	flags.StringVar(&o.name, "name", "load-"+strconv.Itoa(os.Getpid()), "start of each idempotency `key`; never use one twice for once-only operations")
	flags.BoolVar(&o.checkBodies, "shapes", false, "check the bodies of answers, which stand-ins for targets write")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			usage()
		}
		return o, err
	}
	o.entries = split(entries)
	o.paths = split(paths)
	return o, o.check(flags.NArg())
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

func (o options) check(args int) error {
	switch {
	case args > 0:
		return errors.New("only flags are taken; -h explains them")
	case o.document == "", len(o.paths) == 0, o.token == "":
		return errors.New("-document, -paths and -token are required; -h explains them")
	case o.rate <= 0 || o.rate > maxRate:
		return fmt.Errorf("-rate is %v, allowed is above 0 up to %d", o.rate, maxRate)
	case o.seconds < 1 || o.seconds > maxSeconds:
		return fmt.Errorf("-seconds is %d, allowed is 1 to %d", o.seconds, maxSeconds)
	case o.calls < 1 || o.calls > maxCalls:
		return fmt.Errorf("-calls is %d, allowed is 1 to %d", o.calls, maxCalls)
	case o.tries < 1 || o.tries > maxTries:
		return fmt.Errorf("-tries is %d, allowed is 1 to %d", o.tries, maxTries)
	}
	for _, addr := range o.entries {
		host, port, err := net.SplitHostPort(addr)
		if n, portErr := strconv.Atoi(port); err != nil || portErr != nil || net.ParseIP(host) == nil || n < 1 || n > 65_535 {
			return fmt.Errorf("-entries has %q, allowed is an IP address and a port, such as 127.0.0.1:8080", addr)
		}
	}
	return nil
}

// config combines the document with the flags.
func (o options) config() (load.Config, error) {
	data, err := os.ReadFile(o.document)
	if err != nil {
		return load.Config{}, err
	}
	set, err := config.Parse(data)
	if err != nil {
		return load.Config{}, err
	}
	plan := load.Plan{
		Name: o.name,
		Seed: o.seed,
		Phases: []load.Phase{
			{
				Name:   "load",
				Length: clock.Milli(o.seconds) * clock.Second,
				Rate:   o.rate,
			},
		},
	}
	for _, text := range o.paths {
		path, weight, err := parsePath(text)
		if err != nil {
			return load.Config{}, err
		}
		call, ok := load.CallOf(set, path, o.token, weight)
		if !ok {
			return load.Config{}, fmt.Errorf("-paths has %q, which the document does not list", path)
		}
		if !o.checkBodies {
			call.Tree = nil
		}
		plan.Calls = append(plan.Calls, call)
	}
	if len(o.entries) == 0 {
		o.entries = outboundAddrs(set)
	}
	return load.Config{
		Plan:     plan,
		Entries:  o.entries,
		MaxTries: o.tries,
		MaxCalls: o.calls,
	}, plan.Check()
}

// outboundAddrs returns the outbound addresses of all daemons.
func outboundAddrs(set *rules.Set) []string {
	var entries []string
	for _, s := range set.Document().Services {
		for _, i := range s.Instances {
			entries = append(entries, net.JoinHostPort(i.Host, strconv.Itoa(i.Outbound)))
		}
	}
	return entries
}

func parsePath(text string) (string, int, error) {
	path, weight, weighted := strings.Cut(text, "=")
	if !weighted {
		return path, 1, nil
	}
	n, err := strconv.Atoi(weight)
	if err != nil || n < 1 {
		return "", 0, fmt.Errorf("-paths has %q, allowed is a whole weight from 1", text)
	}
	return path, n, nil
}
