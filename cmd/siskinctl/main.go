// Command siskinctl is the operators' command-line client. It prepares
// configuration changes, queries the daemons of the fleet and reads their
// logs; see package ctl.
package main

import (
	"context"
	"os"
	"os/signal"

	"siskinswitch.example/siskin/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return ctl.Run(ctx, ctl.Env{
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
		OutTerm: isTerminal(os.Stdout),
		ErrTerm: isTerminal(os.Stderr),
	}, os.Args[1:])
}

// isTerminal reports whether file is a terminal on which escape sequences are
// wanted.
func isTerminal(file *os.File) bool {
	if os.Getenv("TERM") == "dumb" || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
