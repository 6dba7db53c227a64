package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/pkg/clock"
)

// speedCommand changes the speed of targets in a settings file. A running
// siskinfake reads the file and applies the change.
type speedCommand struct{}

// Name returns the name of the command.
func (*speedCommand) Name() string { return "speed" }

// Synopsis returns the command's line in the list of commands.
func (*speedCommand) Synopsis() string { return "make running targets slower or faster" }

// Usage returns how the command is called.
func (*speedCommand) Usage() string {
	return `siskinfake speed FILE NAME SPEED
  Sets the speed of a target, or of all targets of a service, in the settings
  file. A 'siskinfake run' of that file follows within about a second. A speed of
  0.1 makes work take ten times as long, and 1 is the normal speed.
  Exit code 0 if the file was written, 1 if it could not be, 2 for wrong usage.

  Example: siskinfake speed fleet/fakes.json workshop 0.1
`
}

// SetFlags adds no flags.
func (*speedCommand) SetFlags(*flag.FlagSet) {}

// Execute changes the file.
func (*speedCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 3 {
		return usageError("speed", "a settings file, a name and a speed are needed")
	}
	path, name := f.Arg(0), f.Arg(1)
	speed, err := strconv.ParseFloat(f.Arg(2), 64)
	if err != nil || !isValidSpeed(speed) {
		return usageError("speed", "the speed is %q; it must be above 0 and at most %d", f.Arg(2), maxSpeed)
	}
	s, err := readSettings(path)
	if err != nil {
		return failure(err)
	}
	var changed []string
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Name == name || t.serves(name) {
			t.Speed = &speed
			changed = append(changed, t.Name)
		}
	}
	if len(changed) == 0 {
		return failure(fmt.Errorf("%s has no target and no service %q", path, name))
	}
	if err := writeJSON(path, s); err != nil {
		return failure(err)
	}
	fmt.Printf("speed %v for %s\n", speed, strings.Join(changed, ", "))
	return subcommands.ExitSuccess
}

// serves reports whether the target has an operation of the service.
func (s targetSettings) serves(service string) bool {
	for path := range s.Operations {
		if strings.HasPrefix(path, service+"/") {
			return true
		}
	}
	return false
}

// speedOrDefault returns the speed of the target, or 1 if none is set.
func (s targetSettings) speedOrDefault() float64 {
	if s.Speed == nil {
		return 1
	}
	return *s.Speed
}

// followSpeeds applies changes of speeds in the settings file at path to running
// targets until ctx is cancelled. Other changes of the file have no effect.
func followSpeeds(ctx context.Context, path string, targets map[string]*fakes.Target, initial settings) {
	speeds := make(map[string]float64)
	for _, t := range initial.Targets {
		speeds[t.Name] = t.speedOrDefault()
	}
	c := clock.System()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.After(fileCheckInterval):
		}
		s, err := readSettings(path)
		if err != nil {
			continue // Someone may be editing the file.
		}
		for _, t := range s.Targets {
			target := targets[t.Name]
			if target == nil || speeds[t.Name] == t.speedOrDefault() {
				continue
			}
			speeds[t.Name] = t.speedOrDefault()
			target.SetSpeed(t.speedOrDefault())
			fmt.Printf("target %s has speed %v\n", t.Name, t.speedOrDefault())
		}
	}
}
