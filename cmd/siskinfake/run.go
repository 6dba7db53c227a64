package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/clock"
)

// fileCheckInterval is the interval of checks whether a watched file has changed.
const fileCheckInterval = clock.Second

// exampleCommand prints example settings.
type exampleCommand struct{}

// Name returns the name of the command.
func (*exampleCommand) Name() string { return "example" }

// Synopsis returns the command's line in the list of commands.
func (*exampleCommand) Synopsis() string { return "print example settings" }

// Usage returns how the command is called.
func (*exampleCommand) Usage() string {
	return `siskinfake example
  Prints settings that show each field in use.

  Example: siskinfake example > fakes.json
`
}

// SetFlags adds no flags.
func (*exampleCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the settings.
func (*exampleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(example()); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

// runCommand runs fakes until a signal ends it.
type runCommand struct{}

// Name returns the name of the command.
func (*runCommand) Name() string { return "run" }

// Synopsis returns the command's line in the list of commands.
func (*runCommand) Synopsis() string { return "start the stand-ins that a settings file names" }

// Usage returns how the command is called.
func (*runCommand) Usage() string {
	return `siskinfake run FILE
  Starts the stand-ins that FILE names and runs until SIGINT or SIGTERM. It
  publishes the document again whenever its file changes, and follows changes of
  the targets' speeds in FILE, such as those by 'siskinfake speed'.
  Exit code 0 after a signal, 1 if a stand-in cannot start, 2 for wrong usage.

  Example: siskinfake run fleet/fakes.json
`
}

// SetFlags adds no flags.
func (*runCommand) SetFlags(*flag.FlagSet) {}

// Execute starts the fakes and stops them on SIGINT or SIGTERM.
func (*runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("run", "one settings file is needed")
	}
	s, err := readSettings(f.Arg(0))
	if err != nil {
		return usageError("run", "%v", err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := startedFakes{
		targets: make(map[string]*fakes.Target),
	}
	defer r.close()
	if err := r.start(ctx, s); err != nil {
		return failure(err)
	}
	go followSpeeds(ctx, f.Arg(0), r.targets, s)
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// failure prints err and returns the exit status of a failure.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "siskinfake: %v\n", err)
	return subcommands.ExitFailure
}

// usageError prints what is wrong with the use of a command and returns the exit
// status of wrong usage.
func usageError(command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "siskinfake %s: %s\n", command, fmt.Sprintf(format, args...))
	fmt.Fprintf(os.Stderr, "Run 'siskinfake help %s' for its usage.\n", command)
	return subcommands.ExitUsageError
}

// startedFakes holds the fakes that have been started.
type startedFakes struct {
	closers []func() error
	targets map[string]*fakes.Target
}

// close stops the fakes and prints errors.
func (r *startedFakes) close() {
	for _, stop := range r.closers {
		if err := stop(); err != nil {
			failure(err)
		}
	}
}

// start starts the fakes of s. After an error, those started before it still run.
func (r *startedFakes) start(ctx context.Context, s settings) error {
	if s.Store != nil {
		if err := r.startStore(ctx, *s.Store); err != nil {
			return err
		}
	}
	if s.Roster != nil {
		if err := r.startRoster(*s.Roster); err != nil {
			return err
		}
	}
	for _, t := range s.Targets {
		target, err := fakes.NewTarget(t.config())
		if err != nil {
			return err
		}
		target.SetSpeed(t.speedOrDefault())
		r.targets[t.Name] = target
		r.closers = append(r.closers, target.Close)
		fmt.Printf("target %s on %s\n", t.Name, target.Addr())
	}
	return nil
}

// startStore starts a configuration service that publishes the settings' file.
func (r *startedFakes) startStore(ctx context.Context, s storeSettings) error {
	data, err := os.ReadFile(s.File)
	if err != nil {
		return err
	}
	store, err := fakes.NewStore(fakes.StoreConfig{
		Addr: s.Addr,
		Rate: s.Rate,
	})
	if err != nil {
		return err
	}
	r.closers = append(r.closers, store.Close)
	store.Publish(data)
	fmt.Printf("configuration service on %s\n", store.Addr())
	go republish(ctx, store, s.File, data)
	return nil
}

// republish publishes the file at path whenever its content has changed.
func republish(ctx context.Context, store *fakes.Store, path string, last []byte) {
	c := clock.System()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.After(fileCheckInterval):
		}
		data, err := os.ReadFile(path)
		// The file is empty while a program truncates and rewrites it.
		if err != nil || len(data) == 0 || bytes.Equal(data, last) {
			continue
		}
		last = data
		fmt.Printf("published number %d\n", store.Publish(data))
	}
}

func (r *startedFakes) startRoster(s rosterSettings) error {
	roster, err := fakes.NewRoster(fakes.RosterConfig{
		Addr: s.Addr,
		Lag:  s.Lag,
	})
	if err != nil {
		return err
	}
	r.closers = append(r.closers, roster.Close)
	roster.Set(s.Hosts)
	fmt.Printf("list of hosts on %s\n", roster.Addr())
	return nil
}
