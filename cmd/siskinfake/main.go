// Command siskinfake runs fakes of the configuration service, the list of hosts
// and targets, so that daemons can be tried by hand. See package fakes.
//
// Its command fleet writes the settings of a whole local fleet, run starts the
// fakes of a settings file, and speed makes running targets slower or faster:
//
//	siskinfake fleet -dir fleet examples/armor.json
//	siskinfake run fleet/fakes.json
//	siskinfake speed fleet/fakes.json workshop 0.1
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&fleetCommand{}, "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&speedCommand{}, "")
	subcommands.Register(&exampleCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
