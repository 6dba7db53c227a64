// Package ctl holds the subcommands of siskinctl.
//
// Each subcommand is a [Command], a plain value with function fields, made by
// a function in a file of its own and listed in commands. Run puts them behind
// google/subcommands. A subcommand returns an error instead of an exit code;
// the kind of the error decides the code: 0 without an error, 2 for wrong
// usage, 1 for all else.
//
// Reports go to the standard output, as text or with --json as JSON. Progress
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

// Env is the surroundings of a subcommand.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// OutTerm and ErrTerm say which of the two is a terminal. Only there do
	// progress lines and colours appear.
	OutTerm bool
	ErrTerm bool
}

// Command is one subcommand. It implements [subcommands.Command].
type Command struct {
	// Keyword is what the operator types.
	Keyword string
	// Short describes the subcommand in less than a line.
	Short string
	// Help is the whole usage, with an example.
	Help string
	// Flags adds the flags of the subcommand.
	Flags func(f *flag.FlagSet)
	// Do runs the subcommand with the arguments that are not flags.
	Do func(ctx context.Context, args []string) error
	// Env is where Execute reports errors.
	Env Env
}

// group is a set of subcommands that help lists together.
type group struct {
	title    string
	commands []*Command
}

// groups returns all subcommands: those for a change, those that ask daemons,
// and the rest.
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

// commands returns all subcommands.
func commands(env Env) []*Command {
	var all []*Command
	for _, g := range groups(env) {
		all = append(all, g.commands...)
	}
	return all
}

// helpName is the subcommand that the library brings.
const helpName = "help"

// Run runs the subcommand that args name and returns the exit code.
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

// Name returns the word of c.
func (c *Command) Name() string { return c.Keyword }

// Synopsis returns the short description of c.
func (c *Command) Synopsis() string { return c.Short }

// Usage returns the whole usage of c.
func (c *Command) Usage() string { return c.Help }

// SetFlags adds the flags of c.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.Env.Err)
	c.Flags(f)
}

// Execute runs c and turns its error into an exit code.
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

// collectArgs returns the arguments that are not flags. Flags may also follow
// arguments, which the flag package does not allow by itself.
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
