// Command siskinload sends a bounded number of calls at a steady rate to a
// running fleet and prints their results. Calls enter at the given outbound
// addresses. Operations and their deadlines come from a file with the document
// in force.
//
// The exit status is 0 if every answer was complete and belonged to its
// request, 1 if one did not or the run failed, and 2 on wrong usage.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"siskinswitch.example/siskin/internal/load"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o, err := parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fail(err)
		return exitUsage
	}
	cfg, err := o.config()
	if err != nil {
		fail(err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, cfg)
	if err != nil {
		fail(err)
		return exitFailed
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		fail(err)
		return exitFailed
	}
	if report.Faults() > 0 {
		fail(fmt.Errorf("%d answers were not whole or not the request's own", report.Faults()))
		return exitFailed
	}
	return 0
}

func fail(err error) { fmt.Fprintf(os.Stderr, "siskinload: %v\n", err) }
