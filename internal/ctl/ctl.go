// Package ctl implements the subcommands of siskinctl, the operators'
// command-line client.
//
// Each subcommand is a [Command], a struct of texts and functions, made by a
// function in its own file and listed in groups. [Run] registers all of them
// with google/subcommands. A subcommand returns an error instead of an exit
// code, and the kind of the error decides on the exit code: 0 without an error,
// 2 for [KindUsage], 1 for all other errors.
//
// Subcommands of three sorts work on different sources. Those for a
// configuration change read and write documents: check, diff, import, leave and
// seal. Those for the state of the fleet query the operator interfaces of all
// daemons at the same time (see queryAll) and merge the answers: status, watch,
// explain, record and burn. A daemon without a usable answer does not stop them;
// the report lists it as missing. Those for the users' platform, trace and day,
// read the logs of its hosts. The others, sample and completion, only write.
//
// Reports go to the standard output, as text or, with --json, as JSON. Progress
// and errors go to the standard error, so that a report can be piped.
package ctl

import (
	"context"
	"errors"
	"flag"
	"io"
	"slices"

	"github.com/google/subcommands"
)

// Env holds the standard streams of a subcommand.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// OutTerm and ErrTerm say whether Out and Err are terminals. Progress
	// lines and colours are written to a terminal only.
	OutTerm bool
	ErrTerm bool
}

// Command is one subcommand. It implements [subcommands.Command].
type Command struct {
	// Keyword is the name of the subcommand on the command line.
	Keyword string
	// Short is the one-line description in the list of subcommands.
	Short string
	// Help is the full usage text, with the exit codes and an example.
	Help string
	// Flags defines the flags of the subcommand.
	Flags func(f *flag.FlagSet)
	// Do runs the subcommand with the non-flag arguments.
	Do func(ctx context.Context, args []string) error
	// Env gives Execute the stream for errors.
	Env Env
}

// group is a set of subcommands under a common heading in the help.
type group struct {
	title    string
	commands []*Command
}

// groups returns all subcommands under their headings: those that prepare a
// configuration change, those that query daemons, those that read logs, and
// the rest.
func groups(env Env) []group {
	return []group{
		{
			title: "a change of the configuration",
			commands: []*Command{
				importCommand(env),
				leaveCommand(env),
				checkCommand(env),
				diffCommand(env),
				sealCommand(env),
			},
		},
		{
			title: "a look at the fleet",
			commands: []*Command{
				statusCommand(env),
				watchCommand(env),
				explainCommand(env),
				recordCommand(env),
				burnCommand(env),
			},
		},
		{
			title: "a look at the logs of the users' platform",
			commands: []*Command{
				traceCommand(env),
				dayCommand(env),
			},
		},
		{
			title: "trials and the shell",
			commands: []*Command{
				sampleCommand(env),
				completionCommand(env),
			},
		},
	}
}

// commands returns all subcommands in the order of the help.
func commands(env Env) []*Command {
	var all []*Command
	for _, g := range groups(env) {
		all = append(all, g.commands...)
	}
	return all
}

// helpName is the name of the subcommand that google/subcommands provides.
const helpName = "help"

// Run runs the subcommand named by args, the command line without the program
// name, and returns the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	topFlags := flag.NewFlagSet("siskinctl", flag.ContinueOnError)
	topFlags.SetOutput(env.Err)
	commander := subcommands.NewCommander(topFlags, "siskinctl")
	commander.Output = env.Out
	commander.Error = env.Err
	commander.Register(commander.HelpCommand(), "")
	known := []string{helpName}
	for _, g := range groups(env) {
		for _, command := range g.commands {
			commander.Register(command, g.title)
			known = append(known, command.Keyword)
		}
	}
	err := topFlags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return int(subcommands.ExitSuccess)
	case err != nil:
		return int(subcommands.ExitUsageError)
	}
	if topFlags.NArg() > 0 && !slices.Contains(known, topFlags.Arg(0)) {
		env.messagef("siskinctl: there is no subcommand %q\n", topFlags.Arg(0))
	}
	return int(commander.Execute(ctx))
}

// Name returns the keyword of c.
func (c *Command) Name() string { return c.Keyword }

// Synopsis returns the one-line description of c.
func (c *Command) Synopsis() string { return c.Short }

// Usage returns the full usage text of c.
func (c *Command) Usage() string { return c.Help }

// SetFlags defines the flags of c on f.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.Env.Err)
	c.Flags(f)
}

// Execute runs c, prints its error and returns the exit code that belongs to
// the kind of the error.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := collectArgs(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	err = c.Do(ctx, args)
	if err == nil {
		return subcommands.ExitSuccess
	}
	var ctlErr *Error
	if !errors.As(err, &ctlErr) {
		c.Env.messagef("siskinctl %s: %v\n", c.Keyword, err)
		return subcommands.ExitFailure
	}
	if ctlErr.Err != nil {
		c.Env.messagef("siskinctl %s: %v\n", c.Keyword, ctlErr.Err)
	}
	if ctlErr.Kind == KindUsage {
		c.Env.messagef("Run 'siskinctl help %s' for its usage.\n", c.Keyword)
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// collectArgs returns the non-flag arguments. It also parses flags that follow
// an argument, where the flag package stops.
func collectArgs(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}
