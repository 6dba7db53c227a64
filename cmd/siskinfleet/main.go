// Command siskinfleet measures the overhead of the control traffic between real
// daemons.
//
// For each fleet size it starts that many siskind processes on loopback, with
// fakes of the platform and the targets, and measures them without callers: when
// nothing happens, while the configuration changes, and when all daemons restart
// at once. Finally it fits a straight line through the results of all sizes and
// extrapolates it.
//
//	siskinfleet -n 20,60 -seconds 20
//
// It kills every process that it started before it exits.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"siskinswitch.example/siskin/internal/procs"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// maxDaemons bounds the daemons of one fleet.
	maxDaemons = 240
	// maxMemory bounds the resident memory of all daemons together, in bytes.
	maxMemory = 12 << 30
)

// options are the parsed command line flags.
type options struct {
	sizes         []int
	measureTime   clock.Milli
	changesPerDay int
	extendTo      int
	restart       bool
}

func main() {
	o, err := readOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// readOptions parses and checks the command line.
func readOptions(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("siskinfleet", flag.ContinueOnError)
	sizes := flags.String("n", "20", "numbers of daemons, separated by commas")
	seconds := flags.Int("seconds", 20, "length of each measurement in seconds")
	flags.IntVar(&o.changesPerDay, "changes", 1200, "changes of the configuration a day")
	flags.IntVar(&o.extendTo, "extend", 780, "number of daemons that the line is extended to")
	flags.BoolVar(&o.restart, "restart", true, "measure a restart of all daemons at once")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	o.measureTime = clock.Milli(*seconds) * clock.Second
	if *seconds < 1 || o.changesPerDay < 1 {
		return o, fmt.Errorf("-seconds %d, -changes %d: both must be positive", *seconds, o.changesPerDay)
	}
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 || n > maxDaemons {
			return o, fmt.Errorf("-n %q: each number must be from 2 to %d", text, maxDaemons)
		}
		o.sizes = append(o.sizes, n)
	}
	return o, nil
}

// run measures all sizes and prints the tables.
func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "siskinfleet")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := procs.Compile(ctx, dir)
	if err != nil {
		return err
	}
	fmt.Printf("load of the machine before: %s\n", machineLoad())
	rows := make([]row, 0, len(o.sizes))
	printHead()
	for _, n := range o.sizes {
		r, err := measure(ctx, o, program, dir, n)
		if err != nil {
			return err
		}
		rows = append(rows, r)
		printRow(r)
	}
	printLines(rows, o.extendTo)
	return nil
}

// machineLoad returns the load averages of the machine, or "unknown" if they
// cannot be read.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(data))
}
